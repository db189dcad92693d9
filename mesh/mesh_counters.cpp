#include "mesh/mesh_counters.h"

namespace fuchsiagauge {

mesh_counters::mesh_counters(metrics_registry& registry)
    : retries(registry.getCounter(
        "fuchsiagauge_mesh_repeats_total", "Retries of requests that an instance may already have seen."))
    , localRetries(registry.getCounter("fuchsiagauge_mesh_asked_again_total",
          "Requests sent to the local instance again after it refused them."))
    , zoneSpillovers(registry.getCounter("fuchsiagauge_mesh_spilled_zone_total",
          "Requests sent to another availability zone of the same region."))
    , regionSpillovers(
          registry.getCounter("fuchsiagauge_mesh_spilled_region_total", "Requests sent to another region."))
    , gateRefusals(registry.getCounter("fuchsiagauge_mesh_gate_refusals_total",
          "Requests from other nodes refused before reaching the local instance."))
    , rulesVersion(
          registry.getGauge("fuchsiagauge_mesh_rules_version", "Version of the active traffic rules."))
    , instances(registry.getGauge("fuchsiagauge_mesh_instances", "Known instances."))
    , slotsBusy(registry.getGauge("fuchsiagauge_mesh_slots_busy", "Slots of the local instance in use."))
    , slotsWaiting(registry.getGauge(
          "fuchsiagauge_mesh_slots_waiting", "Requests waiting for a slot of the local instance."))
    , slotsUsable(registry.getGauge("fuchsiagauge_mesh_slots_usable",
          "Slots of the local instance that are usable now; fewer than all after a start or a recovery."))
    , fillState(registry.getGauge("fuchsiagauge_mesh_fill_state",
          "How far the local instance is open to requests; 0: full, 1: starting, 2: recovering."))
    , rateLimit(registry.getGauge("fuchsiagauge_mesh_rate_limit",
          "Requests per second that the local instance takes at most; 0 if it states no limit."))
    , openCalls(registry.getGauge("fuchsiagauge_mesh_open_calls", "Requests that have no response yet."))
    , platformCalls(registry.getCounter("fuchsiagauge_mesh_platform_calls_total", "Calls to the platform."))
    , platformFailures(
          registry.getCounter("fuchsiagauge_mesh_platform_failures_total", "Failed calls to the platform."))
    , missedChanges(registry.getCounter("fuchsiagauge_mesh_watches_replaced_total",
          "Watches of the platform that were sent again because they had not reported a change."))
    , replicaPolls(registry.getCounter(
          "fuchsiagauge_mesh_item_polls_total", "Polls for published items sent to other nodes."))
    , isReader(registry.getGauge("fuchsiagauge_mesh_reader", "1 if this node reads the platform itself."))
    , isConnected(registry.getGauge("fuchsiagauge_mesh_connected",
          "1 if the platform answers this node or the node that it learns from."))
    , replicaRevision(registry.getGauge(
          "fuchsiagauge_mesh_items_revision", "Revision of the platform up to which all changes are known."))
    , proofAge(registry.getGauge("fuchsiagauge_mesh_proof_age_seconds",
          "Time since the configuration was last proved current; 1000000 if it was not, 0 if "
          "platform.revoke_s is not set."))
    , heldRequestBytes(registry.getGauge("fuchsiagauge_mesh_held_request_bytes",
          "Memory of requests, from their first byte to their response."))
    , heldResponseBytes(registry.getGauge("fuchsiagauge_mesh_held_response_bytes",
          "Memory of responses, until their clients have read them."))
    , waitingReaders(registry.getGauge(
          "fuchsiagauge_mesh_paused_connections", "Connections that are not read for lack of memory."))
    , connections(
          registry.getGauge("fuchsiagauge_mesh_connections", "Incoming connections on all listeners."))
    , m_registry(registry)
{
}

void mesh_counters::countRequest(
    const std::string& route, int status, const std::string& reason, milliseconds latency, milliseconds now)
{
    const auto statusText = std::to_string(status);
    auto& counter = m_requests[route + ' ' + statusText + ' ' + reason];
    if (!counter) {
        counter = &m_registry.getCounter("fuchsiagauge_mesh_requests_total",
            "Requests of clients and of the local instance, by route, status and reason; status 0 if the "
            "client disconnected first.",
            { { "route", route }, { "status", statusText }, { "reason", reason } });
    }
    counter->add();
    auto& distribution = m_latencies[route];
    if (!distribution) {
        distribution = &m_registry.getLatency("fuchsiagauge_mesh_latency_ms",
            "Time from a request's arrival to its response, in milliseconds.", { { "route", route } });
    }
    distribution->record(latency, now);
}

void mesh_counters::countAttempt(const std::string& instance, attempt_outcome outcome)
{
    const std::string outcomeName = getAttemptOutcomeName(outcome);
    auto& counter = m_attempts[instance + ' ' + outcomeName];
    if (!counter) {
        counter = &m_registry.getCounter("fuchsiagauge_mesh_attempts_total",
            "Attempts to run a request, by instance and outcome.",
            { { "instance", instance }, { "outcome", outcomeName } });
    }
    counter->add();
}

void mesh_counters::setQuota(const quota_agent& quota, milliseconds now)
{
    const auto& current = quota.getStatistics();
    if (!quota.isEnabled() && current.admitted == 0)
        return;
    const auto count = [this](const char* name, const char* help, std::uint64_t before, std::uint64_t after) {
        m_registry.getCounter(name, help).add(after - before);
    };
    count("fuchsiagauge_mesh_quota_admitted_total",
        "Requests of organisations with a limit that were admitted.", m_quota.admitted, current.admitted);
    count("fuchsiagauge_mesh_quota_refused_total",
        "Requests refused since their organisation's share is used up.", m_quota.refused, current.refused);
    count("fuchsiagauge_mesh_quota_returned_total",
        "Admitted requests that were refused later without having run.", m_quota.returned, current.returned);
    count("fuchsiagauge_mesh_quota_reports_total", "Reports of shares sent to the coordinator.",
        m_quota.reports, current.reports);
    m_quota = current;
    m_registry.getGauge("fuchsiagauge_mesh_quota_nodes", "Nodes that the limits are divided by.")
        .set(quota.getNodeCount());
    m_registry.getGauge("fuchsiagauge_mesh_quota_lent", "Shares lent to the coordinator, in whole limits.")
        .set(quota.getLentShare(now));
    m_registry
        .getGauge("fuchsiagauge_mesh_quota_borrowed", "Shares borrowed of the coordinator, in whole limits.")
        .set(quota.getBorrowedShare(now));
    m_registry
        .getGauge("fuchsiagauge_mesh_quota_granted", "Shares lent on as the coordinator, in whole limits.")
        .set(quota.getGrantedShare());
}

void mesh_counters::countTreeShed(const std::string& service)
{
    m_registry
        .getCounter("fuchsiagauge_mesh_tree_shed_total",
            "Requests refused at the local instance because a service further down has too much work.",
            { { "service", service } })
        .add();
}

void mesh_counters::setTreeDemand(const std::string& route, const std::string& service, milliseconds work)
{
    m_registry
        .getGauge("fuchsiagauge_mesh_tree_work_ms",
            "Time of slots of a service further down that one request of a route needs.",
            { { "route", route }, { "service", service } })
        .set(work.getCount());
}

void mesh_counters::countClientRefusal(const std::string& reason)
{
    auto& counter = m_clientRefusals[reason];
    if (!counter) {
        counter = &m_registry.getCounter("fuchsiagauge_mesh_clients_refused_total",
            "Requests refused and connections closed before the request had been received, by limit.",
            { { "reason", reason } });
    }
    counter->add();
}

} // namespace fuchsiagauge
