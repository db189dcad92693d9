#include "policy/split_chooser.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

TEST_GROUP(split_chooser)
{
    split_chooser splits;

    std::map<std::string, int> choose(const call_route& route, int count)
    {
        std::map<std::string, int> chosen;
        for (int index = 0; index < count; ++index)
            ++chosen[splits.choose(route)];
        return chosen;
    }
};

TEST(split_chooser, aRouteWithOnePartAlwaysGoesThere)
{
    call_route route;
    route.destinations = { { "orders", 1 } };
    LONGS_EQUAL(7, choose(route, 7)["orders"]);
}

TEST(split_chooser, eachPartGetsItsShare)
{
    call_route route;
    route.name = "browse";
    route.destinations = { { "old", 90 }, { "new", 10 } };
    const auto chosen = choose(route, 200);
    LONGS_EQUAL(180, chosen.at("old"));
    LONGS_EQUAL(20, chosen.at("new"));
}

TEST(split_chooser, newWeightsHoldAtOnce)
{
    call_route route;
    route.name = "browse";
    route.destinations = { { "old", 90 }, { "new", 10 } };
    choose(route, 55);
    route.destinations = { { "old", 50 }, { "new", 50 } };
    const auto chosen = choose(route, 100);
    LONGS_EQUAL(50, chosen.at("old"));
}
