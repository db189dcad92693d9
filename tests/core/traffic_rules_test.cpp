#include "core/traffic_rules.h"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

TEST_GROUP(traffic_rules)
{
    traffic_rules rules;

    void setup() override
    {
        rules.routes.push_back(make("root", "/"));
        rules.routes.push_back(make("short", "/a/"));
        rules.routes.push_back(make("long", "/a/b/"));
    }

    static call_route make(const char* name, const char* pathPrefix)
    {
        call_route route;
        route.name = name;
        route.host = "shop.example";
        route.pathPrefix = pathPrefix;
        return route;
    }
};

TEST(traffic_rules, selectsLongestPathPrefix)
{
    STRCMP_EQUAL("long", rules.findRoute("shop.example", "/a/b/c")->name.c_str());
    STRCMP_EQUAL("short", rules.findRoute("shop.example", "/a/bc")->name.c_str());
    STRCMP_EQUAL("root", rules.findRoute("shop.example", "/z")->name.c_str());
}

TEST(traffic_rules, comparesWholeHostIgnoringCase)
{
    CHECK(rules.findRoute("SHOP.example", "/a/") != nullptr);
    CHECK(rules.findRoute("other.example", "/a/") == nullptr);
    CHECK(rules.findRoute("", "/a/") == nullptr);
}
