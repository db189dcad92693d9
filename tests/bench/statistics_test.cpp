#include "bench/statistics.h"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge::bench;

TEST_GROUP(statistics) {};

TEST(statistics, computesPercentilesByNearestRank)
{
    std::vector<double> hundred;
    for (int value = 100; value >= 1; --value)
        hundred.push_back(value);
    const struct {
        double percent;
        double expected;
    } rows[] = { { 0, 1 }, { 1, 1 }, { 50, 50 }, { 50.1, 51 }, { 99, 99 }, { 100, 100 } };
    for (const auto& row : rows)
        DOUBLES_EQUAL(row.expected, computePercentile(hundred, row.percent), 0);
    std::vector<double> empty;
    DOUBLES_EQUAL(0, computePercentile(empty, 50), 0);
    DOUBLES_EQUAL(7, summarize({ 7 }).p99, 0);
}

TEST(statistics, countsOnlyCompleteSlotsInARate)
{
    timeline events(0.25);
    for (int index = 0; index < 40; ++index)
        events.add(0.05 + index * 0.1);
    DOUBLES_EQUAL(10, events.getRate(0, 4), 0.001);
    DOUBLES_EQUAL(0, events.getRate(4, 6), 0.001);
    DOUBLES_EQUAL(0, events.getRate(0.1, 0.3), 0.001);
}

TEST(statistics, findsTheFirstRecoveredWindowAfterTheOverload)
{
    timeline events(0.25);
    for (int index = 0; index < 1000; ++index) {
        const double atS = index * 0.01;
        if (atS < 4 || atS >= 7)
            events.add(atS);
    }
    const recovery_criterion criterion { 0, 4, 6, 10, 1, 0.95 };
    DOUBLES_EQUAL(2, computeRecoveryS(events, criterion), 0.001);
    auto tooShort = criterion;
    tooShort.runEndS = 7.5;
    DOUBLES_EQUAL(-1, computeRecoveryS(events, tooShort), 0.001);
}

TEST(statistics, reportsNoRecoveryForAnIdleRun)
{
    const recovery_criterion criterion { 0, 4, 6, 10, 1, 0.95 };
    DOUBLES_EQUAL(-1, computeRecoveryS(timeline(0.25), criterion), 0.001);
}
