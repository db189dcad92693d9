#include "policy/offered_load.h"

#include <algorithm>
#include <cmath>

namespace fuchsiagauge {
namespace {

    constexpr milliseconds averagingTime { 150 };
    constexpr std::size_t maxPriorities = 32; ///< Less important requests beyond these are counted together.

} // namespace

void offered_load::onArrival(milliseconds now, int priority, milliseconds work)
{
    if (m_startedAt < milliseconds())
        m_startedAt = now;
    const double decay = getDecay(now);
    for (auto& [key, workMs] : m_workMs)
        workMs *= decay;
    m_decayedAt = now;
    const bool isNew = m_workMs.count(priority) == 0;
    const int key = isNew && m_workMs.size() >= maxPriorities ? m_workMs.rbegin()->first : priority;
    m_workMs[key] += work.getCount();
}

double offered_load::getLoad(milliseconds now, int priority, int slots) const
{
    if (m_startedAt < milliseconds())
        return 0;
    double workMs = 0;
    for (const auto& [key, offered] : m_workMs)
        workMs += key <= priority ? offered : 0;
    // At first the average covers only the time since the first request, but not less than a request takes.
    constexpr double minCoveredShare = 0.25;
    const double covered = std::max(minCoveredShare, 1 - std::exp(-((now - m_startedAt) / averagingTime)));
    return workMs * getDecay(now) / (averagingTime.getCount() * covered * std::max(1, slots));
}

double offered_load::getDecay(milliseconds now) const
{
    return std::exp(-(std::max(milliseconds(), now - m_decayedAt) / averagingTime));
}

} // namespace fuchsiagauge
