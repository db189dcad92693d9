#pragma once

#include "core/metrics.h"
#include "core/peer_envelope.h"
#include "policy/quota_agent.h"

#include <array>
#include <map>
#include <string>

namespace fuchsiagauge {

/// The metrics of a mesh node.
class mesh_counters {
public:
    /// @param registry owns the metrics; must outlive this object.
    explicit mesh_counters(metrics_registry& registry);

    /// Counts a finished request of a client or of the local instance and records its latency.
    /// @param route name of the route; empty if no route matched.
    /// @param status HTTP status of the response; 0 if the client disconnected first.
    /// @param reason why the node itself responded; empty if an instance responded.
    /// @param latency time from the arrival of the request to its end.
    void countRequest(const std::string& route, int status, const std::string& reason, milliseconds latency,
        milliseconds now);

    /// Counts an attempt that has ended.
    void countAttempt(const std::string& instance, attempt_outcome outcome);

    /// Updates the metrics of the limits of organisations; they exist once an organisation has had a limit.
    void setQuota(const quota_agent& quota, milliseconds now);

    /// Counts a request that was refused because a service further down has too much work.
    void countTreeShed(const std::string& service);

    /// Sets the learned work that one request of a route needs of a service further down.
    void setTreeDemand(const std::string& route, const std::string& service, milliseconds work);

    /// Counts a request that was refused, or a connection that was closed, before the request had been
    /// received.
    /// @param reason limit that was reached, such as `memory`.
    void countClientRefusal(const std::string& reason);

    metric_counter& retries; ///< Requests retried after an instance may have seen them.
    metric_counter& localRetries; ///< Requests sent to the local instance again after it refused them.
    metric_counter& zoneSpillovers; ///< Requests sent to another availability zone of the same region.
    metric_counter& regionSpillovers; ///< Requests sent to another region.
    metric_counter& gateRefusals; ///< Requests from other nodes refused before reaching the local instance.
    metric_gauge& rulesVersion;
    metric_gauge& instances;
    metric_gauge& slotsBusy;
    metric_gauge& slotsWaiting;
    metric_gauge& slotsUsable; ///< All slots, unless the instance has just started or recovered.
    metric_gauge& fillState; ///< As `fill_state`: 0 full, 1 starting, 2 recovering.
    metric_gauge& rateLimit; ///< Stated by the local instance, in requests per second; 0 if there is none.
    metric_gauge& openCalls;
    metric_counter& platformCalls;
    metric_counter& platformFailures;
    metric_counter& missedChanges; ///< Watches of the platform that did not report a change.
    metric_counter& replicaPolls; ///< Polls for published items sent to other nodes.
    metric_gauge& isReader;
    metric_gauge& isConnected;
    metric_gauge& replicaRevision;
    metric_gauge& proofAge; ///< Since the items were proved current, in seconds; 0 if keys are not limited.
    metric_gauge& heldRequestBytes; ///< Of requests, from their first byte to their response.
    metric_gauge& heldResponseBytes; ///< Of responses, until their clients have read them.
    metric_gauge& waitingReaders; ///< Connections that are not read for lack of memory.
    metric_gauge& connections; ///< Incoming ones, on all listeners.

private:
    metrics_registry& m_registry;
    std::map<std::string, metric_counter*> m_requests;
    std::map<std::string, latency_distribution*> m_latencies;
    std::map<std::string, metric_counter*> m_attempts;
    quota_agent::statistics m_quota; ///< As last written to the metrics.
    std::map<std::string, metric_counter*> m_clientRefusals;
};

} // namespace fuchsiagauge
