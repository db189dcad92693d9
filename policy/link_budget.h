#pragma once

#include "core/clock.h"

#include <optional>

namespace fuchsiagauge {

/// Rate limiter, in bytes, for a node's share of the link between regions.
///
/// It consists of two token buckets, one for small transfers and a larger one for large transfers. Large
/// transfers draw from the large bucket only; small ones draw from both, which gives them priority. Tokens
/// that overflow the small bucket go to the large one, so that the whole rate can be used.
class link_budget {
public:
    /// @param bytesPerSecond the total rate of both buckets.
    explicit link_budget(double bytesPerSecond);

    /// Changes the rate; existing reservations remain.
    void setRate(milliseconds now, double bytesPerSecond);

    /// Reserves bytes. Large responses are reserved in chunks, each just before it is sent.
    /// @param now the current time.
    /// @param bytes number of bytes to send.
    /// @param isLarge whether the bytes belong to a large response.
    /// @return the delay after which the bytes may be sent, or nothing with error_kind::LinkBudgetExhausted
    /// if the delay would be too long, in which case nothing is reserved.
    std::optional<milliseconds> reserve(milliseconds now, double bytes, bool isLarge);

private:
    void refill(milliseconds now);
    double getLargeRate() const;
    double getSmallRate() const;
    double getLargeDelaySeconds(double bytes) const;
    double getSmallDelaySeconds(double bytes) const;
    void reserveSmall(double bytes, double delaySeconds);

    double m_bytesPerSecond;
    double m_smallTokens; ///< Negative if bytes are reserved ahead of time.
    double m_largeTokens; ///< Negative if bytes are reserved ahead of time.
    milliseconds m_refilledAt;
};

} // namespace fuchsiagauge
