#include "policy/retry_ratio_limiter.h"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

TEST_GROUP(retry_ratio_limiter) {};

TEST(retry_ratio_limiter, boundsRetriesByFirstAttempts)
{
    retry_ratio_limiter limiter(0.1);
    int retries = 0;
    for (int call = 0; call < 10000; ++call) {
        const milliseconds now(call);
        limiter.onFirstAttempt("store", now);
        retries += limiter.tryTakeRetry("store", now) ? 1 : 0;
    }
    CHECK(retries >= 990);
    CHECK(retries <= 1000 + 10 + 5);
}

TEST(retry_ratio_limiter, letsIdleCallersRetry)
{
    retry_ratio_limiter limiter(0);
    CHECK(limiter.tryTakeRetry("store", milliseconds(0)));
    CHECK(!limiter.tryTakeRetry("store", milliseconds(100)));
    CHECK(limiter.tryTakeRetry("store", milliseconds(2100)));
    CHECK(limiter.tryTakeRetry("store", milliseconds(100000)));
    CHECK(!limiter.tryTakeRetry("store", milliseconds(100000)));
}

TEST(retry_ratio_limiter, keepsServicesApart)
{
    retry_ratio_limiter limiter(0.5);
    CHECK(limiter.tryTakeRetry("store", milliseconds(0)));
    CHECK(!limiter.tryTakeRetry("store", milliseconds(0)));
    CHECK(limiter.tryTakeRetry("catalogue", milliseconds(0)));
}

TEST(retry_ratio_limiter, boundsTheBurstAfterTrafficWithoutRetries)
{
    retry_ratio_limiter limiter(1);
    for (int call = 0; call < 1000; ++call)
        limiter.onFirstAttempt("store", milliseconds(call));
    int burst = 0;
    while (limiter.tryTakeRetry("store", milliseconds(1000)))
        ++burst;
    LONGS_EQUAL(10, burst);
}
