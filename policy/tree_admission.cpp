#include "policy/tree_admission.h"

#include <algorithm>

namespace fuchsiagauge {
namespace {

    constexpr double targetLoad
        = tree_admission::activationLoad; ///< The rest covers the variance of arrivals.
    constexpr double minShare = 0.05; ///< Requests that still enter show when the overload ends.
    constexpr milliseconds tickInterval { 50 };
    /// Part of the way to the wanted share in one interval. In whole steps the share would swing between two
    /// values if calls follow their requests sooner than expected.
    constexpr double shareGain = 0.5;
    constexpr milliseconds averagingTime { 50 }; ///< Of the reports of several instances of a service.
    constexpr milliseconds minInterval { 2 }; ///< Reports that come sooner than this count as if after it.
    constexpr milliseconds freshTime { 1000 }; ///< A load up to this age counts in full.
    constexpr milliseconds maxAge { 4000 }; ///< A load of this age doesn't count any more.
    constexpr std::size_t maxStates = 64;

} // namespace

void tree_admission::onLoad(milliseconds now, int priority, const service_load& reported)
{
    const auto key = std::pair(priority, reported.service);
    if (m_services.size() >= maxStates && m_services.count(key) == 0)
        return;
    const auto measuredAt = now - std::max(milliseconds(), reported.age);
    const auto [found, isNew] = m_services.try_emplace(key);
    auto& state = found->second;
    if (!isNew && measuredAt < state.measuredAt)
        return;
    // Loads that are passed on have been averaged over the instances by the node that calls them. The mean
    // over calls, not over slots, is the load that the next call meets.
    const bool isAverage = isNew || reported.age > milliseconds();
    const auto sinceLast = std::max(minInterval, measuredAt - state.measuredAt);
    const double weight = isAverage ? 1 : std::min(1.0, sinceLast / averagingTime);
    state.load += weight * (reported.load - state.load);
    state.measuredAt = measuredAt;
}

double tree_admission::getShare(milliseconds now, int priority, const std::vector<service_need>& needs) const
{
    double share = 1;
    for (const auto& need : needs) {
        const auto found = m_services.find({ priority, need.service });
        if (found != m_services.end())
            share = std::min(share, 1 - (1 - found->second.share) * fade(now, found->second));
    }
    return share;
}

bool tree_admission::isInformed(milliseconds now, int priority, const std::vector<service_need>& needs) const
{
    return std::any_of(needs.begin(), needs.end(), [&](const service_need& need) {
        const auto found = m_services.find({ priority, need.service });
        return found != m_services.end() && now - found->second.measuredAt <= freshTime;
    });
}

std::string tree_admission::findBottleneck(
    milliseconds now, int priority, const std::vector<service_need>& needs) const
{
    std::string bottleneck;
    double least = 1;
    for (const auto& need : needs) {
        const double share = getShare(now, priority, { need });
        if (share < least) {
            least = share;
            bottleneck = need.service;
        }
    }
    return bottleneck;
}

std::vector<service_load> tree_admission::getLoads(milliseconds now, int priority) const
{
    std::vector<service_load> loads;
    for (auto item = m_services.lower_bound({ priority, std::string() });
         item != m_services.end() && item->first.first == priority; ++item) {
        const auto age = now - item->second.measuredAt;
        if (age < maxAge)
            loads.push_back({ item->first.second, item->second.load, age });
    }
    std::sort(loads.begin(), loads.end(),
        [](const service_load& a, const service_load& b) { return a.load > b.load; });
    loads.resize(std::min(loads.size(), maxNeededServices));
    return loads;
}

void tree_admission::tick(milliseconds now, milliseconds responseTime)
{
    if (now - m_tickedAt < tickInterval)
        return;
    m_tickedAt = now;
    for (auto item = m_services.begin(); item != m_services.end();) {
        auto& state = item->second;
        const auto age = now - state.measuredAt;
        if (age >= maxAge) {
            item = m_services.erase(item);
            continue;
        }
        const double before = getShareAt(state, state.measuredAt - responseTime);
        const bool isLimiting = before < 1 || state.load > activationLoad;
        const double wanted
            = isLimiting ? std::clamp(before * targetLoad / std::max(state.load, 0.01), minShare, 1.0) : 1;
        state.share = isLimiting ? state.share + shareGain * (wanted - state.share) : 1;
        state.history.emplace_back(now, state.share);
        while (state.history.front().first < now - maxAge)
            state.history.pop_front();
        ++item;
    }
}

double tree_admission::fade(milliseconds now, const service_state& state)
{
    const auto age = now - state.measuredAt;
    return std::clamp((maxAge - age) / (maxAge - freshTime), 0.0, 1.0);
}

/// @return the share in effect at a time; 1 before the first one.
double tree_admission::getShareAt(const service_state& state, milliseconds when)
{
    double share = 1;
    for (const auto& [since, value] : state.history) {
        if (since > when)
            break;
        share = value;
    }
    return share;
}

} // namespace fuchsiagauge
