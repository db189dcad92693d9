#pragma once

#include "bench/run_record.h"

#include <map>
#include <string>
#include <vector>

namespace fuchsiagauge::bench {

/// What must always hold, one for each point of the brief.
enum class invariant {
    RetriesWithinBound,
    CatalogueShedFirst,
    WholeOwnAnswer,
    NotRunWasNotRun,
    OrderRunsAtMostOnce,
    NoNewWorkWhileLeaving,
    PlannedStopCutsNothing,
    ConfigurationNeverReverts,
};

/// @return the stable word of an invariant, such as `order-runs-at-most-once`.
const char* getInvariantName(invariant checked);

/// @return every invariant.
const std::vector<invariant>& getInvariants();

/// Bounds to check against.
struct run_bounds {
    int retriesPerRequest = 2; ///< R of the preset.
    double leavingGraceMs = 3000; ///< A leaving target may get new work for so long.
    double shedWindowMs = 1000; ///< Served shares are compared within such windows.
    int shedWindowRequests = 20; ///< Requests of both kinds that make a window count.
    double shedShareTolerance = 0.05; ///< The answered share of the class that is shed first may exceed the
                                      ///< share of the others that was not shed by this.
    /// Group of callers whose requests are shed first. The other groups' own demand must fit the capacity of
    /// their services, or they are shed for their own sake.
    std::string sheddableGroup = "catalogue";
};

/// One breach.
struct violation {
    invariant violated;
    std::string subject; ///< Order, request, instance or node that it is about.
    std::string detail;
};

/// What the records show.
struct run_report {
    int requests = 0;
    int orders = 0;
    int validResponses = 0; ///< Got their own whole answer of status 200.
    int answered = 0; ///< Known to have run.
    int notRun = 0;
    int unknown = 0;
    int executions = 0; ///< Runs in the journals.
    int maxAttempts = 0; ///< Runs of one request at one service and depth, the largest.
    std::map<std::string, int> faultsByKind;
    std::vector<violation> violations;

    /// @return how many violations there are of one invariant.
    int count(invariant checked) const;
};

/// Checks the records of a run against what must always hold.
/// @param records callers' records, journals, faults and audit trails.
/// @param bounds the bounds.
/// @return counts and violations.
run_report checkRun(const run_records& records, const run_bounds& bounds);

} // namespace fuchsiagauge::bench
