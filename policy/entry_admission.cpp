#include "policy/entry_admission.h"

#include <algorithm>

namespace fuchsiagauge {
namespace {

    constexpr milliseconds window { 200 }; ///< About the run time of a request with its calls.
    constexpr int minEnded = 5; ///< With fewer ends in a window it goes on.
    constexpr double toleratedShare = 0.2; ///< Of overload among the ends; a few come from slow runs.
    constexpr double fallFactor = 0.5; ///< Part of the overloaded share beyond it that is taken off.
    constexpr double riseStep = 0.1; ///< Per calm window: back to full within two seconds.
    constexpr double leastShare = 0.05; ///< What still enters tells when the overload is over.

} // namespace

void entry_admission::onEnd(int priority, bool isOverload)
{
    auto& known = m_levels[priority];
    ++known.ended;
    known.overloaded += isOverload ? 1 : 0;
}

bool entry_admission::isAdmitted(int priority, double fraction) const
{
    return fraction < getShare(priority);
}

void entry_admission::tick(milliseconds now)
{
    if (now - m_windowBegan < window)
        return;
    m_windowBegan = now;
    for (auto& [priority, known] : m_levels)
        move(known);
}

void entry_admission::move(level& known)
{
    if (known.ended >= minEnded) {
        const double overloaded = static_cast<double>(known.overloaded) / known.ended;
        if (overloaded > toleratedShare)
            known.share
                = std::max(leastShare, known.share * (1 - fallFactor * (overloaded - toleratedShare)));
        else
            known.share = std::min(1.0, known.share + riseStep);
    } else if (known.overloaded == 0) {
        known.share = std::min(1.0, known.share + riseStep);
    } else {
        return;
    }
    known.ended = 0;
    known.overloaded = 0;
}

double entry_admission::getShare(int priority) const
{
    const auto found = m_levels.find(priority);
    return found == m_levels.end() ? 1 : found->second.share;
}

} // namespace fuchsiagauge
