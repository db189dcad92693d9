#include "policy/retry_ratio_limiter.h"

#include <algorithm>

namespace fuchsiagauge {
namespace {

    constexpr double maxTokens = 10; ///< Limits the burst of retries after traffic without retries.
    /// Refill over time. It lets a node with few first attempts send a retry now and then.
    constexpr double refillTokensPerSecond = 0.5;
    constexpr double maxRefilledTokens = 1; ///< The refill over time stops at this many tokens.

} // namespace

retry_ratio_limiter::retry_ratio_limiter(double ratio)
    : m_ratio(ratio)
{
}

void retry_ratio_limiter::onFirstAttempt(const std::string& service, milliseconds now)
{
    auto& serviceBucket = refill(service, now);
    serviceBucket.tokens = std::min(maxTokens, serviceBucket.tokens + m_ratio);
}

bool retry_ratio_limiter::tryTakeRetry(const std::string& service, milliseconds now)
{
    auto& serviceBucket = refill(service, now);
    if (serviceBucket.tokens < 1)
        return false;
    serviceBucket.tokens -= 1;
    return true;
}

retry_ratio_limiter::bucket& retry_ratio_limiter::refill(const std::string& service, milliseconds now)
{
    auto& serviceBucket = m_buckets.emplace(service, bucket { 1, now }).first->second;
    const double elapsedSeconds = std::max(0.0, (now - serviceBucket.refilledAt).getCount() / 1000);
    serviceBucket.refilledAt = now;
    if (serviceBucket.tokens < maxRefilledTokens)
        serviceBucket.tokens
            = std::min(maxRefilledTokens, serviceBucket.tokens + elapsedSeconds * refillTokensPerSecond);
    return serviceBucket;
}

} // namespace fuchsiagauge
