#pragma once

#include "policy/admission_policy.h"
#include "policy/concurrency_limit.h"
#include "policy/downstream_level.h"
#include "policy/level_estimator.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace fuchsiagauge {

/// Hooks of an admission controller; each may be empty.
struct admission_hooks {
    std::function<void(int limit)> onLimit; ///< The concurrency limit changed.
    std::function<void(std::uint32_t level)> onLevel; ///< The admission level changed.
};

/// Switches an admission controller's mechanisms off one by one, for measurements.
struct admission_switches {
    bool hasLimit = true; ///< Adaptive concurrency limit; else the ceiling is the limit.
    bool hasRankOrder = true; ///< Queue ordered by rank; else by arrival.
    bool hasWaitShed = true; ///< Refuses what can't be served in time; else only a full queue refuses.
    bool hasLevel = true; ///< Admission level for callers.
    bool hasDownstreamLevel = true; ///< Refuses what is most likely refused further down.
};

/// One target's adaptive concurrency limit, its queue ordered by rank, and its admission level.
class admission_controller : public admission_policy {
public:
    /// @param rules the service's rules.
    /// @param hooks told of changes.
    /// @param switches mechanisms in use.
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

    /// @return the time that a request needs at the target, with a margin; refusals are based on it.
    milliseconds getServiceTimeEstimate() const;

private:
    /// Place in the queue: high ranks first, then by arrival.
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
        bool isShedDownstream; ///< A call made for it was refused further down.
        bool isProbe; ///< Started although it may not end in time, to measure the service time.
    };

    struct pending_decision {
        decision_hook decide;
        std::optional<error_kind> refusal;
    };

    using queue = std::map<queue_key, waiting_request>;

    queue::iterator refuse(queue::iterator position, error_kind kind);
    void refuseAll(error_kind kind);
    void start(milliseconds now, queue::iterator position, bool isProbe);
    void startQueuedRequests(milliseconds now);
    void refuseUnservable(milliseconds now);
    void refuseOverflow();
    bool isSaturated() const;
    bool isProbeDue(milliseconds now) const;
    bool willMissDeadline(milliseconds startsAt, const waiting_request& item) const;
    milliseconds getRequiredTime(const waiting_request& item) const;
    void updateServiceTime(milliseconds now, const running_request& ended, bool isSuccess);
    void applyLimitBounds();
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
    std::deque<pending_decision> m_pendingDecisions; ///< Taken but not announced.
    int m_publishedSlots = 0;
    bool m_isLeaving = false;
    double m_serviceMs = 0; ///< Smoothed service time; 0: not known.
    double m_deviationMs = 0; ///< Smoothed deviation of the service time.
    milliseconds m_lastMeasurementAt { -1e9 }; ///< Last measured service time, or last probe.
    int m_notifiedLimit = 0;
    std::uint32_t m_notifiedLevel = 0;
};

} // namespace fuchsiagauge
