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

/// Runs events in order of virtual time.
class event_loop {
public:
    milliseconds now() const { return m_now; }
    /// Schedules an action; a time in the past means now.
    void at(milliseconds when, std::function<void()> action);
    void after(double delayMs, std::function<void()> action);
    /// Runs all events before `end` and sets the virtual time to it.
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

/// A random number generator with a fixed seed.
class seeded_random {
public:
    explicit seeded_random(unsigned seed)
        : m_engine(seed)
    {
    }

    /// @return a number in [0, 1).
    double getUniform();

    /// @return an exponentially distributed number.
    double getExponential(double mean);

    /// @return an Erlang-distributed number: the sum of `phases` exponential numbers, with this mean in
    /// total.
    double getErlang(double mean, int phases);

private:
    std::mt19937 m_engine;
};

/// A simulated target with slots and a queue in arrival order.
class simulated_target {
public:
    using done_hook = std::function<void(bool isAnswered)>;
    using service_time_hook = std::function<double(milliseconds now)>;

    /// @param loop the event loop.
    /// @param slots the number of requests processed at a time.
    /// @param queueCapacity the number of requests that may wait at the target; more are refused.
    /// @param getServiceMs draws the service time of a request when it takes a slot, in ms.
    simulated_target(event_loop& loop, int slots, int queueCapacity, service_time_hook getServiceMs);

    /// Accepts a request. `done` is called once; immediately with false if the queue is full.
    void run(const std::string& id, done_hook done);

    /// Removes a waiting or running request without calling its hook.
    void cancel(const std::string& id);

    /// While frozen, the target starts and ends no requests.
    void setFrozen(bool isFrozen);

    int getQueued() const { return static_cast<int>(m_waiting.size()); }
    /// @return how long a running request has held its slot, in ms.
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

/// Statistics of one class over an interval of virtual time.
struct class_stats {
    int offered = 0; ///< Requests of callers, without their retries.
    int served = 0; ///< Answered before the deadline.
    std::vector<double> latenciesMs; ///< Of the served requests.

    double getServedShare() const { return offered == 0 ? 1 : static_cast<double>(served) / offered; }
    double getLatencyMs(double quantile) const;
};

/// A class of requests in the model.
struct model_class {
    std::string name;
    int priority;
    double deadlineMs;
};

/// Statistics of an interval of virtual time, by class for the requests that arrived in it.
struct interval_stats {
    milliseconds from;
    milliseconds until;
    std::map<std::string, class_stats> classes;
    int answered = 0; ///< Responses in time that arrived within the interval.
    double wastedMs = 0; ///< Service time spent on requests that were not answered in time.
    double queueSum = 0; ///< Sum of the samples of the target's queue length.
    int queueSamples = 0;

    double getSeconds() const { return (until - from).getCount() / 1000; }

    /// @return the number of responses in time per second.
    double getGoodput() const { return answered / getSeconds(); }

    /// @return the share of offered requests that were served, over all classes.
    double getServedShare() const;

    /// @return the mean number of requests in the target's own queue.
    double getMeanTargetQueue() const { return queueSamples > 0 ? queueSum / queueSamples : 0; }
};

/// @return the request classes of the tests; only the last one may be shed.
const std::vector<model_class>& getModelClasses();

/// Parameters of a simulation of one target behind an admission policy, with Poisson arrivals.
struct model_setup {
    unsigned seed = 1;
    int slots = 80;
    int targetQueue = 480;
    double serviceMs = 50;
    int servicePhases = 1; ///< Phases of the Erlang-distributed service times; 1: exponential.
    double importantLoad = 0.6; ///< Demand of all but the last class, relative to the capacity.
    int callerRetries = 0;
    bool propagatesCancellation = true;
    bool publishesSlots = true;
    std::function<double(milliseconds now)> getLoad; ///< Total demand relative to the capacity.
    std::function<double(milliseconds now)> getSlowdown = [](milliseconds) { return 1.0; };
};

/// Simulates one target behind an admission policy in virtual time.
class target_model {
public:
    target_model(model_setup setup, std::unique_ptr<admission_policy> policy);

    /// Runs the simulation until `until` and starts a new interval of statistics. Requests that arrive in the
    /// interval count as served in it even if they are answered later.
    std::shared_ptr<const interval_stats> run(milliseconds until);

    /// @return the service time wasted in an interval, relative to the capacity.
    double getWastedShare(const interval_stats& interval) const;

    /// @return the capacity in requests per second.
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
