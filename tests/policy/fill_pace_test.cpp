#include "policy/fill_pace.h"
#include "policy/slot_gate.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

TEST_GROUP(fill_pace)
{
    fill_pace pace;
    milliseconds now { 100000 };

    void setup() override
    {
        pace.setSlots(64);
        pace.begin(now, fill_state::Starting);
    }

    /// Ends as many requests as may run at once.
    void endRound(fill_outcome outcome, double slowdown = 1)
    {
        constexpr milliseconds usualTime { 50 };
        now = now + usualTime * slowdown;
        const int count = pace.getUsableSlots();
        for (int index = 0; index < count; ++index)
            pace.onEnd(now, outcome, usualTime * slowdown, usualTime);
    }
};

TEST(fill_pace, doublesWithEachRoundOfAnswersInTheirUsualTime)
{
    for (const int expected : { 8, 16, 32, 64 }) {
        LONGS_EQUAL(expected, pace.getUsableSlots());
        endRound(fill_outcome::Answered);
    }
    CHECK_FALSE(pace.isFilling());
}

TEST(fill_pace, growsOnlyWithTimeWhileAnswersAreMuchSlower)
{
    endRound(fill_outcome::Answered, 4);
    LONGS_EQUAL(8, pace.getUsableSlots());
    pace.tick(now + milliseconds(1500), 1, milliseconds(50));
    LONGS_EQUAL(8 + 32, pace.getUsableSlots());
    pace.tick(now + milliseconds(3000), 1, milliseconds(50));
    CHECK_FALSE(pace.isFilling());
}

TEST(fill_pace, shrinksWhenManyRequestsAreRejectedOrSlowEachOtherDown)
{
    endRound(fill_outcome::Answered);
    endRound(fill_outcome::Answered);
    endRound(fill_outcome::Rejected);
    LONGS_EQUAL(16, pace.getUsableSlots());
    endRound(fill_outcome::Answered, 6);
    LONGS_EQUAL(8, pace.getUsableSlots());
    // Time counts only from the next answer on.
    pace.tick(now + milliseconds(60000), 1, milliseconds(50));
    LONGS_EQUAL(8, pace.getUsableSlots());
}

TEST(fill_pace, beginsAgainAfterFailuresOrSilenceAndMoreSlowlyAfterARelapse)
{
    for (int round = 0; round < 3; ++round)
        endRound(fill_outcome::Answered);
    endRound(fill_outcome::Failed);
    CHECK(pace.getState() == fill_state::Recovering);
    for (int round = 0; round < 3; ++round)
        endRound(fill_outcome::Answered);
    CHECK_FALSE(pace.isFilling());
    pace.tick(now + milliseconds(900), 4, milliseconds(50));
    CHECK_FALSE(pace.isFilling());
    now = now + milliseconds(1100);
    pace.tick(now, 4, milliseconds(50));
    CHECK(pace.getState() == fill_state::Recovering);
    endRound(fill_outcome::Answered);
    LONGS_EQUAL(12, pace.getUsableSlots());
}

// Guards against a tiny window after a restart of the node alone.
TEST(fill_pace, onlyAYoungInstanceCountsAsStarted)
{
    constexpr std::uint64_t wallTimeMs = 1700000000000;
    instance_record record;
    record.coldTimeLeft = milliseconds(3000);
    record.startedAtMs = wallTimeMs - 2000;
    CHECK(isRecentStart(record, wallTimeMs, false));
    record.startedAtMs = wallTimeMs - 60000;
    CHECK_FALSE(isRecentStart(record, wallTimeMs, false));
    record.startedAtMs = 0;
    CHECK(isRecentStart(record, wallTimeMs, false));
    record.coldTimeLeft = milliseconds();
    CHECK_FALSE(isRecentStart(record, wallTimeMs, false));
    CHECK(isRecentStart(record, wallTimeMs, true));
}

TEST_GROUP(filling_gate)
{
    slot_gate gate;
    milliseconds now { 1000 };
    std::uint64_t lastId = 0;
    int started = 0;
    int refused = 0;

    /// Submits requests whose callers know the same of the other instances.
    void submit(int count, std::optional<fill_hint> hint)
    {
        for (int index = 0; index < count; ++index) {
            const auto id = ++lastId;
            gate.submit(now, { id, 0, 0, 0, now + milliseconds(500), {}, hint },
                [this](std::optional<error_kind> refusal) { ++(refusal ? refused : started); });
        }
    }

    void setup() override
    {
        gate.setSlots(16, now);
        gate.beginFilling(now);
    }
};

TEST(filling_gate, refusesAtOnceWhatCanRunElsewhere)
{
    submit(8, fill_hint { milliseconds(50), other_instances::Free });
    LONGS_EQUAL(2, started);
    LONGS_EQUAL(5, refused);
    const auto report = gate.getReport();
    LONGS_EQUAL(2, report.slots);
    LONGS_EQUAL(16, report.fullSlots);
    LONGS_EQUAL(1, report.waiting);
}

TEST(filling_gate, letsRequestsWaitIfTheOtherInstancesAreBusy)
{
    submit(8, fill_hint { milliseconds(50), other_instances::Busy });
    LONGS_EQUAL(2, started);
    LONGS_EQUAL(0, refused);
    gate.recordOutcome(now, fill_outcome::Answered, milliseconds(), std::nullopt);
    gate.finish(now, milliseconds(50));
    LONGS_EQUAL(4, started);
}

TEST(filling_gate, doesNotLimitRequestsWithoutAnotherInstance)
{
    submit(6, fill_hint { milliseconds(50), other_instances::None });
    submit(6, std::nullopt);
    LONGS_EQUAL(12, started);
}
