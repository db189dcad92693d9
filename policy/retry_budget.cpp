#include "policy/retry_budget.h"

#include <algorithm>

namespace fuchsiagauge {
namespace {

    constexpr int slicesPerWindow = 20;
    /// Slices whose demand shows how many retries important calls need.
    constexpr int demandSlices = 2;
    constexpr double importantCallShare = 0.75;

    /// @return the share of the budget that retries of a priority may use up. No priority may use all of it:
    /// the rest covers nodes that restarted and lost count of the retries they had admitted.
    double getBudgetShare(retry_priority priority)
    {
        constexpr double inheritedShare = 0.9;
        constexpr double entryShare = 0.8;
        constexpr double otherCallShare = 0.4;
        switch (priority) {
        case retry_priority::Inherited:
            return inheritedShare;
        case retry_priority::Entry:
            return entryShare;
        case retry_priority::ImportantCall:
            return importantCallShare;
        case retry_priority::OtherCall:
            break;
        }
        return otherCallShare;
    }

} // namespace

retry_budget::retry_budget(retry_limits limits)
    : m_limits(limits)
{
}

void retry_budget::setInstanceCount(int count) { m_instanceCount = std::max(1, count); }

void retry_budget::onFirstArrival(milliseconds now) { ++getCurrentSlice(now).firstArrivals; }

void retry_budget::onRetry(milliseconds now, retry_priority priority)
{
    auto& current = getCurrentSlice(now);
    ++current.retries;
    current.importantRetries += priority == retry_priority::ImportantCall ? 1 : 0;
}

bool retry_budget::isRetryAllowed(milliseconds now, retry_priority priority)
{
    auto& current = getCurrentSlice(now);
    current.importantDemand += priority == retry_priority::ImportantCall ? 1 : 0;
    const auto window = m_limits.window;
    const int firstArrivals = std::max(
        { countFirstArrivals(now - window, now), countFirstArrivals(now - window * 1.5, now - window * 0.5),
            countFirstArrivals(now - window * 2, now - window) });
    const double allowed = m_limits.ratio * firstArrivals + m_limits.extra / m_instanceCount;
    const int used = countRetries(now - window);
    const bool isReserved
        = priority == retry_priority::OtherCall && used + 1 + getReserve(now) > allowed * importantCallShare;
    return !isReserved && used + 1 <= allowed * getBudgetShare(priority);
}

retry_budget::slice& retry_budget::getCurrentSlice(milliseconds now)
{
    const auto sliceSpan = m_limits.window * (1.0 / slicesPerWindow);
    if (m_slices.empty() || now - m_slices.back().startedAt >= sliceSpan)
        m_slices.push_back({ now, 0, 0 });
    while (now - m_slices.front().startedAt > m_limits.window * 2 + sliceSpan)
        m_slices.pop_front();
    return m_slices.back();
}

/// @return the retries that important calls will need in a window at their latest demand, less those they
/// have already used in the current one.
double retry_budget::getReserve(milliseconds now) const
{
    const auto sliceSpan = m_limits.window * (1.0 / slicesPerWindow);
    const auto demandFrom = now - sliceSpan * demandSlices;
    const auto windowFrom = now - m_limits.window;
    int demand = 0;
    int used = 0;
    for (const auto& item : m_slices) {
        demand += item.startedAt >= demandFrom ? item.importantDemand : 0;
        used += item.startedAt + sliceSpan >= windowFrom ? item.importantRetries : 0;
    }
    const double needed = static_cast<double>(demand) * slicesPerWindow / demandSlices;
    return std::max(0.0, needed - used);
}

/// Counts first arrivals in the slices that lie wholly within a time span. A slice that may extend beyond the
/// span is left out, so that the budget is never overestimated.
int retry_budget::countFirstArrivals(milliseconds from, milliseconds to) const
{
    const auto sliceSpan = m_limits.window * (1.0 / slicesPerWindow);
    int count = 0;
    for (const auto& item : m_slices) {
        const bool isLast = &item == &m_slices.back();
        const bool isWithin
            = item.startedAt >= from && (isLast ? item.startedAt <= to : item.startedAt + sliceSpan <= to);
        count += isWithin ? item.firstArrivals : 0;
    }
    return count;
}

/// Counts the retries since a time. A slice that started earlier but may extend beyond that time is included,
/// so that retries are never underestimated.
int retry_budget::countRetries(milliseconds from) const
{
    const auto sliceSpan = m_limits.window * (1.0 / slicesPerWindow);
    int count = 0;
    for (const auto& item : m_slices)
        count += item.startedAt + sliceSpan >= from ? item.retries : 0;
    return count;
}

} // namespace fuchsiagauge
