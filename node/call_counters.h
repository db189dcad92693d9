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
    metric_counter& expired; ///< Failed because the deadline passed.
    metric_counter& linkBytes; ///< Bytes sent to other regions.
    latency_distribution& latency; ///< From arrival to the head of the target's response.
};

/// Counts a node's calls, attempts and errors.
class call_counters {
public:
    /// @param registry holds the metrics; must outlive the counters.
    explicit call_counters(metrics_registry& registry);

    /// @return the metrics of a class, created at the first use.
    class_metrics& getClass(const std::string& name);

    /// @return the metrics of all classes counted so far, by class name.
    const std::map<std::string, class_metrics>& getClasses() const { return m_classes; }

    /// Counts a request that the local target did not answer, by the kind of its error.
    void countFailure(const std::string& className, error_kind kind);

    /// Counts an error response that the node generated.
    void countError(error_kind kind);

    /// Counts an outgoing attempt.
    /// @param isRetry whether the attempt is a retry of an earlier one.
    void countAttempt(bool isRetry);

    /// Counts a large response that was resumed by a range request.
    void countResumedResponse();

    /// Records the number of retries of one request that entered at this edge.
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
