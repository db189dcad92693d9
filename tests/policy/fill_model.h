#pragma once

#include "policy/instance_picker.h"
#include "tests/policy/target_model.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// Parameters of a simulation of callers that share the instances of a service.
struct fill_setup {
    int callers = 20;
    int instances = 4; ///< Listed from the start; one more is listed at `fill_model::joinAt` if `hasJoiner`.
    bool hasJoiner = true;
    bool hasColdTime = true; ///< Whether the entry of the joiner states the time for which it is cold.
    bool isPaced = true; ///< False: the fixed factor on the run time of a cold instance, without a window.
    double load = 0.8; ///< Demand relative to the capacity of the instances that are listed from the start.
    /// @return the factor on the time of a request that the last instance starts beside `busy - 1` others, or
    /// 0 if it fails it. Holds for all instances if none joins.
    std::function<double(milliseconds now, int busy)> getSlowdown = [](milliseconds, int) { return 1.0; };
};

/// What the clients got in a period of virtual time.
struct fill_counts {
    int total = 0;
    int bad = 0; ///< Failed, refused by all instances tried, or answered late.
    int sentToLast = 0; ///< Requests that the last instance ran.
    int badAtLast = 0; ///< Those of them that it failed or answered late.
    int answeredByLast = 0; ///< Answers in time of the last instance.

    double getBadShare() const { return total == 0 ? 0 : static_cast<double>(bad) / total; }
};

/// Simulates callers with their own pickers in front of the gates of some instances, in virtual time.
class fill_model {
public:
    static constexpr int slots = 16;
    static constexpr double serviceMs = 55;
    static constexpr milliseconds joinAt { 10000 };

    explicit fill_model(fill_setup setup);

    /// Continues the simulation.
    /// @return what the requests that arrive in the period end with; final 2 s after it.
    std::shared_ptr<const fill_counts> run(milliseconds until);

    /// @return the number of requests per second that each instance gets if all are equal.
    double getFairShare() const;

private:
    struct caller;
    struct request;

    void list(int index);
    void forget(const std::string& id);
    void arrive();
    void send(const std::shared_ptr<request>& current);
    void runAtInstance(const std::shared_ptr<request>& current, int index);
    void end(const std::shared_ptr<request>& current, int index, health_signal signal);
    void tick();

    fill_setup m_setup;
    event_loop m_loop;
    seeded_random m_random { 7 };
    std::vector<slot_gate> m_gates;
    std::vector<std::shared_ptr<caller>> m_callers;
    std::shared_ptr<fill_counts> m_counts = std::make_shared<fill_counts>();
    std::uint64_t m_lastId = 0;
};

} // namespace fuchsiagauge
