#pragma once

#include "core/error.h"
#include "core/metrics.h"

#include <cstdint>
#include <map>
#include <string>

namespace fuchsiagauge {

/// Metrics of one request class at a node.
struct class_metrics {
    metric_counter& offered; ///< Requests that arrived for the local target.
    metric_counter& answered; ///< Answered by the local target.
    metric_counter& shed; ///< Refused because of overload.
    metric_counter& expired; ///< Given up because the deadline passed.
    metric_counter& linkBytes; ///< Bytes sent to other regions.
    latency_distribution& latency; ///< From the arrival to the answer's head, at the local target.
};

/// What a node counts on its calls.
class call_counters {
public:
    /// @param registry keeps the metrics.
    explicit call_counters(metrics_registry& registry);

    /// @return the metrics of a class.
    class_metrics& getClass(const std::string& name);

    /// @return every class counted so far, by name.
    const std::map<std::string, class_metrics>& getClasses() const { return m_classes; }

    /// Counts a refusal or failure of the local target.
    void countFailure(const std::string& className, error_kind kind);

    /// Counts an answer that the node gave by itself.
    void countError(error_kind kind);

    /// Counts an outgoing attempt.
    void countAttempt(bool isRetry);

    /// Counts a large answer that was continued by range.
    void countResumedAnswer();

    /// Records the retries of one request that entered at this edge.
    void recordRetryCount(int retryCount);

private:
    metrics_registry& m_registry;
    std::map<std::string, class_metrics> m_classes;
    metric_counter& m_attempts;
    metric_counter& m_retries;
    metric_counter& m_resumed;
    metric_gauge& m_largestRetryCount;
};

} // namespace fuchsiagauge
