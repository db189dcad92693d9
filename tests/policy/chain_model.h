#pragma once

#include "policy/admission_controller.h"
#include "policy/retry_policy.h"
#include "tests/policy/target_model.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// Configuration of a chain; each switch disables one mechanism.
struct chain_setup {
    unsigned seed = 1;
    double load = 1; ///< Demand relative to the capacity of the deepest hop.
    double importantLoad = 0.6; ///< Part of the load that is not of the sheddable class.
    int retries = 2; ///< Granted at the edge, or used by each hop when naive.
    bool isNaive = false; ///< No admission limits, and independent retries at each hop.
    bool hasCallerShedding = true; ///< Callers shed requests below the admission level carried by responses.
    bool hasSharedRank = true; ///< The rank is the same at every hop; otherwise drawn again at each.
    admission_switches switches;
};

/// Counts for a period of virtual time.
struct chain_counts {
    class_stats important;
    class_stats sheddable;
    int maxDeepestHopAttempts = 0; ///< Largest number of attempts at the deepest hop for one request.
    int deepestHopAttempts = 0; ///< Attempts at the deepest hop for all requests.
    std::vector<double> wastedMs; ///< By hop: time spent on requests that failed or answered too late.
};

/// Simulates a chain of three targets, one at each depth; the deepest has the least capacity.
class chain_model {
public:
    explicit chain_model(const chain_setup& setup);
    ~chain_model();

    /// Continues the simulation.
    /// @return the counts of the requests that arrive in this period, also updated when they end after it.
    std::shared_ptr<const chain_counts> run(double seconds);

    void setLoad(double load) { m_setup.load = load; }

    /// @return the capacity of the deepest hop, in requests per second.
    static double getCapacity();

    /// @return the wasted share of a hop's capacity, for the hop where it is largest.
    static double getWastedShare(const chain_counts& counts, double seconds);

private:
    struct hop;
    struct model_request;
    struct hop_attempt;

    using done_hook = std::function<void(bool isSuccess, int unspent)>;

    void arrive(bool isImportant);
    void submitToHop(
        std::size_t depth, const std::shared_ptr<model_request>& request, int allowance, done_hook done);
    void runAtTarget(const std::shared_ptr<hop_attempt>& attempt);
    void callNextHop(const std::shared_ptr<hop_attempt>& attempt, bool isRetry);
    void finishAttempt(const std::shared_ptr<hop_attempt>& attempt, bool isSuccess);
    bool isShedByCaller(hop& nextHop, std::uint32_t rank);
    std::uint32_t getRank(const model_request& request);
    void tick();

    chain_setup m_setup;
    event_loop m_loop;
    seeded_random m_random;
    std::vector<std::unique_ptr<hop>> m_hops;
    std::shared_ptr<chain_counts> m_counts;
    std::uint64_t m_nextId = 0;
};

} // namespace fuchsiagauge
