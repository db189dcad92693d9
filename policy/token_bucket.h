#pragma once

#include "core/clock.h"

#include <algorithm>

namespace fuchsiagauge {

/// A token bucket: tokens accrue at a constant rate, up to a maximum (the burst).
class token_bucket {
public:
    /// @param perSecond tokens that accrue per second.
    /// @param burst maximum number of tokens held.
    /// @param tokens initial number of tokens.
    token_bucket(double perSecond, double burst, double tokens)
        : m_perSecond(perSecond)
        , m_burst(burst)
        , m_tokens(std::min(tokens, burst))
    {
    }

    /// Changes the rate and the burst. Tokens above the new burst are discarded.
    void configure(double perSecond, double burst, milliseconds now)
    {
        refill(now);
        m_perSecond = perSecond;
        m_burst = burst;
        m_tokens = std::min(m_tokens, burst);
    }

    /// Takes `count` tokens if that many are available.
    /// @return whether the tokens were taken.
    bool tryTake(double count, milliseconds now)
    {
        refill(now);
        if (m_tokens < count)
            return false;
        m_tokens -= count;
        return true;
    }

    /// Takes `count` tokens unconditionally. The balance may become negative, in which case tryTake() fails
    /// until the debt has been refilled.
    void charge(double count, milliseconds now)
    {
        refill(now);
        m_tokens -= count;
    }

    /// @return the number of tokens held; negative while in debt.
    double getTokens(milliseconds now)
    {
        refill(now);
        return m_tokens;
    }

    double getPerSecond() const { return m_perSecond; }

private:
    void refill(milliseconds now)
    {
        constexpr double msPerSecond = 1000;
        if (now <= m_refilledAt)
            return;
        const double elapsedMs = m_hasStarted ? (now - m_refilledAt).getCount() : 0;
        m_hasStarted = true;
        m_refilledAt = now;
        m_tokens = std::min(m_burst, m_tokens + m_perSecond * elapsedMs / msPerSecond);
    }

    double m_perSecond;
    double m_burst;
    double m_tokens;
    bool m_hasStarted = false;
    milliseconds m_refilledAt { -1 };
};

} // namespace fuchsiagauge
