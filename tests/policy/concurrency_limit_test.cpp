#include "policy/concurrency_limit.h"

#include <algorithm>

#include <CppUTest/TestHarness.h> // Redefines new, so it must come last.

using namespace fuchsiagauge;

TEST_GROUP(concurrency_limit) {};

namespace {

/// A target with a constant service time whose in-flight requests always reach the limit.
class saturated_target {
public:
    saturated_target(int slots, double serviceMs)
        : m_slots(slots)
        , m_serviceMs(serviceMs)
    {
    }

    void setCapacity(int slots, double serviceMs)
    {
        m_slots = slots;
        m_serviceMs = serviceMs;
    }

    /// Runs the target for a time.
    /// @return the lowest limit during the run.
    int run(concurrency_limit& limit, double seconds)
    {
        int lowest = limit.get();
        const double endMs = m_nowMs + seconds * 1000;
        while (m_nowMs < endMs) {
            while (m_inFlight < limit.get()) {
                limit.onStart(milliseconds(m_nowMs));
                ++m_inFlight;
            }
            m_nowMs += m_serviceMs / std::min(m_slots, m_inFlight);
            limit.onFinish(milliseconds(m_nowMs), true);
            --m_inFlight;
            limit.tick(milliseconds(m_nowMs));
            lowest = std::min(lowest, limit.get());
        }
        return lowest;
    }

private:
    int m_slots;
    double m_serviceMs;
    double m_nowMs = 0;
    int m_inFlight = 0;
};

} // namespace

TEST(concurrency_limit, convergesToTheNumberOfSlots)
{
    for (const int slots : { 10, 30, 80, 130 }) {
        concurrency_limit limit(1, 1000);
        saturated_target target(slots, 50);
        target.run(limit, 30);
        for (int second = 0; second < 10; ++second) {
            target.run(limit, 1);
            CHECK(limit.get() >= slots / 2);
            CHECK(limit.get() <= slots * 2);
        }
    }
}

TEST(concurrency_limit, keepsTheLimitWhenOnlyADependencyIsSlow)
{
    // With a service time of 5 s a probe gets too few samples and ends at its maximum duration.
    for (const double slowMs : { 100.0, 500.0, 5000.0 }) {
        concurrency_limit limit(1, 80);
        saturated_target target(80, 50);
        target.run(limit, 10);
        LONGS_EQUAL(80, limit.get());
        target.setCapacity(80, slowMs);
        target.run(limit, 60);
        LONGS_EQUAL(80, limit.get());
    }
}

TEST(concurrency_limit, isNotHalvedWhenTooFewRequestsEndForAProbe)
{
    // With few published slots and a slow dependency, 30 and 50 requests end per second.
    for (const int slots : { 3, 4 }) {
        concurrency_limit limit(1, 2 * slots);
        limit.setBounds(1, slots, true);
        saturated_target target(slots, 20);
        target.run(limit, 10);
        target.setCapacity(slots, slots == 3 ? 100 : 80);
        LONGS_EQUAL(slots, target.run(limit, 30));
    }
}

TEST(concurrency_limit, isHalvedWhenTheTargetPublishesTooManySlots)
{
    concurrency_limit limit(1, 160);
    limit.setBounds(1, 80, true);
    saturated_target target(80, 50);
    LONGS_EQUAL(10, target.run(limit, 10));
    LONGS_EQUAL(80, limit.get());
    target.setCapacity(20, 50);
    LONGS_EQUAL(40, target.run(limit, 10));
}

TEST(concurrency_limit, fallsWhenTheTargetLosesSlotsAndGrowsAgainAfterwards)
{
    concurrency_limit limit(1, 80);
    saturated_target target(80, 50);
    target.run(limit, 10);
    target.setCapacity(20, 50);
    target.run(limit, 20);
    CHECK(limit.get() <= 40);
    target.setCapacity(80, 50);
    target.run(limit, 10);
    CHECK(limit.get() >= 76);
}

TEST(concurrency_limit, growsFastFromAColdStart)
{
    concurrency_limit limit(1, 130);
    saturated_target target(130, 50);
    target.run(limit, 2);
    LONGS_EQUAL(130, limit.get());
}

TEST(concurrency_limit, staysWithinItsBounds)
{
    concurrency_limit limit(4, 8);
    LONGS_EQUAL(8, limit.get());
    limit.setBounds(4, 6, false);
    LONGS_EQUAL(6, limit.get());
    limit.setBounds(20, 10, false);
    LONGS_EQUAL(20, limit.get());
}
