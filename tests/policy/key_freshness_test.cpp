#include "policy/key_freshness.h"
#include "tests/policy/replica_fleet.h"

#include <algorithm>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

constexpr milliseconds revokeTime { 5000 };
constexpr milliseconds contactBound = revokeTime * 0.6;
constexpr milliseconds startTime { 5000 };

replica_exchange::options makeOptions()
{
    replica_exchange::options config;
    config.limitProofAge(revokeTime);
    return config;
}

} // namespace

// A node must never claim to know a change that it lacks, and must keep its proof while it is in contact. The
// fleet checks the first after each event.
TEST_GROUP(key_freshness)
{
    replica_fleet fleet { 1, 8, makeOptions() };
    const key_freshness keys { revokeTime };
    int version = 10;

    void setup() override { fleet.advance(startTime); }

    void teardown() override { LONGS_EQUAL(0, fleet.getFalseProofCount()); }

    void publish() { fleet.publish(std::to_string(++version)); }

    bool mayUseKeys(std::size_t node)
    {
        return keys.mayUseKeys(fleet.getNow(), fleet.getExchange(node).getProvenAt());
    }

    /// Runs the fleet and checks that no node in contact has an old proof meanwhile.
    void expectProofs(milliseconds duration)
    {
        const auto oldest = fleet.advanceAndGetOldestProofAge(duration);
        CHECK_COMPARE(oldest.getCount(), <=, contactBound.getCount());
    }

    std::size_t findFollower()
    {
        std::size_t node = 0;
        while (fleet.getExchange(node).isReader())
            ++node;
        return node;
    }

    /// Applies a fault to a reader at several moments between two proofs and checks the proofs of the others.
    void expectProofsWithoutAReader(const std::function<void(replica_fleet::node_faults&)>& fault)
    {
        constexpr double stepMs = 170;
        for (double afterMs = 0; afterMs < 1700; afterMs += stepMs) {
            fleet.advance(milliseconds(afterMs));
            const auto reader = fleet.findReaders(0).front();
            fault(fleet.getFaults(reader));
            publish();
            expectProofs(startTime);
            fleet.restart(reader);
            fleet.advance(startTime);
        }
    }
};

TEST(key_freshness, keepsTheProofOfANodeInContactWithFewReads)
{
    const auto readsBefore = fleet.getProofReads();
    constexpr int publications = 10;
    for (int count = 0; count < publications; ++count) {
        publish();
        expectProofs(milliseconds(1700));
    }
    CHECK_COMPARE(fleet.getProofReads() - readsBefore, <=, 2 * (publications + 1));
}

TEST(key_freshness, keepsTheProofWhenAReaderIsKilled)
{
    expectProofsWithoutAReader([](auto& faults) { faults.isDown = true; });
}

TEST(key_freshness, keepsTheProofWhenTheMachineOfAReaderIsLost)
{
    expectProofsWithoutAReader([](auto& faults) { faults.isFrozen = true; });
}

TEST(key_freshness, refusesKeysOfAZoneThatIsCutFromTheStoreUntilItIsBack)
{
    for (std::size_t node = 0; node < fleet.getNodeCount(); ++node)
        fleet.getFaults(node).isCutFromStore = true;
    publish();
    fleet.advance(revokeTime);
    for (std::size_t node = 0; node < fleet.getNodeCount(); ++node) {
        CHECK_FALSE(mayUseKeys(node));
        fleet.getFaults(node).isCutFromStore = false;
    }
    CHECK(fleet.awaitValue(std::to_string(version), startTime) < startTime);
    for (std::size_t node = 0; node < fleet.getNodeCount(); ++node)
        CHECK(mayUseKeys(node));
}

// A node and its reader on one side of a cut: the reader still answers, without the store.
TEST(key_freshness, refusesKeysOfANodeThatIsCutOffTogetherWithItsReader)
{
    const auto follower = findFollower();
    const auto readers = fleet.findReaders(0);
    for (std::size_t node = 0; node < fleet.getNodeCount(); ++node) {
        const bool isCutOff = node == follower || node == readers.front();
        fleet.getFaults(node).isCutFromStore = isCutOff;
        fleet.getFaults(node).isDown = !isCutOff;
    }
    publish();
    fleet.advance(revokeTime);
    CHECK_FALSE(mayUseKeys(follower));
    CHECK_FALSE(mayUseKeys(readers.front()));
}

// The answer of a reader whose proof was recent when it was asked may be on its way for long.
TEST(key_freshness, countsTheProofOfAHeldPollFromItsRequest)
{
    for (const auto reader : fleet.findReaders(0))
        fleet.getFaults(reader).answerDelay = milliseconds(350);
    for (int count = 0; count < 30; ++count) {
        publish();
        fleet.advance(milliseconds(130));
    }
}

TEST(key_freshness, refusesKeysAfterTheProcessWasSuspended)
{
    const auto follower = findFollower();
    fleet.getFaults(follower).isFrozen = true;
    publish();
    fleet.advance(revokeTime);
    fleet.getFaults(follower).isFrozen = false;
    CHECK_FALSE(mayUseKeys(follower));
    fleet.advance(milliseconds(1000));
    CHECK(mayUseKeys(follower));
}

TEST(key_freshness, acceptsKeysAfterARestartOnlyOnceProved)
{
    const auto follower = findFollower();
    fleet.restart(follower);
    CHECK_FALSE(mayUseKeys(follower));
    fleet.advance(milliseconds(500));
    CHECK(mayUseKeys(follower));
    fleet.restart(follower);
    fleet.getFaults(follower).isCutFromStore = true;
    fleet.getFaults(follower).isCutFromZone = true;
    fleet.advance(revokeTime);
    CHECK_FALSE(mayUseKeys(follower));
}

// The reader that lost the store still answers, as it learns from the other one.
TEST(key_freshness, keepsTheProofWithOneReaderCutFromTheStore)
{
    fleet.getFaults(fleet.findReaders(0).front()).isCutFromStore = true;
    for (int count = 0; count < 10; ++count) {
        publish();
        expectProofs(milliseconds(700));
    }
}

namespace {

constexpr milliseconds outage { 500 };
constexpr milliseconds rewriteTime { 2000 };

milliseconds drawTime(std::mt19937& random, unsigned limitMs)
{
    constexpr double offsetMs = 0.37; // Keeps changes and reads from falling on the same instant.
    return milliseconds(offsetMs + static_cast<double>(random() % limitMs));
}

void healAll(replica_fleet& fleet)
{
    for (std::size_t node = 0; node < fleet.getNodeCount(); ++node)
        fleet.getFaults(node) = {};
}

/// Restores the store after an outage; its last changes are written again within the next two seconds.
void restoreAfterOutage(replica_fleet& fleet, std::mt19937& random)
{
    constexpr unsigned maxOutageMs = 4000;
    fleet.setStoreSilent(true);
    fleet.advance(drawTime(random, maxOutageMs));
    fleet.restoreStore(1 + random() % 3);
    fleet.setStoreSilent(false);
    if (random() % 2 == 0)
        fleet.restart(random() % fleet.getNodeCount());
    fleet.advance(milliseconds(static_cast<double>(random() % 2000)));
}

void addRandomFault(replica_fleet& fleet, std::mt19937& random)
{
    const auto node = random() % fleet.getNodeCount();
    auto& faults = fleet.getFaults(node);
    switch (random() % 9) {
    case 0:
        faults.isCutFromStore = true;
        break;
    case 1:
        faults.isCutFromZone = true;
        break;
    case 2:
        faults.isFrozen = true;
        break;
    case 3:
        faults.answerDelay = drawTime(random, 500);
        break;
    case 4:
        fleet.restart(node);
        break;
    case 5:
        fleet.setStoreSilent(true);
        break;
    case 6:
        fleet.setStoreSilent(false);
        break;
    case 7:
        restoreAfterOutage(fleet, random);
        break;
    default:
        healAll(fleet);
        break;
    }
}

/// Runs a fleet under random faults and changes, then heals it.
void runRandomFaults(replica_fleet& fleet, unsigned seed)
{
    constexpr int faultCount = 60;
    constexpr milliseconds healingTime { 9000 };
    std::mt19937 random(seed);
    int version = 100;
    for (int count = 0; count < 4; ++count)
        fleet.publish(std::to_string(++version));
    fleet.advance(startTime);
    for (int count = 0; count < faultCount; ++count) {
        addRandomFault(fleet, random);
        fleet.publish(std::to_string(++version));
        fleet.advance(drawTime(random, 1500));
    }
    fleet.setStoreSilent(false);
    healAll(fleet);
    fleet.advance(healingTime);
}

} // namespace

// The store comes back from a copy without the last changes, in a new epoch. They are written again later.
TEST_GROUP_BASE(key_freshness_epoch, TEST_GROUP_CppUTestGroupkey_freshness)
{
    std::string last;

    /// Publishes changes, loses them and writes the last one again, with actions at the rise and after it.
    void loseChanges(milliseconds silence, const std::function<void()>& onRise)
    {
        for (int count = 0; count < 3; ++count) {
            publish();
            fleet.advance(milliseconds(100));
        }
        last = std::to_string(version);
        fleet.setStoreSilent(true);
        fleet.advance(silence);
        fleet.restoreStore(2);
        fleet.setStoreSilent(false);
        onRise();
        fleet.advance(rewriteTime);
        fleet.publish(last);
    }

    void expectAllInEpoch(std::uint64_t epoch)
    {
        CHECK(fleet.awaitValue(last, startTime) < startTime);
        fleet.advance(startTime);
        for (std::size_t node = 0; node < fleet.getNodeCount(); ++node) {
            CHECK_EQUAL(epoch, fleet.getExchange(node).getReplica().getEpoch());
            CHECK(mayUseKeys(node));
        }
        LONGS_EQUAL(0, fleet.getEpochReversionCount());
    }
};

TEST(key_freshness_epoch, reachesEveryNodeThroughTheReaders)
{
    loseChanges(outage, [] {});
    expectAllInEpoch(1);
    loseChanges(outage, [] {});
    expectAllInEpoch(2);
}

// A proof of the old epoch says nothing about a node that has put only items of the new one in force. Any mix
// of faults, with stores that lose changes while nodes start, must not make a node claim what it lacks.
TEST(key_freshness_epoch, claimsNoLostChangeUnderRandomFaults)
{
    constexpr unsigned firstSeed = 41;
    constexpr unsigned lastSeed = 50;
    for (unsigned seed = firstSeed; seed <= lastSeed; ++seed) {
        replica_fleet faulty { 1, 8, makeOptions() };
        runRandomFaults(faulty, seed);
        LONGS_EQUAL(0, faulty.getFalseProofCount());
        LONGS_EQUAL(0, faulty.getEpochReversionCount());
        CHECK(faulty.getOldestProofAge() <= contactBound);
    }
}

// A node that starts in between knows only what the copy has, also after a long outage.
TEST(key_freshness_epoch, provesNoLostChangeToARestartedNode)
{
    const auto follower = findFollower();
    const auto reader = fleet.findReaders(0).front();
    loseChanges(revokeTime, [&] {
        fleet.restart(follower);
        fleet.restart(reader);
    });
    expectAllInEpoch(1);
}

TEST(key_freshness_epoch, isSeenFirstByAFollowerThatReadsByItself)
{
    const auto follower = findFollower();
    const auto readers = fleet.findReaders(0);
    loseChanges(outage, [&] {
        for (const auto reader : readers)
            fleet.getFaults(reader).isCutFromStore = true;
        fleet.getFaults(follower).isCutFromZone = true;
    });
    CHECK_EQUAL(1U, fleet.getExchange(follower).getReplica().getEpoch());
    fleet.getFaults(follower).isCutFromZone = false;
    fleet.advance(milliseconds(300));
    for (const auto reader : readers)
        fleet.getFaults(reader).isCutFromStore = false;
    expectAllInEpoch(1);
}

TEST(key_freshness_epoch, reachesANodeThatWasCutOffMeanwhile)
{
    const auto follower = findFollower();
    fleet.getFaults(follower).isCutFromStore = true;
    fleet.getFaults(follower).isCutFromZone = true;
    loseChanges(outage, [] {});
    fleet.advance(revokeTime);
    CHECK_EQUAL(0U, fleet.getExchange(follower).getReplica().getEpoch());
    CHECK_FALSE(mayUseKeys(follower));
    fleet.getFaults(follower) = {};
    expectAllInEpoch(1);
}

// The stale reader still answers polls with the items of the old epoch.
TEST(key_freshness_epoch, neverGoesBackBecauseOfAStaleReader)
{
    const auto stale = fleet.findReaders(0).front();
    loseChanges(outage, [&] { fleet.getFaults(stale).isCutFromStore = true; });
    fleet.advance(startTime);
    fleet.getFaults(stale).isCutFromStore = false;
    expectAllInEpoch(1);
}

TEST(key_freshness, acceptsKeysUpToNineTenthsOfTheRevocationTime)
{
    key_freshness limited(milliseconds(5000));
    CHECK(limited.mayUseKeys(milliseconds(14500), milliseconds(10000)));
    CHECK_FALSE(limited.mayUseKeys(milliseconds(14501), milliseconds(10000)));
    CHECK(key_freshness(milliseconds()).mayUseKeys(milliseconds(), freshness_proof::never));
    CHECK(limited.hasChanged(milliseconds(10000), milliseconds(10000)));
    CHECK_FALSE(limited.hasChanged(milliseconds(10001), milliseconds(10000)));
    CHECK(limited.hasChanged(milliseconds(15000), milliseconds(10000)));
}

TEST_GROUP(freshness_proof) {};

// A read that shows a change proves the replica as soon as it contains that change.
TEST(freshness_proof, countsFromTheRequestOnceTheChangesAreContained)
{
    freshness_proof proof;
    item_replica replica;
    replica.merge({ 7, true, {}, {} });
    proof.onRead({ milliseconds(100), 7 }, replica, milliseconds(110));
    DOUBLES_EQUAL(100, proof.getProvenAt().getCount(), 0);
    proof.onRead({ milliseconds(200), 9 }, replica, milliseconds(210));
    replica.merge({ 8, false, {}, {} });
    proof.onMerged(replica, milliseconds(220));
    DOUBLES_EQUAL(100, proof.getProvenAt().getCount(), 0);
    replica.merge({ 9, false, {}, {} });
    proof.onMerged(replica, milliseconds(220));
    DOUBLES_EQUAL(200, proof.getProvenAt().getCount(), 0);
    proof.onRelayed(milliseconds(150), 0);
    DOUBLES_EQUAL(200, proof.getProvenAt().getCount(), 0);
}

// A restored store may lack acknowledged changes until they are written again.
TEST(freshness_proof, provesNothingSoonAfterANewEpoch)
{
    freshness_proof proof;
    item_replica replica;
    replica.merge({ 7, true, {}, {} });
    proof.onRead({ milliseconds(100), 7 }, replica, milliseconds(110));
    replica.merge({ 5, true, {}, {}, 1 });
    proof.onMerged(replica, milliseconds(200));
    proof.onRead({ milliseconds(300), 5, 1 }, replica, milliseconds(310));
    proof.onRead({ milliseconds(400), 5, 0 }, replica, milliseconds(410));
    DOUBLES_EQUAL(100, proof.getProvenAt().getCount(), 0);
    CHECK(proof.getProvenInEpochAt() == freshness_proof::never);
    const auto settledAt = milliseconds(200) + freshness_proof::settleTime;
    proof.onRead({ settledAt, 5, 1 }, replica, settledAt);
    CHECK(proof.getProvenInEpochAt() == settledAt);
}

// A node may have read the new epoch while its items, and those of the node that it asks, are of the old one.
TEST(freshness_proof, passesOnNoProofOfTheOldEpochWithTheItemsOfTheNewOne)
{
    freshness_proof proof;
    item_replica replica;
    replica.merge({ 7, true, {}, {} });
    proof.onRead({ milliseconds(200), 5, 1 }, replica, milliseconds(210));
    proof.onRelayed(milliseconds(150), 0);
    replica.merge({ 5, true, {}, {}, 1 });
    proof.onMerged(replica, milliseconds(220));
    DOUBLES_EQUAL(150, proof.getProvenAt().getCount(), 0);
    CHECK(proof.getProvenInEpochAt() == freshness_proof::never);
}
