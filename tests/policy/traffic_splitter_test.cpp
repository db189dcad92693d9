#include "policy/traffic_splitter.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

TEST_GROUP(traffic_splitter)
{
    traffic_splitter splitter;

    std::map<std::string, int> choose(const call_route& route, int count)
    {
        std::map<std::string, int> chosen;
        for (int index = 0; index < count; ++index)
            ++chosen[splitter.choose(route)];
        return chosen;
    }
};

TEST(traffic_splitter, aRouteWithOneDestinationAlwaysUsesIt)
{
    call_route route;
    route.destinations = { { "orders", 1 } };
    LONGS_EQUAL(7, choose(route, 7)["orders"]);
}

TEST(traffic_splitter, eachDestinationGetsItsShare)
{
    call_route route;
    route.name = "browse";
    route.destinations = { { "old", 90 }, { "new", 10 } };
    const auto chosen = choose(route, 200);
    LONGS_EQUAL(180, chosen.at("old"));
    LONGS_EQUAL(20, chosen.at("new"));
}

TEST(traffic_splitter, newWeightsTakeEffectAtOnce)
{
    call_route route;
    route.name = "browse";
    route.destinations = { { "old", 90 }, { "new", 10 } };
    choose(route, 55);
    route.destinations = { { "old", 50 }, { "new", 50 } };
    const auto chosen = choose(route, 100);
    LONGS_EQUAL(50, chosen.at("old"));
}
