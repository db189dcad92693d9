#include "policy/repeat_budget.h"

#include <algorithm>

namespace fuchsiagauge {
namespace {

    constexpr int slicesPerWindow = 20;
    /// Part of the budget that is spent. The rest covers nodes that have restarted and no longer know what
    /// they spent, and repeats further down the call graph, which are sent whatever the budget there holds.
    constexpr double spentShare = 0.6;

} // namespace

repeat_budget::repeat_budget(repeat_limits limits)
    : m_limits(limits)
{
}

void repeat_budget::setNodeCount(int count) { m_nodeCount = std::max(1, count); }

void repeat_budget::onRequest(const std::string& service, milliseconds now)
{
    auto& known = advance(service, now);
    ++known.requests;
    ++known.slices.back().requests;
}

void repeat_budget::onInheritedRepeat(const std::string& service, milliseconds now)
{
    auto& known = advance(service, now);
    ++known.repeats;
    ++known.slices.back().repeats;
}

bool repeat_budget::tryTake(const std::string& service, milliseconds now, double share)
{
    auto& known = advance(service, now);
    const double allowed = spentShare * (m_limits.ratio * known.requests + m_limits.extra / m_nodeCount);
    if (known.repeats + 1 > allowed * share)
        return false;
    ++known.repeats;
    ++known.slices.back().repeats;
    return true;
}

repeat_budget::ledger& repeat_budget::advance(const std::string& service, milliseconds now)
{
    auto& known = m_ledgers[service];
    const auto sliceSpan = m_limits.window * (1.0 / slicesPerWindow);
    if (known.slices.empty() || now - known.slices.back().startedAt >= sliceSpan)
        known.slices.push_back({ now, 0, 0 });
    while (now - known.slices.front().startedAt > m_limits.window + sliceSpan) {
        known.requests -= known.slices.front().requests;
        known.repeats -= known.slices.front().repeats;
        known.slices.pop_front();
    }
    return known;
}

} // namespace fuchsiagauge
