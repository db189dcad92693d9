#include "core/error.h"
#include "policy/link_budget.h"
#include "policy/link_share.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h> // Redefines new, so it comes last.

using namespace fuchsiagauge;

TEST_GROUP(link_budget) {};
TEST_GROUP(link_share) {};

TEST(link_budget, neverReservesMoreThanTheRate)
{
    const bool hasPassed = rc::check("the bytes sent up to any time stay within the rate and the burst", [] {
        constexpr double rate = 100000;
        link_budget budget(rate);
        struct transmission {
            double atMs;
            double bytes;
        };
        std::vector<transmission> sent;
        double nowMs = 0;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6000));
        for (const int step : steps) {
            nowMs += step % 60;
            const double bytes = 1 + step * 5;
            if (const auto delay = budget.reserve(milliseconds(nowMs), bytes, step % 2 == 0))
                sent.push_back({ nowMs + delay->getCount(), bytes });
        }
        for (const auto& last : sent) {
            double bytes = 0;
            for (const auto& item : sent)
                bytes += item.atMs <= last.atMs ? item.bytes : 0;
            RC_ASSERT(bytes <= rate * (last.atMs / 1000 + 0.25) + 1);
        }
    });
    CHECK(hasPassed);
}

TEST(link_budget, sendsSmallResponsesBeforeReservedLargeOnes)
{
    link_budget budget(100000);
    double largeMs = 0;
    while (const auto delay = budget.reserve(milliseconds(0), 10000, true))
        largeMs = delay->getCount();
    CHECK(largeMs > 1500);
    const auto small = budget.reserve(milliseconds(0), 2000, false);
    CHECK(small && *small == milliseconds(0));
}

TEST(link_budget, aRefusalSetsTheErrorKindAndReservesNothing)
{
    link_budget budget(1000);
    CHECK(!budget.reserve(milliseconds(0), 1000000, true));
    CHECK(getLastError().kind == error_kind::LinkBudgetExhausted);
    CHECK(budget.reserve(milliseconds(0), 100, true) == std::optional<milliseconds>(milliseconds(0)));
}

TEST(link_budget, acceptsAgainAfterExhaustion)
{
    link_budget budget(100000);
    while (budget.reserve(milliseconds(0), 10000, true)) { }
    while (budget.reserve(milliseconds(0), 10000, false)) { }
    CHECK(budget.reserve(milliseconds(5000), 10000, true) == std::optional<milliseconds>(milliseconds(0)));
    CHECK(budget.reserve(milliseconds(5000), 5000, false) == std::optional<milliseconds>(milliseconds(0)));
}

TEST(link_budget, usesTheWholeRateForLargeTransfersWhenNothingElseIsSent)
{
    constexpr double rate = 100000;
    link_budget budget(rate);
    double sent = 0;
    for (int step = 0; step < 10000; ++step) {
        if (budget.reserve(milliseconds(step), 1000, true))
            sent += 1000;
    }
    CHECK(sent >= rate * 10 * 0.95);
}

TEST(link_budget, appliesARateChange)
{
    link_budget budget(0);
    CHECK(!budget.reserve(milliseconds(0), 1, false));
    budget.setRate(milliseconds(0), 100000);
    CHECK(budget.reserve(milliseconds(1000), 1000, false).has_value());
}

TEST(link_share, isMaxMinFair)
{
    const std::vector<link_demand> demands = { { "a", 10 }, { "b", 50 }, { "c", 500 }, { "d", 500 } };
    DOUBLES_EQUAL(10, computeLinkShare(300, demands, "a"), 1e-9);
    DOUBLES_EQUAL(50, computeLinkShare(300, demands, "b"), 1e-9);
    DOUBLES_EQUAL(120, computeLinkShare(300, demands, "c"), 1e-9);
    DOUBLES_EQUAL(120, computeLinkShare(300, demands, "d"), 1e-9);
}

TEST(link_share, splitsTheUnusedRateEvenly)
{
    const std::vector<link_demand> demands = { { "a", 10 }, { "b", 20 } };
    DOUBLES_EQUAL(45, computeLinkShare(100, demands, "a"), 1e-9);
    DOUBLES_EQUAL(55, computeLinkShare(100, demands, "b"), 1e-9);
    DOUBLES_EQUAL(70.0 / 3, computeLinkShare(100, demands, "new"), 1e-9);
}

TEST(link_share, sharesNeverExceedTheRate)
{
    const bool hasPassed
        = rc::check("the shares add up to at most the rate", [](const std::vector<int>& raw) {
              std::vector<link_demand> demands;
              for (std::size_t index = 0; index < raw.size(); ++index)
                  demands.push_back({ std::to_string(index), static_cast<double>(raw[index] % 1000) });
              double total = 0;
              for (const auto& demand : demands)
                  total += computeLinkShare(700, demands, demand.node);
              RC_ASSERT(total <= 700 + 1e-6);
          });
    CHECK(hasPassed);
}
