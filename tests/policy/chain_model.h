#pragma once

#include "policy/admission_controller.h"
#include "policy/retry_policy.h"
#include "tests/policy/queue_model.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// How the hops of a chain behave; each switch turns one mechanism off.
struct chain_setup {
    unsigned seed = 1;
    double load = 1; ///< Demand over the capacity of the deepest hop.
    double importantLoad = 0.6; ///< Part of it that is not of the class shed first.
    int retries = 2; ///< Granted by the edge; of each hop when naive.
    bool isNaive = false; ///< No limits, and retries at each hop.
    bool hasCallerShedding = true; ///< Callers keep to the level that rides on answers.
    bool hasSharedRank = true; ///< The rank is the same at every depth; else drawn anew.
    admission_switches switches;
};

/// What happened in a span of virtual time.
struct chain_counts {
    class_count important;
    class_count sheddable;
    int maxDeepestHopAttempts = 0; ///< Attempts at the deepest hop for one request.
    int deepestHopAttempts = 0;
    std::vector<double> wastedMs; ///< By hop: work for requests that failed later.
};

/// A chain of three targets, one at each depth; the deepest has the least capacity.
class chain_model {
public:
    explicit chain_model(const chain_setup& setup);
    ~chain_model();

    /// Runs on. Requests of this span that end later are still counted in it.
    std::shared_ptr<const chain_counts> run(double seconds);

    void setLoad(double load) { m_setup.load = load; }

    /// @return capacity of the deepest hop in requests per second.
    static double getCapacity();

    /// @return the largest share of a hop's capacity that was wasted.
    static double getWastedShare(const chain_counts& count, double seconds);

private:
    struct hop;
    struct model_request;
    struct hop_attempt;

    using answer_hook = std::function<void(bool isSuccess, int unspent)>;

    void arrive(bool isImportant);
    void submitToHop(
        std::size_t depth, const std::shared_ptr<model_request>& request, int allowance, answer_hook answer);
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
    std::shared_ptr<chain_counts> m_count;
    std::uint64_t m_nextId = 0;
};

} // namespace fuchsiagauge
