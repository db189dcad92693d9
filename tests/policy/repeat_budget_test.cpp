#include "policy/repeat_budget.h"

#include <algorithm>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

constexpr repeat_limits limits { 0.2, milliseconds(10000), 50 };

/// Counts events by the time at which they came.
class event_times {
public:
    void add(double atMs) { m_times.push_back(atMs); }

    /// @return how many came within the window that ends at an instant.
    double countUntil(double endMs) const
    {
        const auto after = std::upper_bound(m_times.begin(), m_times.end(), endMs);
        const auto from = std::upper_bound(m_times.begin(), m_times.end(), endMs - limits.window.getCount());
        return static_cast<double>(after - from);
    }

private:
    std::vector<double> m_times;
};

/// @return repeats that the fleet may send in the window that ends at an instant: the requests of that
/// window, the one before it or the one half a window before it count, whichever are most.
double getAllowed(const event_times& requests, double endMs)
{
    const double windowMs = limits.window.getCount();
    const double most = std::max({ requests.countUntil(endMs), requests.countUntil(endMs - windowMs),
        requests.countUntil(endMs - windowMs / 2) });
    return limits.ratio * most + limits.extra;
}

} // namespace

TEST_GROUP(repeat_budget) {};

TEST(repeat_budget, aNodeWithoutRequestsSpendsItsPartOfTheExtraOnly)
{
    repeat_budget budget(limits);
    budget.setNodeCount(10);
    int taken = 0;
    while (budget.tryTake("orders", milliseconds(0)))
        ++taken;
    CHECK(taken >= 1);
    CHECK(taken <= 5);
}

TEST(repeat_budget, whatWasSpentComesBackWithTheWindow)
{
    repeat_budget budget(limits);
    while (budget.tryTake("orders", milliseconds(0))) { }
    CHECK_FALSE(budget.tryTake("orders", milliseconds(9000)));
    CHECK(budget.tryTake("orders", milliseconds(11000)));
}

TEST(repeat_budget, servicesHaveBudgetsOfTheirOwn)
{
    repeat_budget budget(limits);
    while (budget.tryTake("orders", milliseconds(0))) { }
    CHECK(budget.tryTake("catalogue", milliseconds(0)));
}

TEST(repeat_budget, inheritedRepeatsLeaveLessForTheNodesOwn)
{
    repeat_budget budget(limits);
    for (int count = 0; count < 50; ++count)
        budget.onInheritedRepeat("orders", milliseconds(0));
    CHECK_FALSE(budget.tryTake("orders", milliseconds(0)));
}

/// The sum over nodes that come and go, under a load that rises and falls, stays within the fleet's budget in
/// every sliding window.
TEST(repeat_budget, theFleetStaysWithinItsBudgetInEveryWindow)
{
    constexpr int nodeCount = 16;
    constexpr double endMs = 120000;
    constexpr double stepMs = 5;
    std::mt19937 generator(7);
    std::uniform_real_distribution<double> fraction(0, 1);
    std::vector<repeat_budget> nodes(nodeCount, repeat_budget(limits));
    for (auto& node : nodes)
        node.setNodeCount(nodeCount);
    event_times requests;
    event_times repeats;
    for (double nowMs = 0; nowMs < endMs; nowMs += stepMs) {
        const bool isSurge = static_cast<int>(nowMs / 15000) % 2 == 0;
        if (fraction(generator) < 0.0005) {
            auto& restarted = nodes[static_cast<std::size_t>(fraction(generator) * nodeCount)];
            restarted = repeat_budget(limits);
            restarted.setNodeCount(nodeCount);
        }
        for (int arrival = 0; arrival < (isSurge ? 4 : 1); ++arrival) {
            auto& node = nodes[static_cast<std::size_t>(fraction(generator) * nodeCount)];
            node.onRequest("orders", milliseconds(nowMs));
            requests.add(nowMs);
            if (node.tryTake("orders", milliseconds(nowMs)))
                repeats.add(nowMs);
        }
        CHECK(repeats.countUntil(nowMs) <= getAllowed(requests, nowMs));
    }
}
