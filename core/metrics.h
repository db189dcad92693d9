#pragma once

#include "core/clock.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// A name and value that distinguish metrics with the same metric name.
struct metric_label {
    std::string name;
    std::string value;

    friend bool operator==(const metric_label& a, const metric_label& b)
    {
        return a.name == b.name && a.value == b.value;
    }
    friend bool operator!=(const metric_label& a, const metric_label& b) { return !(a == b); }
};

/// Labels in the order in which they are written.
using metric_labels = std::vector<metric_label>;

/// Metric types of the Prometheus text format.
enum class metric_kind {
    Counter,
    Gauge,
    Summary,
};

/// A monotonically increasing counter.
class metric_counter {
public:
    void add(std::uint64_t amount = 1) { m_count += amount; }

    std::uint64_t get() const { return m_count; }

private:
    std::uint64_t m_count = 0;
};

/// A value that can increase and decrease.
class metric_gauge {
public:
    void set(double value) { m_value = value; }
    void add(double amount) { m_value += amount; }
    double get() const { return m_value; }

private:
    double m_value = 0;
};

/// Statistics of the latencies recorded within a window.
struct latency_summary {
    std::uint64_t count = 0; ///< Number of values recorded within the window.
    milliseconds mean;
    milliseconds maximum;
    milliseconds p50; ///< Quantiles are estimates; with fewer than ten values they equal the maximum.
    milliseconds p90;
    milliseconds p99;
};

/// Distribution of latencies over a rolling window.
///
/// Two accumulators overlap by half a window, so that a summary always covers between half a window and a
/// whole window.
class latency_distribution {
public:
    /// @param window length of the rolling window.
    explicit latency_distribution(milliseconds window);
    ~latency_distribution();
    latency_distribution(const latency_distribution&) = delete;
    latency_distribution& operator=(const latency_distribution&) = delete;

    /// Records a latency.
    /// @param latency the latency; negative values are recorded as 0.
    /// @param now the current time.
    void record(milliseconds latency, milliseconds now);

    /// @return statistics of the values recorded within the window.
    latency_summary getSummary(milliseconds now) const;

    /// @return the number of values recorded since the start.
    std::uint64_t getTotalCount() const;

    /// @return the sum of the values recorded since the start.
    milliseconds getTotalTime() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// All metrics of one process.
///
/// Components look up their metrics once, when they start. The references stay valid for the lifetime of the
/// registry. Each name has one kind of metric: requesting a different kind throws std::logic_error.
class metrics_registry {
public:
    metrics_registry();
    ~metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;

    /// @param name Prometheus name, such as `fuchsiagauge_calls_total`.
    /// @param help description, one sentence.
    /// @param labels labels that distinguish it from other metrics with the same name.
    /// @return the counter; always the same object for the same name and labels.
    metric_counter& getCounter(
        const std::string& name, const std::string& help, const metric_labels& labels = {});

    /// @return the gauge with this name and these labels.
    metric_gauge& getGauge(
        const std::string& name, const std::string& help, const metric_labels& labels = {});

    /// @return the latency distribution with this name and these labels, over a window of one minute.
    latency_distribution& getLatency(
        const std::string& name, const std::string& help, const metric_labels& labels = {});

    /// @param now the current time, for the rolling windows.
    /// @return all metrics in the Prometheus text format, sorted by name.
    std::string formatPrometheusText(milliseconds now) const;

private:
    struct family;
    struct state;
    family& getFamily(const std::string& name, const std::string& help, metric_kind kind);

    std::unique_ptr<state> m_state;
};

} // namespace fuchsiagauge
