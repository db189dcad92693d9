#include "policy/instance_placement.h"

#include "policy/instance_picker.h"

#include <algorithm>

namespace fuchsiagauge {
namespace {

    constexpr double meanJitter = 0.5;

} // namespace

instance_placement instance_picker::describe(
    milliseconds now, const pick_request& request, const instance_directory::entry& candidate) const
{
    static const instance_stats noStats;
    const auto found = m_stats.find(candidate.record.id);
    const auto& stats = found == m_stats.end() ? noStats : found->second;
    instance_placement result;
    result.instance = &candidate;
    if (const char* reason = findExclusion(now, request, candidate, false))
        result.reason = reason;
    result.cost = getCost(now, request, candidate, stats);
    result.ownInFlight = stats.ownInFlight;
    result.failureRate = getFailureRate(stats, now);
    if (const auto estimate = m_runTimes.estimate(candidate.record.id, request.route))
        result.runTime = estimate->getMean();
    if (stats.hasReport(candidate)) {
        result.load = stats.report;
        result.reportAge = now - stats.reportedAt;
        result.state = stats.report.isFilling() ? "filling" : "full";
    } else {
        result.state = stats.introducedSince == candidate.firstSeenAt ? "new" : "not reported";
    }
    return result;
}

request_placement instance_picker::place(
    milliseconds now, const pick_request& request, const instance_directory& directory) const
{
    request_placement result;
    for (const auto* candidate : directory.findService(request.service))
        result.instances.push_back(describe(now, request, *candidate));
    std::stable_sort(result.instances.begin(), result.instances.end(), [](const auto& a, const auto& b) {
        return a.cost.getTotal(meanJitter) < b.cost.getTotal(meanJitter);
    });
    if (const auto* idle = findIdleInstance(now, request, directory)) {
        result.chosen = idle;
        result.reason = "idle instance is tried";
        return result;
    }
    for (const bool mayUseAvoided : { false, true }) {
        const auto first = std::find_if(
            result.instances.begin(), result.instances.end(), [&](const instance_placement& item) {
                return !findExclusion(now, request, *item.instance, mayUseAvoided);
            });
        if (first == result.instances.end())
            continue;
        result.chosen = first->instance;
        result.reason = mayUseAvoided ? "only avoided instances are left" : "lowest cost";
        return result;
    }
    result.reason = "none";
    return result;
}

} // namespace fuchsiagauge
