#include "policy/slot_gate.h"

#include <map>
#include <optional>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

/// Records what a gate decided.
struct decisions {
    std::vector<std::uint64_t> started;
    std::map<std::uint64_t, error_kind> refused;

    slot_gate::decision_hook hookFor(std::uint64_t id)
    {
        return [this, id](std::optional<error_kind> refusal) {
            if (refusal)
                refused.emplace(id, *refusal);
            else
                started.push_back(id);
        };
    }
};

constexpr milliseconds longWait { 100000 };

} // namespace

TEST_GROUP(slot_gate)
{
    slot_gate gate;
    decisions seen;
    milliseconds now { 1000 };

    void submit(std::uint64_t id, int priority, milliseconds wait = longWait, int depth = 0)
    {
        gate.submit(now, { id, priority, depth, now + wait }, seen.hookFor(id));
    }

    void learnServiceTime(milliseconds time)
    {
        for (std::uint64_t id = 900; id < 903; ++id) {
            submit(id, 0);
            gate.finish(now, time);
        }
        seen = {};
    }
};

TEST(slot_gate, startsWhileSlotsAreFree)
{
    gate.setSlots(2, now);
    submit(1, 0);
    submit(2, 0);
    submit(3, 0);
    CHECK_EQUAL(2U, seen.started.size());
    LONGS_EQUAL(1, gate.getReport().waiting);
}

TEST(slot_gate, startsTheMostImportantFirst)
{
    submit(1, 1);
    submit(2, 2);
    submit(3, 0);
    submit(4, 0);
    gate.finish(now, milliseconds(10));
    gate.finish(now, milliseconds(10));
    gate.finish(now, milliseconds(10));
    const std::vector<std::uint64_t> expected { 1, 3, 4, 2 };
    CHECK(expected == seen.started);
}

TEST(slot_gate, startsTheDeepestOfEqualsFirst)
{
    submit(1, 1);
    submit(2, 1, longWait, 0);
    submit(3, 1, longWait, 2);
    gate.finish(now, milliseconds(10));
    const std::vector<std::uint64_t> expected { 1, 3 };
    CHECK(expected == seen.started);
}

TEST(slot_gate, refusesAtOnceWhatCantStartInTime)
{
    learnServiceTime(milliseconds(100));
    submit(1, 0);
    submit(2, 0, milliseconds(150));
    submit(3, 0, milliseconds(150));
    CHECK_EQUAL(1U, seen.refused.size());
    CHECK(error_kind::Shed == seen.refused.at(3));
}

TEST(slot_gate, refusesWhatMoreImportantRequestsPushPastItsTime)
{
    learnServiceTime(milliseconds(100));
    submit(1, 0);
    submit(2, 2, milliseconds(150));
    CHECK(seen.refused.empty());
    submit(3, 0, milliseconds(150));
    CHECK(error_kind::Shed == seen.refused.at(2));
}

TEST(slot_gate, refusesOnTheTickWhatHasWaitedTooLong)
{
    submit(1, 0);
    submit(2, 0, milliseconds(50));
    gate.tick(now + milliseconds(51));
    CHECK(error_kind::Shed == seen.refused.at(2));
}

TEST(slot_gate, forgetsACancelledRequest)
{
    submit(1, 0);
    submit(2, 0);
    CHECK(gate.cancel(2));
    CHECK_FALSE(gate.cancel(1));
    gate.finish(now, std::nullopt);
    CHECK_EQUAL(1U, seen.started.size());
    CHECK(seen.refused.empty());
}

TEST(slot_gate, refusesEverythingWhileClosed)
{
    submit(1, 0);
    submit(2, 0);
    gate.setClosed(true);
    submit(3, 0);
    CHECK(error_kind::TargetLeaving == seen.refused.at(2));
    CHECK(error_kind::TargetLeaving == seen.refused.at(3));
    gate.setClosed(false);
    gate.finish(now, std::nullopt);
    submit(4, 0);
    CHECK_EQUAL(4U, seen.started.back());
}

TEST(slot_gate, startsWaitingOnesWhenSlotsAreAdded)
{
    submit(1, 0);
    submit(2, 0);
    gate.setSlots(2, now);
    CHECK_EQUAL(2U, seen.started.size());
}

TEST(slot_gate, reportsTheWaitOfANewRequest)
{
    gate.setSlots(2, now);
    learnServiceTime(milliseconds(100));
    DOUBLES_EQUAL(0, gate.getReport().estimateWait().getCount(), 0.001);
    for (std::uint64_t id = 1; id <= 5; ++id)
        submit(id, 0);
    DOUBLES_EQUAL(200, gate.getReport().estimateWait().getCount(), 0.001);
}
