#include "policy/entry_admission.h"

#include <algorithm>

namespace fuchsiagauge {
namespace {

    constexpr milliseconds windowDuration { 200 }; ///< About the run time of a request with all its calls.
    constexpr int minEndedRequests = 5; ///< With overload but fewer ended requests, the counts carry over.
    /// Share of the ended requests that may end in overload; slow runs cause a few without one.
    constexpr double toleratedOverloadShare = 0.2;
    constexpr double decreaseFactor = 0.5; ///< Applied to the overload share above the tolerated one.
    constexpr double increaseStep = 0.1; ///< Per window within the tolerated share; full within 2 s.
    constexpr double minShare = 0.05; ///< Requests that still enter show when the overload ends.

} // namespace

void entry_admission::onEnd(int priority, bool isOverload)
{
    auto& state = m_priorityStates[priority];
    ++state.ended;
    state.overloadCount += isOverload ? 1 : 0;
}

bool entry_admission::isAdmitted(int priority, double fraction) const
{
    return fraction < getShare(priority);
}

void entry_admission::tick(milliseconds now)
{
    if (now - m_windowStart < windowDuration)
        return;
    m_windowStart = now;
    for (auto& [priority, state] : m_priorityStates)
        updateShare(state);
}

void entry_admission::updateShare(priority_state& state)
{
    if (state.ended >= minEndedRequests) {
        const double overloadShare = static_cast<double>(state.overloadCount) / state.ended;
        if (overloadShare > toleratedOverloadShare)
            state.share = std::max(
                minShare, state.share * (1 - decreaseFactor * (overloadShare - toleratedOverloadShare)));
        else
            state.share = std::min(1.0, state.share + increaseStep);
    } else if (state.overloadCount == 0) {
        state.share = std::min(1.0, state.share + increaseStep);
    } else {
        return;
    }
    state.ended = 0;
    state.overloadCount = 0;
}

double entry_admission::getShare(int priority) const
{
    const auto found = m_priorityStates.find(priority);
    return found == m_priorityStates.end() ? 1 : found->second.share;
}

} // namespace fuchsiagauge
