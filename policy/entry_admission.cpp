#include "policy/entry_admission.h"

#include <algorithm>

namespace fuchsiagauge {
namespace {

    constexpr milliseconds windowDuration { 200 }; ///< About the run time of a request with its calls.
    constexpr int minEndedRequests = 5; ///< With fewer ends in a window it goes on.
    constexpr double toleratedOverloadShare = 0.2; ///< Of overload among the ends; a few come from slow runs.
    constexpr double decreaseFactor = 0.5; ///< Part of the overloaded share beyond it that is taken off.
    constexpr double increaseStep = 0.1; ///< Per calm window: back to full within two seconds.
    constexpr double minShare = 0.05; ///< What still enters tells when the overload is over.

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
