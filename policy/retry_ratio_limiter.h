#pragma once

#include "core/clock.h"

#include <map>
#include <string>

namespace fuchsiagauge {

/// Bounds the retries that a node sends to each service by its first attempts there.
///
/// A token bucket for each service: first attempts fill it, retries draw from it. A small fill over time, up
/// to one token, lets callers with little traffic retry.
class retry_ratio_limiter {
public:
    /// @param ratio retries per first attempt, 0 to 1.
    explicit retry_ratio_limiter(double ratio);

    /// Changes the ratio; the tokens stay.
    void setRatio(double ratio) { m_ratio = ratio; }

    /// Counts a first attempt.
    void onFirstAttempt(const std::string& service, milliseconds now);

    /// Takes a token for a retry.
    /// @return whether the retry may be sent.
    bool takeRetry(const std::string& service, milliseconds now);

private:
    struct bucket {
        double tokens = 1;
        milliseconds filledAt;
    };

    bucket& refill(const std::string& service, milliseconds now);

    double m_ratio;
    std::map<std::string, bucket> m_buckets;
};

} // namespace fuchsiagauge
