#include "policy/key_freshness.h"
#include "tests/policy/replica_fleet.h"

#include <algorithm>

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
    proof.onRead({ milliseconds(100), 7 }, 7);
    DOUBLES_EQUAL(100, proof.getProvenAt().getCount(), 0);
    proof.onRead({ milliseconds(200), 9 }, 7);
    proof.onMerged(8);
    DOUBLES_EQUAL(100, proof.getProvenAt().getCount(), 0);
    proof.onMerged(9);
    DOUBLES_EQUAL(200, proof.getProvenAt().getCount(), 0);
    proof.onRelayed(milliseconds(150));
    DOUBLES_EQUAL(200, proof.getProvenAt().getCount(), 0);
}
