#include "policy/tree_demand.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

TEST_GROUP(tree_demand) { tree_demand demand; };

TEST(tree_demand, knowsTheNeedsAfterTheFirstRequest)
{
    demand.onCompletion("r", { { "d", 8, milliseconds(440) } }, milliseconds(500));
    const std::vector<service_need> expected { { "d", 8, milliseconds(440) } };
    CHECK(expected == demand.getNeeds("r"));
    DOUBLES_EQUAL(500, demand.getRunTime("r").getCount(), 0.001);
    CHECK(demand.getNeeds("other").empty());
}

TEST(tree_demand, followsAChangeOfTheNeeds)
{
    for (int count = 0; count < 100; ++count)
        demand.onCompletion("r", { { "d", 8, milliseconds(400) } }, milliseconds(500));
    for (int count = 0; count < 400; ++count)
        demand.onCompletion("r", { { "c", 1, milliseconds(10) } }, milliseconds(50));
    const auto needs = demand.getNeeds("r");
    CHECK_EQUAL(1U, needs.size());
    CHECK_EQUAL(std::string("c"), needs.front().service);
    DOUBLES_EQUAL(50, demand.getRunTime("r").getCount(), 1);
}

/// Guards against memory that grows with the number of services in a call tree.
TEST(tree_demand, limitsTheNumberOfServices)
{
    std::vector<service_need> needs;
    for (int index = 0; index < 20; ++index)
        addNeeds(needs, { { std::to_string(index), 1, milliseconds(1) } });
    CHECK_EQUAL(maxNeededServices, needs.size());
}
