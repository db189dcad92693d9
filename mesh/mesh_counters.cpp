#include "mesh/mesh_counters.h"

namespace fuchsiagauge {

mesh_counters::mesh_counters(metrics_registry& registry)
    : retries(registry.getCounter("fuchsiagauge_mesh_repeats_total", "Requests sent to a second instance."))
    , localRetries(registry.getCounter("fuchsiagauge_mesh_asked_again_total",
          "Times that the local instance was asked again after it had refused a request."))
    , zoneSpillovers(registry.getCounter("fuchsiagauge_mesh_spilled_zone_total",
          "Requests sent to another availability zone of the region."))
    , regionSpillovers(
          registry.getCounter("fuchsiagauge_mesh_spilled_region_total", "Requests sent to another region."))
    , gateRefusals(registry.getCounter(
          "fuchsiagauge_mesh_gate_refusals_total", "Requests refused by the gate beside the local instance."))
    , rulesVersion(registry.getGauge("fuchsiagauge_mesh_rules_version", "Version of the routes in force."))
    , instances(registry.getGauge("fuchsiagauge_mesh_instances", "Instances known."))
    , slotsBusy(registry.getGauge("fuchsiagauge_mesh_slots_busy", "Slots of the local instance in use."))
    , slotsWaiting(registry.getGauge(
          "fuchsiagauge_mesh_slots_waiting", "Requests that wait for a slot of the local instance."))
    , openCalls(registry.getGauge("fuchsiagauge_mesh_open_calls", "Requests that have no answer yet."))
    , platformCalls(registry.getCounter("fuchsiagauge_mesh_platform_calls_total", "Calls to the platform."))
    , platformFailures(registry.getCounter(
          "fuchsiagauge_mesh_platform_failures_total", "Calls to the platform that failed."))
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
            "Requests of clients and of the local instance, by route, status and reason; status 0: the "
            "client "
            "left first.",
            { { "route", route }, { "status", statusText }, { "reason", reason } });
    }
    counter->add();
    auto& distribution = m_latencies[route];
    if (!distribution) {
        distribution = &m_registry.getLatency("fuchsiagauge_mesh_latency_ms",
            "Time from a request's arrival to its answer, in milliseconds.", { { "route", route } });
    }
    distribution->record(latency, now);
}

void mesh_counters::countAttempt(const std::string& instance, attempt_outcome outcome)
{
    const std::string outcomeName = getAttemptOutcomeName(outcome);
    auto& counter = m_attempts[instance + ' ' + outcomeName];
    if (!counter) {
        counter = &m_registry.getCounter("fuchsiagauge_mesh_attempts_total",
            "Attempts at instances, by instance and outcome.",
            { { "instance", instance }, { "outcome", outcomeName } });
    }
    counter->add();
}

} // namespace fuchsiagauge
