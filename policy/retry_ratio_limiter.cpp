#include "policy/retry_ratio_limiter.h"

#include <algorithm>

namespace fuchsiagauge {
namespace {

    constexpr double maxTokens = 10;
    constexpr double idleTokensPerSecond = 0.5;
    constexpr double maxIdleTokens = 1;

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
    const double seconds = std::max(0.0, (now - serviceBucket.filledAt).getCount() / 1000);
    serviceBucket.filledAt = now;
    if (serviceBucket.tokens < maxIdleTokens)
        serviceBucket.tokens = std::min(maxIdleTokens, serviceBucket.tokens + seconds * idleTokensPerSecond);
    return serviceBucket;
}

} // namespace fuchsiagauge
