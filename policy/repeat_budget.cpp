#include "policy/repeat_budget.h"

#include <algorithm>

namespace fuchsiagauge {
namespace {

    constexpr int slicesPerWindow = 20;

    /// Part of the budget up to which a claim may take from it. What is never spent covers nodes that have
    /// restarted and no longer know what they let through.
    double getShare(repeat_claim claim)
    {
        constexpr double inheritedShare = 0.9;
        constexpr double entryShare = 0.8;
        constexpr double importantCallShare = 0.72;
        constexpr double otherCallShare = 0.4;
        switch (claim) {
        case repeat_claim::Inherited:
            return inheritedShare;
        case repeat_claim::Entry:
            return entryShare;
        case repeat_claim::ImportantCall:
            return importantCallShare;
        case repeat_claim::OtherCall:
            break;
        }
        return otherCallShare;
    }

} // namespace

repeat_budget::repeat_budget(repeat_limits limits)
    : m_limits(limits)
{
}

void repeat_budget::setSharers(int count) { m_sharers = std::max(1, count); }

void repeat_budget::onFirst(milliseconds now) { ++advance(now).firsts; }

void repeat_budget::onRepeat(milliseconds now) { ++advance(now).repeats; }

bool repeat_budget::hasRoom(milliseconds now, repeat_claim claim)
{
    advance(now);
    const auto window = m_limits.window;
    const int firsts = std::max({ countFirsts(now - window, now),
        countFirsts(now - window * 1.5, now - window * 0.5), countFirsts(now - window * 2, now - window) });
    const double allowed = m_limits.ratio * firsts + m_limits.extra / m_sharers;
    return countRepeats(now - window) + 1 <= allowed * getShare(claim);
}

repeat_budget::slice& repeat_budget::advance(milliseconds now)
{
    const auto sliceSpan = m_limits.window * (1.0 / slicesPerWindow);
    if (m_slices.empty() || now - m_slices.back().startedAt >= sliceSpan)
        m_slices.push_back({ now, 0, 0 });
    while (now - m_slices.front().startedAt > m_limits.window * 2 + sliceSpan)
        m_slices.pop_front();
    return m_slices.back();
}

/// Counts the slices that lie within a span; what may lie outside is left out.
int repeat_budget::countFirsts(milliseconds from, milliseconds to) const
{
    const auto sliceSpan = m_limits.window * (1.0 / slicesPerWindow);
    int count = 0;
    for (const auto& one : m_slices) {
        const bool isLast = &one == &m_slices.back();
        const bool isWithin
            = one.startedAt >= from && (isLast ? one.startedAt <= to : one.startedAt + sliceSpan <= to);
        count += isWithin ? one.firsts : 0;
    }
    return count;
}

/// Counts the slices that reach into the span from an instant on.
int repeat_budget::countRepeats(milliseconds from) const
{
    const auto sliceSpan = m_limits.window * (1.0 / slicesPerWindow);
    int count = 0;
    for (const auto& one : m_slices)
        count += one.startedAt + sliceSpan >= from ? one.repeats : 0;
    return count;
}

} // namespace fuchsiagauge
