#pragma once

#include "core/metrics.h"
#include "core/peer_envelope.h"

#include <array>
#include <map>
#include <string>

namespace fuchsiagauge {

/// What a node in a mesh counts on its calls.
class mesh_counters {
public:
    /// @param registry keeps the metrics.
    explicit mesh_counters(metrics_registry& registry);

    /// Counts a request of a client or of the local instance that was answered.
    /// @param route name of its route; empty: none.
    /// @param status status of the answer; 0: the client left first.
    /// @param reason why the node answered by itself; empty for an instance's answer.
    void countRequest(const std::string& route, int status, const std::string& reason, milliseconds latency,
        milliseconds now);

    /// Counts the end of an attempt.
    void countAttempt(const std::string& instance, attempt_outcome outcome);

    metric_counter& retries; ///< Requests sent to a second instance.
    metric_counter& localRetries; ///< Times that the local instance was asked again after a refusal.
    metric_counter& zoneSpillovers; ///< Requests sent to another zone of the region.
    metric_counter& regionSpillovers; ///< Requests sent to another region.
    metric_counter& gateRefusals; ///< Requests refused by the gate beside the local instance.
    metric_gauge& rulesVersion;
    metric_gauge& instances;
    metric_gauge& slotsBusy;
    metric_gauge& slotsWaiting;
    metric_gauge& openCalls;
    metric_counter& platformCalls;
    metric_counter& platformFailures;

private:
    metrics_registry& m_registry;
    std::map<std::string, metric_counter*> m_requests;
    std::map<std::string, latency_distribution*> m_latencies;
    std::map<std::string, metric_counter*> m_attempts;
};

} // namespace fuchsiagauge
