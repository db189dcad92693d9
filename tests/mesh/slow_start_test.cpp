#include "tests/mesh/test_mesh.h"

#include <algorithm>
#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

TEST_GROUP(mesh_slow_start)
{
    static constexpr int slots = 16;
    test_mesh mesh;
    test_mesh::vm& entry = mesh.addVm("i-1", "front");
    test_mesh::vm& older = mesh.addVm("i-2", "orders");
    test_mesh::vm& younger = mesh.addVm("i-3", "orders");

    void setup() override
    {
        older.slots = slots;
        younger.slots = slots;
        mesh.publishRules(test_mesh::makeRules("orders", true));
    }

    /// Lists the instances; the younger one started at the given time before now.
    void publish(std::chrono::milliseconds age)
    {
        const auto startedAt = std::chrono::system_clock::now() - age;
        auto record = test_mesh::makeRecord(younger);
        record.startedAtMs = static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(startedAt.time_since_epoch()).count());
        for (auto* vm : { &entry, &older, &younger })
            vm->node->setInstances({ test_mesh::makeRecord(older), record });
    }

    /// Sends many requests at once while both instances hold theirs.
    /// @return how many the younger instance has got when all have reached an instance.
    std::size_t countAtYounger(int count)
    {
        older.handler = test_mesh::makeHoldingHandler(older);
        younger.handler = test_mesh::makeHoldingHandler(younger);
        for (int index = 0; index < count; ++index)
            mesh.send(entry, "r-" + std::to_string(index));
        mesh.runUntil(
            [&] { return older.held.size() + younger.held.size() == static_cast<std::size_t>(count); });
        return younger.held.size();
    }
};

// Guards against a flood of an instance that has just started, also by requests that are under way before its
// first answer. What its gate refuses runs at the other instance.
TEST(mesh_slow_start, aStartedInstanceGetsFewRequestsAtOnce)
{
    publish(std::chrono::milliseconds(100));
    // The older instance has answered, so that it counts as one with room.
    while (older.received.empty())
        mesh.await(mesh.send(entry, "first-" + std::to_string(younger.received.size())));
    younger.received.clear();
    const auto count = countAtYounger(slots);
    CHECK_COMPARE(count, >=, 1);
    CHECK_COMPARE(count, <=, slots / 4);
}

// Guards against a small window beside an instance that has been running while only its node is new.
TEST(mesh_slow_start, anOldInstanceIsFullAtOnceForANewNode)
{
    publish(std::chrono::minutes(5));
    older.isDraining = true;
    auto leaving = test_mesh::makeRecord(older);
    for (auto* vm : { &entry, &older, &younger })
        vm->node->updateInstance(leaving);
    LONGS_EQUAL(slots, countAtYounger(slots));
}
