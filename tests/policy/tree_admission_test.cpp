#include "policy/call_tree_node.h"
#include "policy/offered_load.h"
#include "policy/retry_schedule.h"
#include "policy/tree_admission.h"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

TEST_GROUP(tree_admission)
{
    tree_admission admission;
    milliseconds now { 10000 };
    const std::vector<service_need> needs { { "d", 8, milliseconds(440) } };
    const milliseconds responseTime { 300 };

    /// Reports the load that entries cause that all admit as this one does.
    void run(double seconds, double fullLoad)
    {
        for (int step = 0; step < seconds * 20; ++step) {
            const double load = fullLoad * admission.getShare(now, 1, needs);
            now = now + milliseconds(50);
            admission.onLoad(now, 1, { "d", load, milliseconds(1) });
            admission.tick(now, responseTime);
        }
    }
};

TEST(tree_admission, changesNothingUpToTheActivationLoad)
{
    run(5, tree_admission::activationLoad);
    DOUBLES_EQUAL(1, admission.getShare(now, 1, needs), 0);
    CHECK(admission.findBottleneck(now, 1, needs).empty());
}

TEST(tree_admission, admitsWhatTheBottleneckCanComplete)
{
    run(5, 1.8);
    DOUBLES_EQUAL(0.5, admission.getShare(now, 1, needs), 0.1);
    CHECK_EQUAL(std::string("d"), admission.findBottleneck(now, 1, needs));
}

TEST(tree_admission, admitsEverythingAfterTheOverload)
{
    run(5, 1.8);
    run(3, 0.5);
    DOUBLES_EQUAL(1, admission.getShare(now, 1, needs), 0);
}

TEST(tree_admission, leavesOtherPrioritiesAndRoutesUnchanged)
{
    run(5, 1.8);
    DOUBLES_EQUAL(1, admission.getShare(now, 0, needs), 0);
    DOUBLES_EQUAL(1, admission.getShare(now, 1, { { "c", 1, milliseconds(1) } }), 0);
}

/// Guards against a limit that stays in force when reports no longer arrive.
TEST(tree_admission, fadesWithoutReports)
{
    run(5, 1.8);
    const double limited = admission.getShare(now, 1, needs);
    CHECK(admission.getShare(now + milliseconds(2500), 1, needs) > limited);
    DOUBLES_EQUAL(1, admission.getShare(now + milliseconds(4000), 1, needs), 0.001);
}

TEST(tree_admission, measuresTheOfferedWorkOfEqualAndHigherPriorities)
{
    offered_load offered;
    for (int step = 0; step < 200; ++step) {
        now = now + milliseconds(5);
        offered.onArrival(now, 0, milliseconds(50));
        offered.onArrival(now, 1, milliseconds(100));
    }
    DOUBLES_EQUAL(1, offered.getLoad(now, 0, 10), 0.05);
    DOUBLES_EQUAL(3, offered.getLoad(now, 1, 10), 0.1);
    CHECK(offered.getLoad(now + milliseconds(2000), 1, 10) < 0.01);
}

/// Guards against bytes in replies and refusals while there is enough capacity.
TEST(tree_admission, statesNothingAtLowLoad)
{
    call_tree_node node("c");
    node.onArrival(now, 0, milliseconds(1));
    CHECK(node.getCapacities(now, "r", 0, 100).empty());
    CHECK_FALSE(node.isAdmitted(now, "r", 0, 0.99).has_value());
}

/// Guards against an entry that does not learn of a bottleneck two services further down.
TEST(tree_admission, passesOnLoadsAndNeeds)
{
    call_tree_node entry("b");
    call_tree_node middle("c");
    std::vector<service_need> middleNeeds;
    for (int count = 0; count < 4; ++count)
        addNeeds(middleNeeds, middle.onReply(now, 1, "d", milliseconds(55), { { "d", 2, {}, 0, {} } }));
    middle.onCompletion("to-c", middleNeeds, milliseconds(250));
    const auto stated = middle.getCapacities(now, "to-c", 1, 100);
    const auto needs = entry.onReply(now, 1, "c", milliseconds(250), stated);
    entry.onCompletion("to-b", needs, milliseconds(300));
    entry.tick(now);
    const std::vector<service_need> expected { { "c", 1, milliseconds(250) }, { "d", 4, milliseconds(220) } };
    CHECK(expected == entry.getDemand().getNeeds("to-b"));
    CHECK_EQUAL(std::string("d"), entry.findBottleneck(now, "to-b", 1));
    CHECK_FALSE(entry.isAdmitted(now, "to-b", 1, 0.9).value());
}

TEST(tree_admission, schedulesRetriesWithinTheAimOrAsLateAsPossible)
{
    const retry_situation early { milliseconds(5000), milliseconds(1500), milliseconds(500) };
    DOUBLES_EQUAL(900, scheduleRetry(early, 1).getCount(), 0.001);
    const retry_situation late { milliseconds(3000), milliseconds(100), milliseconds(500) };
    DOUBLES_EQUAL(500, scheduleRetry(late, 0).getCount(), 0.001);
    DOUBLES_EQUAL(1000, scheduleRetry(late, 1).getCount(), 0.001);
}
