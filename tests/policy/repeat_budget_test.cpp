#include "policy/repeat_budget.h"

#include <algorithm>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

constexpr repeat_limits limits { 0.2, milliseconds(10000), 50 };

/// Counts the events in a sliding window.
class event_times {
public:
    void add(double atMs) { m_times.push_back(atMs); }

    /// @return the number of events in the window that ends at `endMs`.
    double countUntil(double endMs) const
    {
        const auto after = std::upper_bound(m_times.begin(), m_times.end(), endMs);
        const auto from = std::upper_bound(m_times.begin(), m_times.end(), endMs - limits.window.getCount());
        return static_cast<double>(after - from);
    }

private:
    std::vector<double> m_times;
};

/// @return the number of repeats allowed for the fleet in the window that ends at `endMs`. It is based on the
/// requests of that window, of the window before it or of the window that ended half a window earlier,
/// whichever are most.
double getAllowed(const event_times& requests, double endMs)
{
    const double windowMs = limits.window.getCount();
    const double most = std::max({ requests.countUntil(endMs), requests.countUntil(endMs - windowMs),
        requests.countUntil(endMs - windowMs / 2) });
    return limits.ratio * most + limits.extra;
}

} // namespace

TEST_GROUP(repeat_budget)
{
    repeat_budget budget { limits };

    /// Uses repeats until the budget refuses one.
    int takeAll(milliseconds now, repeat_priority priority = repeat_priority::Entry)
    {
        int taken = 0;
        for (; budget.isRepeatAllowed(now, priority); ++taken)
            budget.onRepeat(now);
        return taken;
    }
};

TEST(repeat_budget, anIdleInstanceHasOnlyItsShareOfTheExtraRepeats)
{
    budget.setInstanceCount(10);
    const int taken = takeAll(milliseconds(0));
    CHECK(taken >= 1);
    CHECK(taken <= 5);
}

TEST(repeat_budget, spentRepeatsReturnAfterTheWindow)
{
    takeAll(milliseconds(0));
    CHECK_FALSE(budget.isRepeatAllowed(milliseconds(9000), repeat_priority::Entry));
    CHECK(budget.isRepeatAllowed(milliseconds(11000), repeat_priority::Entry));
}

TEST(repeat_budget, higherPrioritiesMayUseMoreOfTheBudget)
{
    for (int count = 0; count < 1000; ++count)
        budget.onFirstArrival(milliseconds(0));
    CHECK(takeAll(milliseconds(100), repeat_priority::OtherCall) > 0);
    CHECK(takeAll(milliseconds(100), repeat_priority::ImportantCall) > 0);
    CHECK(takeAll(milliseconds(100), repeat_priority::Entry) > 0);
    CHECK(takeAll(milliseconds(100), repeat_priority::Inherited) > 0);
    CHECK(takeAll(milliseconds(100), repeat_priority::OtherCall) == 0);
}

TEST(repeat_budget, inheritedRepeatsReduceTheBudgetOfAllOtherPriorities)
{
    while (budget.isRepeatAllowed(milliseconds(0), repeat_priority::Inherited))
        budget.onRepeat(milliseconds(0));
    for (const auto priority :
        { repeat_priority::Entry, repeat_priority::ImportantCall, repeat_priority::OtherCall })
        CHECK_FALSE(budget.isRepeatAllowed(milliseconds(0), priority));
}

TEST(repeat_budget, theBusiestRecentWindowSetsTheBudget)
{
    for (int count = 0; count < 1000; ++count)
        budget.onFirstArrival(milliseconds(0));
    CHECK(takeAll(milliseconds(14000)) > 100);
    CHECK(takeAll(milliseconds(35000)) <= 50);
}

/// Guards against the instances' budgets adding up to more than the fleet's budget in some sliding window,
/// while instances restart with empty counts and the load rises and falls.
TEST(repeat_budget, theFleetStaysWithinItsBudgetInEveryWindow)
{
    constexpr int instanceCount = 16;
    constexpr double endMs = 120000;
    constexpr double stepMs = 5;
    std::mt19937 generator(7);
    std::uniform_real_distribution<double> fraction(0, 1);
    std::vector<repeat_budget> budgets(instanceCount, repeat_budget(limits));
    for (auto& instanceBudget : budgets)
        instanceBudget.setInstanceCount(instanceCount);
    event_times requests;
    event_times repeats;
    for (double nowMs = 0; nowMs < endMs; nowMs += stepMs) {
        const bool isSurge = static_cast<int>(nowMs / 15000) % 2 == 0;
        if (fraction(generator) < 0.0005) {
            auto& restarted = budgets[static_cast<std::size_t>(fraction(generator) * instanceCount)];
            restarted = repeat_budget(limits);
            restarted.setInstanceCount(instanceCount);
        }
        for (int arrival = 0; arrival < (isSurge ? 4 : 1); ++arrival) {
            auto& instanceBudget = budgets[static_cast<std::size_t>(fraction(generator) * instanceCount)];
            instanceBudget.onFirstArrival(milliseconds(nowMs));
            requests.add(nowMs);
            if (instanceBudget.isRepeatAllowed(milliseconds(nowMs), repeat_priority::Inherited)) {
                instanceBudget.onRepeat(milliseconds(nowMs));
                repeats.add(nowMs);
            }
        }
        CHECK(repeats.countUntil(nowMs) <= getAllowed(requests, nowMs));
    }
}
