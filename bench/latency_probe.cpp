#include "bench/latency_probe.h"

#include "bench/experiment_run.h"

#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace fuchsiagauge::bench {
namespace {

    using json = nlohmann::json;

    constexpr double msPerSecond = 1000;
    constexpr double probeDeadlineMs = 5000;

    caller_group makeGroup(const latency_plan& plan, const char* name, const address& destination)
    {
        caller_group group;
        group.name = name;
        group.edges = { destination };
        group.path = plan.path;
        group.ratePerS = plan.ratePerS;
        group.deadlineMs = probeDeadlineMs;
        return group;
    }

    json formatSummary(const latency_summary& summary)
    {
        return { { "count", summary.count }, { "p50_ms", summary.p50 }, { "p90_ms", summary.p90 },
            { "p99_ms", summary.p99 }, { "max_ms", summary.max } };
    }

    void writeRow(std::ostream& out, const char* name, const latency_summary& summary)
    {
        out << std::left << std::setw(8) << name << std::right << std::setw(9) << summary.count
            << std::setw(10) << summary.p50 << std::setw(10) << summary.p90 << std::setw(10) << summary.p99
            << std::setw(10) << summary.max << '\n';
    }

} // namespace

latency_comparison measureLatency(const latency_plan& plan)
{
    experiment probeExperiment;
    probeExperiment.seed = plan.seed;
    probeExperiment.durationS = plan.warmUpS + plan.durationS;
    auto viaGroup = makeGroup(plan, "via", plan.via);
    viaGroup.service = plan.service;
    probeExperiment.groups = { makeGroup(plan, "direct", plan.direct), std::move(viaGroup) };
    std::vector<double> directMs;
    std::vector<double> viaMs;
    latency_comparison result;
    run_hooks hooks;
    hooks.recordRequest = [&](const request_record& record) {
        if (record.arrivalMs < plan.warmUpS * msPerSecond)
            return;
        if (record.verdict != request_verdict::Succeeded) {
            ++result.failures;
            return;
        }
        const auto& send = record.sends.back();
        (record.group == "direct" ? directMs : viaMs).push_back(send.endMs - send.startMs);
    };
    runExperiment(probeExperiment, hooks);
    result.direct = summarize(std::move(directMs));
    result.via = summarize(std::move(viaMs));
    return result;
}

std::string formatLatencyJson(const latency_comparison& comparison)
{
    const json result { { "direct", formatSummary(comparison.direct) },
        { "via", formatSummary(comparison.via) }, { "failures", comparison.failures },
        { "added_p50_ms", comparison.via.p50 - comparison.direct.p50 },
        { "added_p99_ms", comparison.via.p99 - comparison.direct.p99 } };
    return result.dump(1) + '\n';
}

std::string formatLatencyTable(const latency_comparison& comparison)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(3);
    out << "path        calls    p50 ms    p90 ms    p99 ms    max ms\n";
    writeRow(out, "direct", comparison.direct);
    writeRow(out, "via", comparison.via);
    out << "added: p50 " << comparison.via.p50 - comparison.direct.p50 << " ms, p99 "
        << comparison.via.p99 - comparison.direct.p99 << " ms; failures " << comparison.failures << '\n';
    return out.str();
}

} // namespace fuchsiagauge::bench
