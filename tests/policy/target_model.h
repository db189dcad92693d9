#pragma once

#include "policy/admission_policy.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// Runs events in the order of virtual time.
class event_loop {
public:
    milliseconds now() const { return m_now; }
    void at(milliseconds when, std::function<void()> action);
    void after(double delayMs, std::function<void()> action);
    void runUntil(milliseconds end);

private:
    struct event {
        milliseconds when;
        std::uint64_t sequence;
        std::function<void()> action;

        friend bool operator<(const event& a, const event& b)
        {
            return a.when != b.when ? a.when > b.when : a.sequence > b.sequence;
        }
    };

    milliseconds m_now;
    std::uint64_t m_sequence = 0;
    std::priority_queue<event> m_events;
};

/// A random source with a fixed seed.
class seeded_random {
public:
    explicit seeded_random(unsigned seed)
        : m_engine(seed)
    {
    }

    /// @return a number in [0, 1).
    double getUniform();

    /// @return a number drawn from the exponential distribution.
    double getExponential(double mean);

    /// @return the sum of `phases` exponential numbers with this mean in all.
    double getErlang(double mean, int phases);

private:
    std::mt19937 m_engine;
};

/// A target with slots and a queue in arrival order.
class simulated_target {
public:
    using done_hook = std::function<void(bool isAnswered)>;
    using service_time_hook = std::function<double(milliseconds now)>;

    /// @param loop the events.
    /// @param slots requests worked on at a time.
    /// @param queue requests that may wait inside; more are refused.
    /// @param getServiceMs draws the service time of a request as it takes a slot.
    simulated_target(event_loop& loop, int slots, int queueCapacity, service_time_hook getServiceMs);

    /// Takes a request; `done` is called once, at once with false if the queue is full.
    void run(const std::string& id, done_hook done);

    /// Takes a request out, waiting or running, without calling its hook.
    void cancel(const std::string& id);

    void setFrozen(bool isFrozen);

    int getQueued() const { return static_cast<int>(m_waiting.size()); }
    double getBusyMs(const std::string& id) const;

private:
    struct work {
        done_hook done;
        milliseconds startedAt;
        milliseconds endsAt;
    };

    void startQueuedRequests();
    void end(const std::string& id);

    event_loop& m_loop;
    std::size_t m_slots;
    std::size_t m_queueCapacity;
    service_time_hook m_getServiceMs;
    bool m_isFrozen = false;
    std::deque<std::pair<std::string, done_hook>> m_waiting;
    std::map<std::string, work> m_running;
};

/// Counts of one class over a span of virtual time.
struct class_stats {
    int offered = 0; ///< Requests of callers, their repeats not counted.
    int served = 0; ///< Answered before the deadline.
    std::vector<double> latenciesMs; ///< Of the served ones.

    double getServedShare() const { return offered == 0 ? 1 : static_cast<double>(served) / offered; }
    double getLatencyMs(double quantile) const;
};

/// A class of requests in the model.
struct model_class {
    std::string name;
    int priority;
    double deadlineMs;
};

/// What happened to the requests that arrived in a span of virtual time.
struct interval_stats {
    milliseconds from;
    milliseconds until;
    std::map<std::string, class_stats> classes;
    int answered = 0; ///< Answers in time, by when they were answered.
    double wastedMs = 0; ///< Service time spent on requests that failed later.
    double queueSum = 0;
    int queueSamples = 0;

    double getSeconds() const { return (until - from).getCount() / 1000; }

    /// @return answers in time per second.
    double getGoodput() const { return answered / getSeconds(); }

    /// @return served requests over offered ones, all classes together.
    double getServedShare() const;

    /// @return mean number of requests in the target's own queue.
    double getMeanTargetQueue() const { return queueSamples > 0 ? queueSum / queueSamples : 0; }
};

/// The class mix of the tests: the last one may be shed.
const std::vector<model_class>& getModelClasses();

/// One target behind one admission policy, with callers that arrive at random.
struct model_setup {
    unsigned seed = 1;
    int slots = 80;
    int targetQueue = 480;
    double serviceMs = 50;
    int servicePhases = 1; ///< 1: exponential service times; more vary less (Erlang).
    double importantLoad = 0.6; ///< Demand of all but the last class, over capacity.
    int callerRetries = 0;
    bool propagatesCancellation = true;
    bool publishesSlots = true;
    std::function<double(milliseconds now)> getLoad; ///< Whole demand over capacity.
    std::function<double(milliseconds now)> getSlowdown = [](milliseconds) { return 1.0; };
};

/// Simulates one target in virtual time.
class target_model {
public:
    target_model(model_setup setup, std::unique_ptr<admission_policy> policy);

    /// Runs until `until`, and counts from the present instant on. Requests that arrived in the span are
    /// still counted as served after it.
    std::shared_ptr<const interval_stats> run(milliseconds until);

    /// @return service time wasted in a span, over capacity.
    double getWastedShare(const interval_stats& interval) const;

    /// @return capacity in requests per second.
    double getCapacity() const { return m_setup.slots / m_setup.serviceMs * 1000; }

    admission_policy& getPolicy() { return *m_policy; }

private:
    struct pending_call;

    void arrive(std::size_t classIndex);
    void attempt(const std::shared_ptr<pending_call>& pending);
    void fail(const std::shared_ptr<pending_call>& pending);
    void tick();
    double getRate(std::size_t classIndex) const;

    model_setup m_setup;
    std::unique_ptr<admission_policy> m_policy;
    event_loop m_loop;
    seeded_random m_random;
    simulated_target m_target;
    std::shared_ptr<interval_stats> m_interval = std::make_shared<interval_stats>();
    std::uint64_t m_nextId = 0;
};

} // namespace fuchsiagauge
