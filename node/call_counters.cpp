#include "node/call_counters.h"

namespace fuchsiagauge {

call_counters::call_counters(metrics_registry& registry)
    : m_registry(registry)
    , m_attempts(registry.getCounter("fuchsiagauge_attempts_total", "Outgoing attempts."))
    , m_retries(
          registry.getCounter("fuchsiagauge_retries_total", "Outgoing attempts that repeat an earlier one."))
    , m_resumed(
          registry.getCounter("fuchsiagauge_resumed_answers_total", "Large answers continued by range."))
    , m_largestRetryCount(registry.getGauge(
          "fuchsiagauge_largest_retry_count", "Most retries for one request that entered at this edge."))
{
}

class_metrics& call_counters::getClass(const std::string& name)
{
    const auto found = m_classes.find(name);
    if (found != m_classes.end())
        return found->second;
    const metric_labels labels { { "class", name } };
    class_metrics made {
        m_registry.getCounter(
            "fuchsiagauge_offered_total", "Requests that arrived for the local target.", labels),
        m_registry.getCounter(
            "fuchsiagauge_answered_total", "Requests answered by the local target.", labels),
        m_registry.getCounter("fuchsiagauge_shed_total", "Requests refused because of overload.", labels),
        m_registry.getCounter("fuchsiagauge_expired_total", "Requests given up at their deadline.", labels),
        m_registry.getCounter("fuchsiagauge_link_bytes_total", "Bytes sent to other regions.", labels),
        m_registry.getLatency(
            "fuchsiagauge_target_latency_ms", "Latency at the local target, queue included.", labels),
    };
    return m_classes.emplace(name, made).first->second;
}

void call_counters::countFailure(const std::string& className, error_kind kind)
{
    auto& counts = getClass(className);
    if (kind == error_kind::Shed || kind == error_kind::QueueTimeout
        || kind == error_kind::LinkBudgetExhausted)
        counts.shed.add();
    if (kind == error_kind::DeadlineExceeded || kind == error_kind::AnswerTimeout)
        counts.expired.add();
}

void call_counters::countError(error_kind kind)
{
    const metric_labels labels { { "error", getErrorResponse(kind).name } };
    m_registry.getCounter("fuchsiagauge_errors_total", "Error answers given by the node.", labels).add();
}

void call_counters::countAttempt(bool isRetry)
{
    m_attempts.add();
    if (isRetry)
        m_retries.add();
}

void call_counters::countResume() { m_resumed.add(); }

void call_counters::recordRetries(int spent)
{
    if (spent > m_largestRetryCount.get())
        m_largestRetryCount.set(spent);
}

} // namespace fuchsiagauge
