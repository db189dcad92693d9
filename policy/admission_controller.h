#pragma once

#include "policy/admission_policy.h"
#include "policy/concurrency_limit.h"
#include "policy/downstream_level.h"
#include "policy/level_estimator.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace fuchsiagauge {

/// Callbacks of an admission controller; each may be empty.
struct admission_hooks {
    std::function<void(int limit)> onLimit; ///< Called when the concurrency limit changes.
    std::function<void(std::uint32_t level)> onLevel; ///< Called when the admission level changes.
};

/// Switches that disable single mechanisms of an admission controller, for measurements.
struct admission_switches {
    bool hasAdaptiveLimit = true; ///< Adapts the concurrency limit; otherwise it stays at its maximum.
    bool hasRankOrder = true; ///< Queue ordered by rank; otherwise by arrival.
    /// Refuses requests that are expected to miss their deadlines; otherwise requests are refused only when
    /// they have expired or the queue is full.
    bool hasWaitShed = true;
    bool hasLevel = true; ///< Publishes an admission level to callers; otherwise it is 0.
    bool hasDownstreamLevel = true; ///< Refuses requests that are likely to be refused downstream.
};

/// Admission policy with an adaptive concurrency limit, a queue ordered by rank, and an admission level for
/// callers. Each instance controls one target.
class admission_controller : public admission_policy {
public:
    /// @param rules the service's rules.
    /// @param hooks callbacks for changes of the limit and the level.
    /// @param switches the mechanisms in use.
    admission_controller(const service_rules& rules, admission_hooks hooks, admission_switches switches = {});

    void submit(milliseconds now, const admission_request& request, decision_hook decide) override;
    void finish(const std::string& attemptId, milliseconds now, bool isSuccess) override;
    void onDownstreamShed(const std::string& attemptId) override;
    void cancel(const std::string& attemptId, milliseconds now) override;
    void tick(milliseconds now) override;
    void setRules(const service_rules& rules) override;
    void setPublishedSlots(int slots) override;
    void setLeaving(bool isLeaving) override;
    int getLimit() const override;
    int getInFlight() const override { return static_cast<int>(m_running.size()); }
    int getQueued() const override { return static_cast<int>(m_queue.size()); }
    std::uint32_t getAdmissionLevel() const override;

    /// @return the estimated service time of a request at the target: mean plus a margin of three mean
    /// deviations. Refusals are based on it.
    milliseconds getServiceTimeEstimate() const;

private:
    /// Position in the queue: highest rank first, then by arrival.
    struct queue_key {
        std::uint32_t rank;
        std::uint64_t sequence;

        friend bool operator<(const queue_key& a, const queue_key& b)
        {
            return a.rank != b.rank ? a.rank > b.rank : a.sequence < b.sequence;
        }
    };

    struct waiting_request {
        admission_request request;
        milliseconds arrivedAt;
        decision_hook decide;
    };

    struct running_request {
        milliseconds startedAt;
        std::uint32_t rank;
        bool isDownstreamShed; ///< A call for this request was refused downstream because of overload.
        bool isProbe; ///< Started to measure the service time, although it may miss its deadline.
    };

    struct pending_decision {
        decision_hook decide;
        std::optional<error_kind> refusal;
    };

    using queue = std::map<queue_key, waiting_request>;

    /// @return the next request in the queue.
    queue::iterator refuse(queue::iterator position, error_kind kind);
    void refuseAll(error_kind kind);
    void start(milliseconds now, queue::iterator position, bool isProbe);
    /// Starts queued requests while the limit allows it, and refuses those that are expired or would miss
    /// their deadlines.
    void startQueuedRequests(milliseconds now);
    /// Refuses queued requests that are expired or expected to miss their deadlines at their positions.
    void refuseUnservable(milliseconds now);
    /// Refuses the last requests of a queue that is longer than the rules allow.
    void refuseOverflow();
    bool isSaturated() const;
    bool isProbeDue(milliseconds now) const;
    bool willMissDeadline(milliseconds expectedStart, const waiting_request& item) const;
    /// @return the service time estimate, limited to a share of the time that the request arrived with but at
    /// least the mean plus one mean deviation.
    milliseconds getRequiredTime(const waiting_request& item) const;
    /// Updates the averages. A failure counts only if it took at least the mean service time.
    void updateServiceTime(milliseconds now, const running_request& ended, bool isSuccess);
    void applyLimitBounds();
    /// Reports changes of the limit and the level, then delivers pending decisions. A callback may call the
    /// controller again.
    void deliverNotifications();

    service_rules m_rules;
    admission_hooks m_hooks;
    admission_switches m_switches;
    concurrency_limit m_limit;
    level_estimator m_level;
    downstream_level m_downstream;
    queue m_queue;
    std::unordered_map<std::string, queue_key> m_queueKeys;
    std::unordered_map<std::string, running_request> m_running;
    std::uint64_t m_sequence = 0;
    std::deque<pending_decision> m_pendingDecisions; ///< Decisions whose callbacks have not been called yet.
    int m_publishedSlots = 0;
    bool m_isLeaving = false;
    double m_serviceMs = 0; ///< Moving average of the service time; 0: not known.
    double m_deviationMs = 0; ///< Moving average of the absolute deviation from `m_serviceMs`.
    milliseconds m_lastMeasurementAt { -1e9 }; ///< Time of the last service time sample or probe start.
    int m_notifiedLimit = 0;
    std::uint32_t m_notifiedLevel = 0;
};

} // namespace fuchsiagauge
