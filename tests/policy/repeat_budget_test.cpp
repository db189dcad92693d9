#include "policy/repeat_budget.h"

#include <deque>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

constexpr repeat_limits limits { 0.2, milliseconds(10000), 50 };

/// Counts what lies in a sliding window.
class window_count {
public:
    void add(double atMs) { m_times.push_back(atMs); }

    int count(double nowMs)
    {
        while (!m_times.empty() && m_times.front() <= nowMs - limits.window.getCount())
            m_times.pop_front();
        return static_cast<int>(m_times.size());
    }

private:
    std::deque<double> m_times;
};

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
    window_count requests;
    window_count repeats;
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
        // The rule counts the requests of the window before where those were more; the test does not.
        const bool isSteady = static_cast<int>(nowMs) % 15000 > 11000;
        if (isSteady || isSurge)
            CHECK(repeats.count(nowMs) <= limits.ratio * requests.count(nowMs) + limits.extra);
    }
}
