#include "tests/policy/fake_fleet.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

constexpr milliseconds convergenceTime { 40000 };
constexpr milliseconds propagationLimit { 3000 };
constexpr milliseconds recoveryLimit { 5000 };
constexpr double controlBytesPerSecond = 12000;

bool isStrictlyIncreasing(const std::vector<document_version>& versions)
{
    return std::adjacent_find(versions.begin(), versions.end(), [](const auto& a, const auto& b) {
        return !(a < b);
    }) == versions.end();
}

void checkNeverReverted(const fake_fleet& fleet)
{
    for (int i = 0; i < fleet.getSize(); ++i)
        CHECK(isStrictlyIncreasing(fleet.getNode(i).adopted));
}

bool hasFullView(const fake_fleet& fleet, int node)
{
    const auto& view = fleet.getNode(node).agent->getView();
    for (int i = 0; i < fleet.getSize(); ++i) {
        const auto& other = fleet.getNode(i);
        const auto found = view.instances.find(other.id);
        if (other.agent && (found == view.instances.end() || found->second.startNumber != other.startNumber))
            return false;
    }
    return true;
}

bool haveAllNodesFullView(const fake_fleet& fleet)
{
    for (int i = 0; i < fleet.getSize(); ++i) {
        if (fleet.getNode(i).agent && !hasFullView(fleet, i))
            return false;
    }
    return true;
}

int countReaders(const fake_fleet& fleet)
{
    int readers = 0;
    for (int i = 0; i < fleet.getSize(); ++i)
        readers += fleet.getNode(i).agent && fleet.getStatus(i).role != reader_role::None ? 1 : 0;
    return readers;
}

} // namespace

TEST_GROUP(fleet_agent) {
    /// Creates fleets with one published document, and starts them until all nodes agree.
    fake_fleet makeFleet(int nodes, int zones, unsigned seed) { fake_fleet fleet(nodes, zones, seed);
fleet.publish(makeDocumentText(1));
return fleet;
}

void startAndConverge(fake_fleet& fleet)
{
    fleet.startAll();
    fleet.publishList();
    fleet.run(convergenceTime);
    CHECK(fleet.isOnRevision(fleet.presets.revision));
    CHECK(haveAllNodesFullView(fleet));
}
}
;

TEST(fleet_agent, propagatesAnEditToEveryNode)
{
    auto fleet = makeFleet(40, 6, 1);
    startAndConverge(fleet);
    LONGS_EQUAL(12, countReaders(fleet));
    for (int edit = 0; edit < 5; ++edit) {
        const auto revision = fleet.publish(makeDocumentText(edit + 2));
        CHECK(fleet.runUntil([&] { return fleet.isOnRevision(revision); }, propagationLimit)
            < propagationLimit);
        fleet.run(milliseconds(20000));
    }
    checkNeverReverted(fleet);
}

TEST(fleet_agent, neverRevertsAndFollowsTwentyEditsASecond)
{
    auto fleet = makeFleet(20, 4, 2);
    startAndConverge(fleet);
    for (int edit = 0; edit < 200; ++edit) {
        fleet.publish(makeDocumentText(edit + 2, 20000));
        fleet.run(milliseconds(50));
    }
    const auto last = fleet.presets.revision;
    CHECK(fleet.runUntil([&] { return fleet.isOnRevision(last); }, propagationLimit) < propagationLimit);
    checkNeverReverted(fleet);
}

TEST(fleet_agent, staysUnderTheCallLimitWhenThePlatformReturns)
{
    auto fleet = makeFleet(40, 6, 3);
    startAndConverge(fleet);
    fleet.isPlatformDown = true;
    fleet.run(milliseconds(300000));
    const auto callsBefore = fleet.getPlatformCalls();
    const auto revision = fleet.publish(makeDocumentText(2));
    fleet.isPlatformDown = false;
    CHECK(fleet.runUntil([&] { return fleet.isOnRevision(revision); }, recoveryLimit) < recoveryLimit);
    fleet.run(milliseconds(60000));
    constexpr double fleetShare = 150.0 * 40 / 1000;
    CHECK(static_cast<double>(fleet.getPlatformCalls() - callsBefore) <= 65 * fleetShare + 40);
    LONGS_EQUAL(12, countReaders(fleet));
}

TEST(fleet_agent, prefersPeersOverAStalePlatformAfterARestart)
{
    auto fleet = makeFleet(8, 2, 4);
    startAndConverge(fleet);
    fleet.freezePlatform();
    fleet.isPlatformStale = false;
    fleet.publish(makeDocumentText(2));
    fleet.run(milliseconds(10000));
    CHECK(fleet.isOnRevision(2));
    fleet.isPlatformStale = true;
    for (int i = 0; i < fleet.getSize(); ++i) {
        fleet.start(i);
        fleet.run(milliseconds(10000));
        CHECK_EQUAL(1U, fleet.getNode(i).adopted.size());
    }
    CHECK(fleet.isOnRevision(2));
    checkNeverReverted(fleet);
}

TEST(fleet_agent, recoversAfterAStartWithoutPeersAndPlatform)
{
    auto fleet = makeFleet(4, 2, 5);
    fleet.isPlatformDown = true;
    fleet.isPartitioned = [](const fake_node&, const fake_node&) { return true; };
    fleet.startAll();
    fleet.run(milliseconds(60000));
    CHECK_EQUAL(0U, fleet.getVersion(2).revision);
    CHECK(fleet.getStatus(2).isolatedFor.has_value());
    fleet.isPartitioned = nullptr;
    fleet.isPlatformDown = false;
    fleet.publishList();
    CHECK(fleet.runUntil([&] { return fleet.isOnRevision(1); }, milliseconds(15000)) < milliseconds(15000));
    CHECK(!fleet.getStatus(2).isolatedFor.has_value());
}

TEST(fleet_agent, keepsTheLastValidDocumentAndReportsTheRefusal)
{
    auto fleet = makeFleet(8, 2, 6);
    startAndConverge(fleet);
    fleet.publish("bad document");
    fleet.run(milliseconds(10000));
    CHECK(fleet.isOnRevision(1));
    int refusals = 0;
    for (int i = 0; i < fleet.getSize(); ++i)
        refusals += fleet.getStatus(i).lastRefusal.find("starts with bad") != std::string::npos ? 1 : 0;
    CHECK(refusals > 0);
    const auto revision = fleet.publish(makeDocumentText(3));
    CHECK(fleet.runUntil([&] { return fleet.isOnRevision(revision); }, propagationLimit) < propagationLimit);
}

TEST(fleet_agent, convergesOnOneOfTwoDocumentsWithTheSameRevision)
{
    auto fleet = makeFleet(12, 2, 7);
    startAndConverge(fleet);
    const auto isOtherZone = [](const fake_node& a, const fake_node& b) { return a.zone != b.zone; };
    fleet.isPartitioned = isOtherZone;
    fleet.isPartitionedFromPlatform = [](const fake_node& node) { return node.zone == "zone-1"; };
    fleet.publish(makeDocumentText(2));
    fleet.run(milliseconds(60000));
    fleet.presets.text = makeDocumentText(3);
    fleet.isPartitionedFromPlatform = [](const fake_node& node) { return node.zone == "zone-0"; };
    fleet.run(milliseconds(60000));
    CHECK(fleet.getVersion(0) != fleet.getVersion(1));
    fleet.isPartitioned = nullptr;
    const auto haveEqualVersions = [&] {
        for (int i = 1; i < fleet.getSize(); ++i) {
            if (fleet.getVersion(i) != fleet.getVersion(0))
                return false;
        }
        return true;
    };
    CHECK(fleet.runUntil(haveEqualVersions, recoveryLimit) < recoveryLimit);
    CHECK(fleet.getStatus(0).hasRevisionConflict);
    checkNeverReverted(fleet);
}

TEST(fleet_agent, announcesLeavingToEveryNodeWithinOneSecond)
{
    auto fleet = makeFleet(40, 6, 8);
    startAndConverge(fleet);
    fleet.getNode(17).agent->announceLeaving(fleet.getNow());
    const auto isLeavingKnown = [&] {
        for (int i = 0; i < fleet.getSize(); ++i) {
            const auto& seen = fleet.getNode(i).agent->getView().instances.at("node-17");
            if (seen.state != instance_state::Leaving)
                return false;
        }
        return true;
    };
    constexpr milliseconds limit { 1000 };
    CHECK(fleet.runUntil(isLeavingKnown, limit) < limit);
}

TEST(fleet_agent, convergesWithinFiveSecondsAfterAPartition)
{
    auto fleet = makeFleet(24, 6, 9);
    startAndConverge(fleet);
    fleet.isPartitioned = [](const fake_node& a, const fake_node& b) { return a.region != b.region; };
    fleet.isPartitionedFromPlatform = [](const fake_node& node) { return node.region == "east"; };
    fleet.run(milliseconds(600000));
    CHECK(!fleet.getStatus(0).cutOffZones.empty());
    const auto revision = fleet.publish(makeDocumentText(2));
    fleet.start(4);
    fleet.run(milliseconds(20000));
    CHECK_EQUAL(1U, fleet.getVersion(23).revision);
    fleet.isPartitioned = nullptr;
    fleet.isPartitionedFromPlatform = nullptr;
    const auto hasConverged = [&] { return fleet.isOnRevision(revision) && haveAllNodesFullView(fleet); };
    const auto sentBefore = fleet.getSentBytes();
    CHECK(fleet.runUntil(hasConverged, recoveryLimit) < recoveryLimit);
    fleet.run(milliseconds(10000));
    const auto sent = static_cast<double>(fleet.getSentBytes() - sentBefore);
    CHECK(sent / fleet.getSize() / 10 < controlBytesPerSecond);
    CHECK(fleet.getStatus(0).cutOffZones.empty());
    checkNeverReverted(fleet);
}

TEST(fleet_agent, convergesAfterATenthOfTheNodesWasPaused)
{
    auto fleet = makeFleet(20, 4, 10);
    startAndConverge(fleet);
    for (const int paused : { 3, 11 })
        fleet.getNode(paused).isPaused = true;
    fleet.run(milliseconds(30000));
    const auto revision = fleet.publish(makeDocumentText(2));
    CHECK(fleet.runUntil([&] { return fleet.isOnRevision(revision); }, propagationLimit) < propagationLimit);
    fleet.run(milliseconds(300000));
    for (const int paused : { 3, 11 })
        fleet.getNode(paused).isPaused = false;
    CHECK(fleet.runUntil([&] { return fleet.isOnRevision(revision); }, recoveryLimit) < recoveryLimit);
    CHECK(fleet.runUntil([&] { return haveAllNodesFullView(fleet); }, recoveryLimit) < recoveryLimit);
    checkNeverReverted(fleet);
}

TEST(fleet_agent, electsNewReadersAfterAllReadersStop)
{
    auto fleet = makeFleet(24, 2, 11);
    startAndConverge(fleet);
    for (int i = 0; i < fleet.getSize(); ++i) {
        if (fleet.getStatus(i).role != reader_role::None)
            fleet.stop(i);
    }
    constexpr milliseconds limit { 60000 };
    const auto revision = fleet.publish(makeDocumentText(2));
    CHECK(fleet.runUntil([&] { return fleet.isOnRevision(revision); }, limit) < limit);
    fleet.run(milliseconds(60000));
    CHECK(countReaders(fleet) >= 1);
    CHECK(countReaders(fleet) <= 4);
}

TEST(fleet_agent, neverRevertsUnderRandomFaults)
{
    for (unsigned seed = 1; seed <= 5; ++seed) {
        auto fleet = makeFleet(12, 4, seed);
        startAndConverge(fleet);
        std::mt19937 random(seed);
        for (int round = 0; round < 60; ++round) {
            const int node = static_cast<int>(random() % 12);
            switch (random() % 9) {
            case 0:
                fleet.start(node);
                break;
            case 1:
                fleet.getNode(node).isPaused = !fleet.getNode(node).isPaused;
                break;
            case 2:
                fleet.isPlatformDown = !fleet.isPlatformDown;
                break;
            case 3:
                fleet.isPlatformStale ? void(fleet.isPlatformStale = false) : fleet.freezePlatform();
                break;
            case 4:
                fleet.isPartitioned = [node](const fake_node& a, const fake_node& b) {
                    return a.zone != b.zone && (node % 2 == 0 || a.region != b.region);
                };
                break;
            case 5:
                fleet.isPartitioned = nullptr;
                break;
            case 6:
                fleet.dropRatio = 0.2 * static_cast<double>(random() % 2);
                break;
            default:
                fleet.publish(makeDocumentText(static_cast<int>(random() % 100000), 3000));
            }
            fleet.run(milliseconds(static_cast<double>(random() % 5000)));
            checkNeverReverted(fleet);
        }
        fleet.isPartitioned = nullptr;
        fleet.isPlatformDown = false;
        fleet.isPlatformStale = false;
        fleet.dropRatio = 0;
        for (int i = 0; i < fleet.getSize(); ++i)
            fleet.getNode(i).isPaused = false;
        constexpr milliseconds limit { 30000 };
        const auto last = fleet.presets.revision;
        CHECK(fleet.runUntil([&] { return fleet.isOnRevision(last) && haveAllNodesFullView(fleet); }, limit)
            < limit);
    }
}
