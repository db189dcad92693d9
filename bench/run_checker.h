#pragma once

#include "bench/run_record.h"

#include <map>
#include <string>
#include <vector>

namespace fuchsiagauge::bench {

/// Properties that must hold in every run, whatever faults are injected.
enum class invariant {
    RetriesWithinBound, ///< Attempts of a request at one service and depth stay within the retry limit.
    CatalogueShedFirst, ///< Sheddable requests are not served in preference to the others.
    WholeOwnAnswer, ///< A response passed as complete is complete and belongs to its request.
    NotRunWasNotRun, ///< A request reported as not run did not run at any target.
    OrderRunsAtMostOnce, ///< An order runs at most once at each service.
    NoNewWorkWhileLeaving, ///< A leaving target gets no new work after the grace period.
    PlannedStopCutsNothing, ///< A planned stop does not interrupt requests in flight.
    ConfigurationNeverReverts, ///< A running node never adopts an older configuration revision.
};

/// @return the stable identifier of an invariant, such as `order-runs-at-most-once`.
const char* getInvariantName(invariant kind);

/// @return all invariants, in the order of the enum.
const std::vector<invariant>& getInvariants();

/// Limits that the invariants are checked against.
struct run_bounds {
    int retriesPerRequest = 2; ///< Retries per request that the preset allows.
    double leavingGraceMs = 3000; ///< Time during which a leaving target may still get new work.
    double shedWindowMs = 1000; ///< Length of the windows in which served shares are compared.
    int shedWindowRequests = 20; ///< Windows with fewer requests of either kind are ignored.
    /// Margin by which the served share of the sheddable group may exceed the share of the other requests
    /// that were not shed.
    double shedShareTolerance = 0.05;
    /// Caller group whose requests are shed first. The demand of the other groups alone must not exceed the
    /// capacity of their services; otherwise they are shed because of their own load, which the check reports
    /// as a violation.
    std::string sheddableGroup = "catalogue";
};

/// A violation of an invariant.
struct violation {
    invariant violated;
    std::string subject; ///< Order, request, instance or time window concerned.
    std::string detail;
};

/// Counts and violations found in the records of a run.
struct run_report {
    int requests = 0;
    int orders = 0;
    int validResponses = 0; ///< Requests with a complete and correct response of status 200.
    int answered = 0; ///< Requests known to have run.
    int notRun = 0; ///< Requests known not to have run.
    int unknown = 0; ///< Requests that may have run.
    int executions = 0; ///< Executions recorded in the journals.
    int largestAttemptCount = 0; ///< Highest number of executions of one request at one service and depth.
    std::map<std::string, int> faultsByKind;
    std::vector<violation> violations;

    /// @return the number of violations of one invariant.
    int count(invariant kind) const;
};

/// Checks the records of a run against all invariants.
/// @param records caller records, journals, faults and audit trails.
/// @param bounds limits for the invariants.
/// @return counts and violations.
run_report checkRun(const run_records& records, const run_bounds& bounds);

} // namespace fuchsiagauge::bench
