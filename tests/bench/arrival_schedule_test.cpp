#include "bench/arrival_schedule.h"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge::bench;

namespace {

experiment makePlan()
{
    experiment plan;
    plan.durationS = 100;
    plan.phases = { { 40, 60, 3, {} }, { 50, 60, 2, { "b" } } };
    plan.groups.resize(2);
    plan.groups[0].name = "a";
    plan.groups[1].name = "b";
    plan.groups[0].ratePerS = plan.groups[1].ratePerS = 50;
    return plan;
}

std::vector<double> listArrivals(const experiment& plan, std::size_t index)
{
    arrival_schedule schedule(plan, index);
    std::vector<double> arrivals;
    while (const auto atS = schedule.next())
        arrivals.push_back(*atS);
    return arrivals;
}

} // namespace

TEST_GROUP(arrival_schedule) {};

TEST(arrival_schedule, isReproducibleForTheSameSeedOnly)
{
    auto plan = makePlan();
    const auto arrivals = listArrivals(plan, 0);
    CHECK(arrivals == listArrivals(plan, 0));
    CHECK(arrivals != listArrivals(plan, 1));
    plan.seed = 2;
    CHECK(arrivals != listArrivals(plan, 0));
}

TEST(arrival_schedule, multipliesPhasesThatOverlap)
{
    const auto plan = makePlan();
    DOUBLES_EQUAL(1, getLoadFactor(plan, plan.groups[1], 39.9), 0);
    DOUBLES_EQUAL(3, getLoadFactor(plan, plan.groups[0], 55), 0);
    DOUBLES_EQUAL(6, getLoadFactor(plan, plan.groups[1], 55), 0);
    DOUBLES_EQUAL(1, getLoadFactor(plan, plan.groups[1], 60), 0);
}

TEST(arrival_schedule, meetsTheRateOfEachPhase)
{
    const auto plan = makePlan();
    std::size_t duringOverload = 0;
    std::size_t beforeOverload = 0;
    for (const auto atS : listArrivals(plan, 0)) {
        beforeOverload += atS < 40 ? 1 : 0;
        duringOverload += atS >= 40 && atS < 60 ? 1 : 0;
    }
    DOUBLES_EQUAL(50 * 40, beforeOverload, 5 * 45); // Tolerance: five standard deviations.
    DOUBLES_EQUAL(150 * 20, duringOverload, 5 * 55);
}
