#pragma once

#include "policy/admission_controller.h"
#include "policy/retry_policy.h"
#include "tests/policy/target_model.h"

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
    bool hasCallerShed = true; ///< Callers keep to the level that rides on answers.
    bool hasSharedRank = true; ///< The rank is the same at every depth; else drawn anew.
    admission_switches switches;
};

/// What happened in a span of virtual time.
struct chain_count {
    class_stats important;
    class_stats sheddable;
    int mostDeepAttempts = 0; ///< Attempts at the deepest hop for one request.
    int deepAttempts = 0;
    std::vector<double> wastedMs; ///< By hop: work for requests that failed later.
};

/// A chain of three targets, one at each depth; the deepest has the least capacity.
class chain_model {
public:
    explicit chain_model(const chain_setup& setup);
    ~chain_model();

    /// Runs on. Requests of this span that end later are still counted in it.
    std::shared_ptr<const chain_count> run(double seconds);

    void setLoad(double load) { m_setup.load = load; }

    /// @return capacity of the deepest hop in requests per second.
    static double getCapacity();

    /// @return the largest share of a hop's capacity that was wasted.
    static double getWastedShare(const chain_count& count, double seconds);

private:
    struct hop;
    struct request;
    struct attempt;

    using answer_hook = std::function<void(bool isSuccess, int unspent)>;

    void arrive(bool isImportant);
    void serve(std::size_t depth, const std::shared_ptr<request>& made, int allowance, answer_hook answer);
    void work(const std::shared_ptr<attempt>& made);
    void callDown(const std::shared_ptr<attempt>& made, bool isRetry);
    void end(const std::shared_ptr<attempt>& made, bool isSuccess);
    bool isHeldBack(hop& next, std::uint32_t rank);
    std::uint32_t getRank(const request& made);
    void tick();

    chain_setup m_setup;
    event_loop m_loop;
    seeded_random m_random;
    std::vector<std::unique_ptr<hop>> m_hops;
    std::shared_ptr<chain_count> m_count;
    std::uint64_t m_nextId = 0;
};

} // namespace fuchsiagauge
