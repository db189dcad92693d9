#pragma once

#include "core/clock.h"

#include <map>
#include <string>

namespace fuchsiagauge {

/// Limits the retries that a node sends to each service to a ratio of its first attempts.
///
/// Each service has a token bucket: a first attempt adds `ratio` tokens and a retry takes one. The bucket
/// also refills slowly over time, up to one token, so that callers with little traffic can retry.
class retry_ratio_limiter {
public:
    /// @param ratio retries allowed for each first attempt, 0 to 1.
    explicit retry_ratio_limiter(double ratio);

    /// Changes the ratio without affecting the tokens already collected.
    void setRatio(double ratio) { m_ratio = ratio; }

    /// Counts a first attempt.
    void onFirstAttempt(const std::string& service, milliseconds now);

    /// Takes a token for a retry.
    /// @return whether the retry may be sent.
    bool tryTakeRetry(const std::string& service, milliseconds now);

private:
    struct bucket {
        double tokens = 1;
        milliseconds refilledAt;
    };

    bucket& refill(const std::string& service, milliseconds now);

    double m_ratio;
    std::map<std::string, bucket> m_buckets;
};

} // namespace fuchsiagauge
