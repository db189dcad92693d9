#include "tests/policy/quota_fleet.h"

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

constexpr std::size_t fleetSize = 72;
constexpr std::size_t halfSize = fleetSize / 2;
constexpr double settleMs = 10000; ///< Traffic begins this long after the nodes.
constexpr double movedMs = 1000; ///< Shares have moved by then.

/// @return the share of the requests that a single bucket for the whole fleet would refuse.
double findUnavoidableShare(const quota_fleet& fleet, double perSecond, double burst, double sinceMs)
{
    double tokens = burst;
    double lastMs = 0;
    double all = 0;
    double refused = 0;
    for (const auto& entry : fleet.outcomes) {
        tokens = std::min(burst, tokens + (entry.at.getCount() - lastMs) * perSecond / 1000);
        lastMs = entry.at.getCount();
        const bool isRefused = tokens < 1;
        tokens -= isRefused ? 0 : 1;
        all += lastMs >= sinceMs ? 1 : 0;
        refused += lastMs >= sinceMs && isRefused ? 1 : 0;
    }
    return refused / std::max(1.0, all);
}

} // namespace

// Quotas of 72 nodes with latencies as between regions, in virtual time. `a` is the organisation; a window is
// 5 s.
TEST_GROUP(quota)
{
    quota_fleet fleet { fleetSize };
    std::size_t moveCount = 0;

    void startWithLimit(double perSecond, double burst)
    {
        fleet.setLimit("a", perSecond, burst);
        fleet.run(settleMs);
    }

    /// Seven times the limit of 400/s, a half of it at three nodes.
    void startOverload()
    {
        startWithLimit(400, 400);
        fleet.spreadLoad("a", 1400);
        for (const std::size_t node : { 3U, 40U, 70U })
            fleet.addLoad(node, "a", 1400.0 / 3);
    }

    /// Sends seven times the limit in at two nodes that change, so that shares move all the time.
    void runWithMovingLoad(double forMs)
    {
        constexpr double stayMs = 700;
        for (const double end = fleet.getNow() + forMs; fleet.getNow() < end; ++moveCount) {
            fleet.clearLoads();
            fleet.addLoad(moveCount * 7 % fleetSize, "a", 1400);
            fleet.addLoad((moveCount * 7 + 31) % fleetSize, "a", 1400);
            fleet.run(stayMs);
        }
    }

    /// The design's own bound for each window; a coordinator may overdraw a small bucket by one request.
    void checkSum(double perSecond = 400, double burst = 400)
    {
        CHECK(fleet.findBusiestWindow("a") <= perSecond * 5 + burst + 1);
        CHECK(fleet.largestShareSum <= 1.000001);
    }

    /// The hard limit, for views of the fleet that differ.
    void checkHardLimit() { CHECK(fleet.findBusiestWindow("a") <= (400 * 5 + 400) * 1.25 + 20); }

    void checkRefusals(double perSecond, double burst, double sinceMs, double allowed)
    {
        const auto unavoidable = findUnavoidableShare(fleet, perSecond, burst, sinceMs);
        CHECK(fleet.getRefusedShare("a", sinceMs) <= unavoidable + allowed);
    }
};

// All requests enter at one node, which owns 1/72 of the limit.
TEST(quota, refusesNothingInsideTheQuotaAtOneEntryNode)
{
    startWithLimit(400, 400);
    fleet.addLoad(5, "a", 250);
    const auto startedAt = fleet.getNow();
    fleet.run(20000);
    checkRefusals(400, 400, startedAt + movedMs, 0.01);
    checkRefusals(400, 400, startedAt, 0.02);
    checkSum();
}

// No node owns a whole request.
TEST(quota, refusesNoMoreThanOneBucketOfASmallOrganisation)
{
    startWithLimit(3.2, 3.2);
    fleet.spreadLoad("a", 2);
    const auto startedAt = fleet.getNow();
    fleet.run(200000);
    checkRefusals(3.2, 3.2, startedAt + movedMs, 0.01);
    checkSum(3.2, 3.2);
}

TEST(quota, refusesNothingInsideTheQuotaOfASpreadOrganisation)
{
    startWithLimit(400, 400);
    fleet.spreadLoad("a", 250);
    const auto startedAt = fleet.getNow();
    fleet.run(20000);
    checkRefusals(400, 400, startedAt + movedMs, 0.01);
}

TEST(quota, refusesLittleInsideTheQuotaAtUnevenNodes)
{
    startWithLimit(40, 40);
    fleet.addLoad(1, "a", 20);
    fleet.addLoad(2, "a", 3);
    fleet.addLoad(9, "a", 2);
    const auto startedAt = fleet.getNow();
    fleet.run(60000);
    checkRefusals(40, 40, startedAt + movedMs, 0.01);
}

// A surge to seven times the limit: the limit is used, and not exceeded.
TEST(quota, admitsTheLimitDuringASurge)
{
    startOverload();
    const auto startedAt = fleet.getNow();
    fleet.run(20000);
    CHECK(fleet.getAdmittedPerSecond("a", startedAt + 2000) >= 0.9 * 400);
    checkSum();
}

TEST(quota, admitsTheLimitOfASmallOrganisationDuringASurge)
{
    startWithLimit(3.2, 3.2);
    fleet.spreadLoad("a", 22);
    const auto startedAt = fleet.getNow();
    fleet.run(40000);
    CHECK(fleet.getAdmittedPerSecond("a", startedAt) >= 0.9 * 3.2);
    checkSum(3.2, 3.2);
}

TEST(quota, sendsNothingWithoutDemandOrWhileOwnSharesSuffice)
{
    startWithLimit(4000, 4000);
    fleet.spreadLoad("a", 72);
    fleet.run(10000);
    CHECK_EQUAL(0U, fleet.messageCount);
}

// Requests to the coordinator get through, its answers don't, and the other way around.
TEST(quota, keepsTheSumWithLinksCutInOneDirection)
{
    startOverload();
    fleet.run(3000);
    const auto coordinator = fleet.findCoordinator();
    fleet.isCut = [=](std::size_t from, std::size_t to) { return from == coordinator && to % 2 == 0; };
    runWithMovingLoad(10000);
    fleet.isCut = [=](std::size_t from, std::size_t to) { return to == coordinator && from % 2 == 0; };
    runWithMovingLoad(10000);
    fleet.isCut = nullptr;
    runWithMovingLoad(10000);
    checkSum();
}

// Both halves have a coordinator while they are cut off from each other.
TEST(quota, keepsTheSumWithTwoCoordinators)
{
    startOverload();
    fleet.run(3000);
    fleet.isCut = [](std::size_t from, std::size_t to) { return (from < halfSize) != (to < halfSize); };
    const auto cutAt = fleet.getNow();
    fleet.run(20000);
    CHECK(fleet.getAgent(0).getCoordinator() != fleet.getAgent(halfSize).getCoordinator());
    CHECK(fleet.getAdmittedPerSecond("a", cutAt + 5000) >= 0.8 * 400);
    fleet.isCut = nullptr;
    fleet.run(40000);
    STRCMP_EQUAL(
        fleet.getAgent(0).getCoordinator().c_str(), fleet.getAgent(halfSize).getCoordinator().c_str());
    checkSum();
}

TEST(quota, keepsTheSumWithMessagesLateBySeconds)
{
    startOverload();
    std::mt19937 random(3);
    fleet.extraDelayMs = [&] { return random() % 3 == 0 ? random() % 3000 : 0; };
    runWithMovingLoad(40000);
    checkSum();
}

TEST(quota, keepsTheSumWithMessagesThatArriveTwice)
{
    startOverload();
    fleet.areMessagesDoubled = true;
    runWithMovingLoad(20000);
    checkSum();
}

// Coordinator and borrower wake with leases that have ended and messages that have waited.
TEST(quota, keepsTheSumWithNodesThatFreezeAndWake)
{
    startOverload();
    fleet.run(3000);
    const auto coordinator = fleet.findCoordinator();
    for (const double frozenMs : { 700, 1500, 2500, 8000 }) {
        fleet.setFrozen(coordinator, true);
        fleet.setFrozen(40, true);
        runWithMovingLoad(frozenMs);
        fleet.setFrozen(coordinator, false);
        fleet.run(1000);
        fleet.setFrozen(40, false);
        runWithMovingLoad(3000);
    }
    checkSum();
}

TEST(quota, keepsTheSumWithRestartsAndHasTheSharesBackSoon)
{
    startOverload();
    runWithMovingLoad(3000);
    for (int round = 0; round < 5; ++round) {
        // The borrowers don't learn of the restart and use their grants to the end.
        const auto coordinator = fleet.findCoordinator();
        const auto last = moveCount - 1;
        fleet.isCut = [=](std::size_t from, std::size_t to) {
            return to == coordinator && (from == last * 7 % fleetSize || from == (last * 7 + 31) % fleetSize);
        };
        fleet.restart(coordinator);
        runWithMovingLoad(700);
        fleet.isCut = nullptr;
        runWithMovingLoad(2800);
    }
    // Nodes whose shares are all in use elsewhere.
    fleet.clearLoads();
    fleet.addLoad(3, "a", 1400);
    fleet.addLoad(40, "a", 1400);
    fleet.run(4000);
    for (std::size_t node = 1; node < fleetSize; node += 5)
        fleet.restart(node);
    fleet.run(3000);
    for (std::size_t node = 0; node < fleetSize; ++node)
        fleet.restart(node);
    fleet.clearLoads();
    fleet.spreadLoad("a", 2800);
    const auto restartedAt = fleet.getNow();
    fleet.run(15000);
    CHECK(fleet.getAdmittedPerSecond("a", restartedAt + 4000) >= 0.9 * 400);
    checkSum();
}

// The coordinator ends for good but stays listed for a while.
TEST(quota, findsAnotherCoordinatorForOneThatHasEnded)
{
    startWithLimit(400, 400);
    fleet.addLoad(5, "a", 250);
    fleet.run(5000);
    fleet.setFrozen(fleet.findCoordinator(), true);
    const auto endedAt = fleet.getNow();
    fleet.run(15000);
    CHECK(fleet.getRefusedShare("a", endedAt + 4000) <= 0.01);
    checkSum();
}

// Nodes that are no longer listed go on admitting, as a part of the fleet that is cut off from the store
// does.
TEST(quota, keepsTheHardLimitWhileAHalfIsNotListed)
{
    startOverload();
    fleet.run(3000);
    for (std::size_t node = halfSize; node < fleetSize; ++node)
        fleet.setListed(node, false);
    fleet.isCut = [](std::size_t from, std::size_t to) { return (from < halfSize) != (to < halfSize); };
    fleet.run(30000);
    for (std::size_t node = halfSize; node < fleetSize; ++node)
        fleet.setListed(node, true);
    fleet.isCut = nullptr;
    fleet.run(10000);
    checkHardLimit();
}

TEST(quota, keepsTheHardLimitWhileNodesJoinAndLeave)
{
    startOverload();
    fleet.run(3000);
    for (int round = 0; round < 3; ++round) {
        for (std::size_t node = 60; node < fleetSize; ++node) {
            fleet.setListed(node, false);
            fleet.restart(node);
        }
        fleet.run(9000);
        for (std::size_t node = 60; node < fleetSize; ++node) {
            fleet.setListed(node, true);
            fleet.restart(node);
        }
        fleet.run(3000);
    }
    checkHardLimit();
}

// With a tolerance, restarted nodes use their own shares at once, although the others may still use what the
// processes before have lent. 7 times the limit; 55 in 100 nodes restart together, the coordinator among
// them.
TEST(quota, keepsTheToleratedLimitWhileManyNodesRestart)
{
    fleet.tolerance = { 0.25, 20 };
    for (std::size_t node = 0; node < fleetSize; ++node)
        fleet.restart(node);
    startOverload();
    for (int round = 0; round < 4; ++round) {
        fleet.run(4000);
        for (std::size_t node = 0; node < fleetSize; ++node) {
            if ((node * 7 + static_cast<std::size_t>(round)) % 20 < 11)
                fleet.restart(node);
        }
    }
    fleet.run(6000);
    checkHardLimit();
}

// Owed requests of a fleet that restarts as a whole are served once the nodes have their listing, which the
// model gives them each 500 ms.
TEST(quota, admitsAtOnceAfterARestartOfAllNodesWithATolerance)
{
    fleet.tolerance = { 0.25, 20 };
    startWithLimit(400, 400);
    fleet.spreadLoad("a", 200);
    fleet.run(5000);
    for (std::size_t node = 0; node < fleetSize; ++node)
        fleet.restart(node);
    const auto listedAt = fleet.getNow() + 500;
    fleet.run(4000);
    CHECK(fleet.getAdmittedPerSecond("a", listedAt) >= 0.9 * 200);
}

TEST(quota, appliesALowerAndAHigherLimit)
{
    startOverload();
    fleet.run(5000);
    fleet.setLimit("a", 40, 40);
    fleet.run(1000);
    const auto loweredAt = fleet.getNow();
    fleet.run(10000);
    const auto lowered = fleet.getAdmittedPerSecond("a", loweredAt);
    CHECK(lowered >= 0.9 * 40 && lowered <= 40 + 40 / 10.0);
    fleet.setLimit("a", 400, 400);
    fleet.run(2000);
    const auto raisedAt = fleet.getNow();
    fleet.run(10000);
    CHECK(fleet.getAdmittedPerSecond("a", raisedAt) >= 0.9 * 400);
}

// What an organisation has used counts on when its table is emptied and filled again.
TEST(quota, keepsTheHardLimitWhileTheTableIsEmptiedAndFilledAgain)
{
    startWithLimit(400, 400);
    runWithMovingLoad(5000);
    for (const double emptyMs : { 20.0, 100.0, 300.0, 900.0, 2700.0 }) {
        fleet.clearLoads();
        fleet.setLimit("a", 0, 0);
        fleet.run(emptyMs);
        fleet.setLimit("a", 400, 400);
        runWithMovingLoad(2000);
    }
    checkHardLimit();
}

// A client that comes back at the time that it was told is served if no other request has come in between.
TEST(quota, keepsItsWordAboutTheTimeToComeBack)
{
    for (const double limit : { 3.2, 40.0, 400.0 }) {
        fleet.setLimit("a", limit, limit);
        fleet.clearLoads();
        fleet.run(settleMs);
        fleet.addLoad(5, "a", limit * 7);
        fleet.run(6000);
        fleet.clearLoads();
        bool isAdmitted = false;
        double comeBackAt = 0;
        const auto ask = [&] {
            fleet.getAgent(5).admit(milliseconds(fleet.getNow()), "a", [&](const auto& result) {
                isAdmitted = result.isAdmitted;
                if (!isAdmitted)
                    comeBackAt = std::max(comeBackAt, fleet.getNow() + result.retryAfter.getCount());
            });
        };
        for (int count = 0; count < 1000; ++count)
            ask();
        fleet.run(70);
        CHECK(comeBackAt > 0);
        fleet.run(std::max(0.0, comeBackAt - fleet.getNow()));
        ask();
        fleet.run(70);
        CHECK(isAdmitted);
    }
}

TEST(quota, givesBackTheCreditOfARequestThatHasNotRun)
{
    quota_fleet single(1);
    single.setLimit("a", 0.01, 2);
    single.run(250000);
    int admitted = 0;
    const auto ask = [&] {
        single.getAgent(0).admit(milliseconds(single.getNow()), "a",
            [&](const auto& result) { admitted += result.isAdmitted ? 1 : 0; });
        single.run(100);
    };
    for (int count = 0; count < 3; ++count)
        ask();
    CHECK_EQUAL(2, admitted);
    single.getAgent(0).giveBack(milliseconds(single.getNow()), "a");
    ask();
    ask();
    CHECK_EQUAL(3, admitted);
}
