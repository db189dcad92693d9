#include "policy/level_estimator.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <numeric>
#include <vector>

namespace fuchsiagauge {
namespace {

    constexpr milliseconds windowDuration { 100 };
    constexpr std::size_t historyWindows = 10; ///< Windows of arrivals and completions that are kept.
    constexpr milliseconds priorityRetention { 60000 };
    constexpr std::size_t maxArrivals = 4096;
    /// The level falls only if the mean waiting time is at most this share of the queue target.
    constexpr double recoveryWaitShare = 0.5;
    constexpr double admittedPerCompletion = 1.1; ///< Arrivals to admit for each completion.
    constexpr double initialStep = 1.0 / 16; ///< First step by which the level falls, in classes.
    constexpr double stepGrowth = 2;
    constexpr int hashBits = 16; ///< Low bits of a rank that hold the hash; the priority is above them.
    constexpr double ranksPerClass = 65536;

} // namespace

level_estimator::level_estimator(double overloadThreshold, double recoveryThreshold)
    : m_overloadThreshold(overloadThreshold)
    , m_recoveryThreshold(recoveryThreshold)
{
}

void level_estimator::onArrival(milliseconds now, std::uint32_t rank)
{
    m_arrivals.push_back({ now, rank });
    if (m_arrivals.size() > maxArrivals)
        m_arrivals.pop_front();
    m_lastArrivals[rank >> hashBits] = now;
}

void level_estimator::onStart(milliseconds waited)
{
    ++m_starts;
    m_waitedMs += waited.getCount();
}

void level_estimator::tick(milliseconds now, milliseconds queueTarget)
{
    if (now - m_windowStart < windowDuration)
        return;
    removeExpired(now);
    m_completionHistory.push_back(m_completions);
    if (m_completionHistory.size() > historyWindows)
        m_completionHistory.pop_front();
    const double waitMs = m_starts > 0 ? m_waitedMs / m_starts : 0;
    const double refusedShare = getRefusedShare();
    if (refusedShare > m_overloadThreshold || waitMs > queueTarget.getCount())
        raiseLevel();
    else if (refusedShare <= m_recoveryThreshold && waitMs <= queueTarget.getCount() * recoveryWaitShare)
        lowerLevel();
    beginWindow(now);
}

double level_estimator::getRefusedShare() const
{
    const int ended = m_refusals + m_completions;
    return ended == 0 ? 0 : static_cast<double>(m_refusals) / ended;
}

void level_estimator::removeExpired(milliseconds now)
{
    const auto oldest = now - windowDuration * static_cast<double>(historyWindows);
    while (!m_arrivals.empty() && m_arrivals.front().at < oldest)
        m_arrivals.pop_front();
    for (auto priority = m_lastArrivals.begin(); priority != m_lastArrivals.end();) {
        const bool isExpired = now - priority->second > priorityRetention;
        priority = isExpired ? m_lastArrivals.erase(priority) : std::next(priority);
    }
}

void level_estimator::raiseLevel()
{
    m_step = initialStep;
    const int completions = std::accumulate(m_completionHistory.begin(), m_completionHistory.end(), 0);
    const auto admitted = static_cast<std::size_t>(completions * admittedPerCompletion);
    if (admitted >= m_arrivals.size())
        return;
    std::vector<std::uint32_t> ranks;
    ranks.reserve(m_arrivals.size());
    for (const auto& item : m_arrivals)
        ranks.push_back(item.rank);
    std::sort(ranks.begin(), ranks.end(), std::greater<>());
    m_level = std::max(m_level, ranks[admitted]);
}

void level_estimator::lowerLevel()
{
    if (m_level == 0)
        return;
    const auto priority = m_level >> hashBits;
    const auto lowerClasses = std::distance(m_lastArrivals.begin(), m_lastArrivals.lower_bound(priority));
    const double classFraction = (m_level - (priority << hashBits)) / ranksPerClass;
    const double position = static_cast<double>(lowerClasses) + classFraction - m_step;
    m_step *= stepGrowth;
    if (position <= 0) {
        m_level = 0;
        return;
    }
    const auto index = std::min(static_cast<std::size_t>(position), m_lastArrivals.size() - 1);
    const auto newPriority = std::next(m_lastArrivals.begin(), static_cast<std::ptrdiff_t>(index))->first;
    const double fraction = std::min(position - static_cast<double>(index), 1.0);
    const auto hash = static_cast<std::uint32_t>(fraction * (ranksPerClass - 1));
    m_level = std::min(m_level, (newPriority << hashBits) | hash);
}

void level_estimator::beginWindow(milliseconds now)
{
    m_windowStart = now;
    m_completions = 0;
    m_refusals = 0;
    m_starts = 0;
    m_waitedMs = 0;
}

} // namespace fuchsiagauge
