#include "policy/link_budget.h"

#include "core/error.h"

#include <algorithm>

namespace fuchsiagauge {
namespace {

    constexpr double burstSeconds = 0.25; ///< Capacity of each bucket, in seconds of its rate.
    constexpr double smallRateShare = 0.25; ///< Fraction of the rate that is reserved for small transfers.
    constexpr double maxSmallDelaySeconds = 0.5;
    constexpr double maxLargeDelaySeconds = 2;
    constexpr double millisecondsPerSecond = 1000;

} // namespace

link_budget::link_budget(double bytesPerSecond)
    : m_bytesPerSecond(std::max(0.0, bytesPerSecond))
    , m_smallTokens(getSmallRate() * burstSeconds)
    , m_largeTokens(getLargeRate() * burstSeconds)
{
}

void link_budget::setRate(milliseconds now, double bytesPerSecond)
{
    refill(now);
    m_bytesPerSecond = std::max(0.0, bytesPerSecond);
    m_smallTokens = std::min(m_smallTokens, getSmallRate() * burstSeconds);
    m_largeTokens = std::min(m_largeTokens, getLargeRate() * burstSeconds);
}

std::optional<milliseconds> link_budget::reserve(milliseconds now, double bytes, bool isLarge)
{
    if (m_bytesPerSecond <= 0)
        return fail(error_kind::LinkBudgetExhausted, "the link has no byte rate");
    refill(now);
    const double delaySeconds = isLarge ? getLargeDelaySeconds(bytes) : getSmallDelaySeconds(bytes);
    if (delaySeconds > (isLarge ? maxLargeDelaySeconds : maxSmallDelaySeconds))
        return fail(error_kind::LinkBudgetExhausted, "the link's byte budget is booked too far ahead");
    if (isLarge)
        m_largeTokens -= bytes;
    else
        reserveSmall(bytes, delaySeconds);
    return milliseconds(delaySeconds * millisecondsPerSecond);
}

void link_budget::refill(milliseconds now)
{
    const double seconds = std::max(0.0, (now - m_refilledAt).getCount() / millisecondsPerSecond);
    m_refilledAt = now;
    m_smallTokens += seconds * getSmallRate();
    const double overflow = std::max(0.0, m_smallTokens - getSmallRate() * burstSeconds);
    m_smallTokens -= overflow;
    m_largeTokens += seconds * getLargeRate() + overflow;
    m_largeTokens = std::min(m_largeTokens, getLargeRate() * burstSeconds);
}

double link_budget::getLargeRate() const { return m_bytesPerSecond * (1 - smallRateShare); }

double link_budget::getSmallRate() const { return m_bytesPerSecond * smallRateShare; }

double link_budget::getLargeDelaySeconds(double bytes) const
{
    return std::max(0.0, (bytes - m_largeTokens) / getLargeRate());
}

double link_budget::getSmallDelaySeconds(double bytes) const
{
    // Small transfers use the large bucket only once its debt is repaid.
    const double smallOnlySeconds = (bytes - m_smallTokens) / getSmallRate();
    const double largeRepaidSeconds = -m_largeTokens / getLargeRate();
    if (smallOnlySeconds <= largeRepaidSeconds)
        return std::max(0.0, smallOnlySeconds);
    return std::max(0.0, (bytes - m_smallTokens - m_largeTokens) / m_bytesPerSecond);
}

void link_budget::reserveSmall(double bytes, double delaySeconds)
{
    const double fromSmall = std::min(bytes, std::max(0.0, m_smallTokens + delaySeconds * getSmallRate()));
    m_smallTokens -= fromSmall;
    m_largeTokens -= bytes - fromSmall;
}

} // namespace fuchsiagauge
