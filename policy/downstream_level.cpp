#include "policy/downstream_level.h"

#include <iterator>

namespace fuchsiagauge {
namespace {

    constexpr int hashBits = 16; ///< Low bits of a rank that hold the hash; the priority is above them.
    constexpr double overloadThreshold = 0.5; ///< Share of downstream refusals above which the level rises.
    constexpr double recoveryThreshold = 0.1; ///< Share of downstream refusals up to which the level falls.
    /// Interval at which each class may start a request below its level.
    constexpr milliseconds probeInterval { 100 };
    constexpr milliseconds classRetention { 60000 };
    /// Has no effect, because waiting times are not reported to the estimators of this level.
    constexpr milliseconds unusedQueueTarget { 1000 };

} // namespace

bool downstream_level::admit(milliseconds now, std::uint32_t rank)
{
    const class_level initial { level_estimator(overloadThreshold, recoveryThreshold), now, now };
    auto& entry = m_classes.try_emplace(rank >> hashBits, initial).first->second;
    entry.lastArrivalAt = now;
    entry.estimator.onArrival(now, rank);
    const bool isAdmitted = rank >= entry.estimator.get() || now - entry.lastAdmittedAt >= probeInterval;
    if (isAdmitted)
        entry.lastAdmittedAt = now;
    return isAdmitted;
}

void downstream_level::onEnd(std::uint32_t rank, bool isSuccess)
{
    const auto found = m_classes.find(rank >> hashBits);
    if (found == m_classes.end())
        return;
    if (isSuccess)
        found->second.estimator.onCompletion();
    else
        found->second.estimator.onRefusal();
}

void downstream_level::tick(milliseconds now)
{
    for (auto item = m_classes.begin(); item != m_classes.end();) {
        item->second.estimator.tick(now, unusedQueueTarget);
        const bool isExpired = now - item->second.lastArrivalAt > classRetention;
        item = isExpired ? m_classes.erase(item) : std::next(item);
    }
}

std::uint32_t downstream_level::getLowestClassLevel() const
{
    return m_classes.empty() ? 0 : m_classes.begin()->second.estimator.get();
}

} // namespace fuchsiagauge
