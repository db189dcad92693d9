#pragma once

#include "core/clock.h"

#include <optional>

namespace fuchsiagauge {

/// Token buckets in bytes for a node's share of the link between regions.
///
/// Large transfers draw from the larger bucket only; small ones draw from both, so that they go first. What
/// the small bucket can't hold flows into the large one, so that no part of the rate is lost.
class link_budget {
public:
    /// @param bytesPerSecond the rate.
    explicit link_budget(double bytesPerSecond);

    /// Changes the rate; what is booked stays booked.
    void setRate(milliseconds now, double bytesPerSecond);

    /// Books bytes. Large answers are booked in chunks, each just before it is sent.
    /// @param now the present instant.
    /// @param bytes bytes to send.
    /// @param isLarge whether they belong to a large answer.
    /// @return the delay after which they may be sent; nothing with error_kind::LinkBudgetExhausted when it
    /// would be too long, in which case nothing is booked.
    std::optional<milliseconds> reserve(milliseconds now, double bytes, bool isLarge);

private:
    void refill(milliseconds now);
    double getLargeRate() const;
    double getSmallRate() const;
    double getLargeDelaySeconds(double bytes) const;
    double getSmallDelaySeconds(double bytes) const;
    void reserveSmall(double bytes, double delaySeconds);

    double m_bytesPerSecond;
    double m_smallTokens; ///< Negative: booked ahead.
    double m_largeTokens; ///< Negative: booked ahead.
    milliseconds m_refilledAt;
};

} // namespace fuchsiagauge
