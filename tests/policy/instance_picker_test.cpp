#include "core/error.h"
#include "policy/instance_picker.h"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

TEST_GROUP(instance_picker)
{
    instance_directory directory;
    instance_picker picker { { "a", { { "a", "west" }, { "b", "west" }, { "c", "east" } } },
        [] { return 0.5; } };
    milliseconds now { 100000 };
    milliseconds spareTime { 1000 };

    void list(const std::string& id, const std::string& zone, bool isDraining = false)
    {
        instance_record record;
        record.id = id;
        record.service = "orders";
        record.zone = zone;
        record.target = { "10.0.0." + std::to_string(directory.getEntries().size() + 1), 80 };
        record.isDraining = isDraining;
        directory.put(record, now);
    }

    /// By default the request is not idempotent, so that it is not used to try an idle instance.
    std::string choose(std::vector<std::string> excluded = {}, bool isIdempotent = false)
    {
        const auto* chosen = picker.choose(now,
            { "orders", "route", milliseconds(1000), spareTime, isIdempotent, std::move(excluded) },
            directory);
        return chosen ? chosen->record.id : std::string("none");
    }

    void end(const std::string& id, health_signal signal)
    {
        picker.onSend(id, now);
        picker.onEnd(id, now, signal);
    }
};

TEST(instance_picker, prefersTheOwnZoneThenTheOwnRegion)
{
    list("far", "c");
    list("near", "b");
    list("own", "a");
    STRCMP_EQUAL("own", choose().c_str());
    STRCMP_EQUAL("near", choose({ "own" }).c_str());
    STRCMP_EQUAL("far", choose({ "own", "near" }).c_str());
    STRCMP_EQUAL("none", choose({ "own", "near", "far" }).c_str());
    CHECK(error_kind::NoTarget == getLastError().kind);
}

TEST(instance_picker, leavesTheZoneOnceTheQueueThereCostsMore)
{
    list("own", "a");
    list("near", "b");
    picker.onReport("own", now, { 10, 0, 10, milliseconds(100) });
    STRCMP_EQUAL("own", choose().c_str());
    picker.onReport("own", now, { 10, 40, 10, milliseconds(100) });
    STRCMP_EQUAL("near", choose().c_str());
}

TEST(instance_picker, leavesTheRegionSoonerWithLittleTimeToSpare)
{
    list("own", "a");
    list("far", "c");
    picker.onReport("own", now, { 10, 10, 10, milliseconds(100) });
    STRCMP_EQUAL("own", choose().c_str());
    spareTime = milliseconds(100);
    STRCMP_EQUAL("far", choose().c_str());
}

TEST(instance_picker, avoidsAnInstanceThatStopsAnswering)
{
    list("own", "a");
    list("near", "b");
    picker.onReport("own", now, { 1, 0, 10, milliseconds(50) });
    end("own", health_signal::Success);
    for (int count = 0; count < 6; ++count)
        picker.onSend("own", now);
    STRCMP_EQUAL("own", choose().c_str());
    now = now + milliseconds(600);
    STRCMP_EQUAL("near", choose().c_str());
    CHECK(picker.isUnresponsive("own", now, now - milliseconds(600)));
    CHECK_FALSE(picker.isUnresponsive("own", now, now - milliseconds(100)));
    picker.onEnd("own", now, health_signal::Success);
    CHECK_FALSE(picker.isUnresponsive("own", now, now - milliseconds(600)));
    STRCMP_EQUAL("own", choose().c_str());
}

TEST(instance_picker, aSingleLongRunDoesNotCountAsUnresponsive)
{
    list("own", "a");
    list("near", "b");
    picker.onReport("own", now, { 1, 0, 10, milliseconds(100) });
    end("own", health_signal::Success);
    picker.onSend("own", now);
    now = now + milliseconds(600);
    STRCMP_EQUAL("own", choose().c_str());
}

TEST(instance_picker, anInstanceThatHasNeverAnsweredIsNotUnresponsive)
{
    list("own", "a");
    picker.onSend("own", now);
    CHECK_FALSE(picker.isUnresponsive("own", now + milliseconds(2000), now));
}

TEST(instance_picker, retriesAnUnresponsiveInstanceAtIncreasingIntervals)
{
    list("own", "a");
    list("near", "b");
    end("own", health_signal::Success);
    for (const double pauseMs : { 250.0, 500.0, 1000.0 }) {
        picker.onSend("own", now);
        now = now + milliseconds(1000);
        picker.onEnd("own", now, health_signal::TimedOut);
        now = now + milliseconds(pauseMs - 10);
        STRCMP_EQUAL("near", choose().c_str());
        now = now + milliseconds(20);
        STRCMP_EQUAL("own", choose().c_str());
    }
}

TEST(instance_picker, anOldReportLosesItsEffect)
{
    list("own", "a");
    list("near", "b");
    picker.onReport("own", now, { 10, 40, 10, milliseconds(100) });
    now = now + milliseconds(600);
    STRCMP_EQUAL("own", choose().c_str());
}

TEST(instance_picker, sendsNothingToDrainingInstances)
{
    list("own", "a", true);
    list("near", "b");
    STRCMP_EQUAL("near", choose().c_str());
    STRCMP_EQUAL("none", choose({ "near" }).c_str());
}

TEST(instance_picker, avoidsAnUnreachableInstanceForAWhile)
{
    list("own", "a");
    list("near", "b");
    end("own", health_signal::Unreachable);
    STRCMP_EQUAL("near", choose().c_str());
    now = now + milliseconds(300);
    STRCMP_EQUAL("own", choose().c_str());
}

TEST(instance_picker, usesAnAvoidedInstanceIfThereIsNoOther)
{
    list("own", "a");
    end("own", health_signal::Unreachable);
    STRCMP_EQUAL("own", choose().c_str());
}

TEST(instance_picker, avoidsAFailingInstanceUntilTheFailureRateDecays)
{
    list("own", "a");
    list("near", "b");
    for (int count = 0; count < 20; ++count)
        end("own", health_signal::Failure);
    STRCMP_EQUAL("near", choose().c_str());
    now = now + milliseconds(20000);
    STRCMP_EQUAL("own", choose().c_str());
}

TEST(instance_picker, aSingleFailureDoesNotMoveRequestsToAnotherZone)
{
    list("own", "a");
    list("near", "b");
    for (int count = 0; count < 10; ++count)
        end("own", health_signal::Success);
    end("own", health_signal::Failure);
    STRCMP_EQUAL("own", choose().c_str());
    end("own", health_signal::Failure);
    end("own", health_signal::Failure);
    STRCMP_EQUAL("near", choose().c_str());
}

TEST(instance_picker, forgetsTheStatisticsOfARemovedInstance)
{
    list("own", "a");
    list("near", "b");
    end("own", health_signal::Unreachable);
    directory.remove("own", now);
    picker.pruneUnlisted(directory);
    list("own", "a");
    STRCMP_EQUAL("own", choose().c_str());
}

TEST(instance_picker, aCancelledAttemptDoesNotAffectTheChoice)
{
    list("own", "a");
    list("near", "b");
    for (int count = 0; count < 20; ++count)
        end("own", health_signal::Cancelled);
    STRCMP_EQUAL("own", choose().c_str());
}

TEST(instance_picker, probesAnIdleInstanceOfTheZoneWithAnIdempotentRequest)
{
    list("own", "a");
    end("own", health_signal::Success);
    list("joined", "a");
    STRCMP_EQUAL("joined", choose({}, true).c_str());
}

// The node of an instance sees all its rejections, so other nodes avoid the instance from its first report
// on.
TEST(instance_picker, avoidsAnInstanceThatRejectsRequestsWhileIdle)
{
    list("own", "a");
    list("near", "b");
    picker.onReport("own", now, { 0, 0, 10, milliseconds(50), 0.5 });
    STRCMP_EQUAL("near", choose().c_str());
    now = now + milliseconds(10000);
    STRCMP_EQUAL("own", choose().c_str());
}

TEST(instance_picker, toleratesFewRejections)
{
    list("own", "a");
    list("near", "b");
    picker.onReport("own", now, { 0, 0, 10, milliseconds(50), 0.1 });
    STRCMP_EQUAL("own", choose().c_str());
}

// A short call stays in its zone although the instance there is slow: its run ends in time all the same.
TEST(instance_picker, leavesTheZoneOnlyForRequestsThatTheSlowInstanceWouldDelayBeyondTheirTarget)
{
    list("slow-own", "a");
    list("fast-near", "b");
    for (int count = 0; count < 100; ++count) {
        picker.onRunTime("slow-own", "route", milliseconds(160));
        picker.onRunTime("fast-near", "route", milliseconds(70));
    }
    STRCMP_EQUAL("slow-own", choose().c_str());
    for (int count = 0; count < 300; ++count) {
        picker.onRunTime("slow-own", "route", milliseconds(1600));
        picker.onRunTime("fast-near", "route", milliseconds(700));
    }
    STRCMP_EQUAL("fast-near", choose().c_str());
}

// An instance that states that its VM is busy with other work must get fewer requests, but only for as long
// as the statement is fresh: the pace changes many times a second.
TEST(instance_picker, avoidsAnInstanceWhileItStatesASlowPace)
{
    list("first", "a");
    list("second", "a");
    for (const char* id : { "first", "second" })
        picker.onRunTime(id, "route", milliseconds(id == std::string("first") ? 190 : 200));
    slot_report report { 1, 0, 10, milliseconds(200) };
    picker.onReport("second", now, report);
    report.pace = { 2.5, milliseconds() };
    picker.onReport("first", now, report);
    STRCMP_EQUAL("second", choose().c_str());
    now = now + milliseconds(3000);
    STRCMP_EQUAL("first", choose().c_str());
}

// A relayed statement must not count as a fresh one.
TEST(instance_picker, countsTheAgeOfAStatedPace)
{
    const pace_report fresh { 3, milliseconds() };
    const pace_report relayed { 3, milliseconds(1000) };
    DOUBLES_EQUAL(3, fresh.getExpected(milliseconds()), 0.001);
    DOUBLES_EQUAL(fresh.getExpected(milliseconds(1000)), relayed.getExpected(milliseconds()), 0.001);
    CHECK(relayed.getExpected(milliseconds()) < 1.1);
}

TEST(instance_picker, leavesTheZoneOnceTheRateLimitThereCostsMore)
{
    list("own", "a");
    list("near", "b");
    slot_report limited { 1, 2, 10, milliseconds(20) };
    limited.rateLimit = 20;
    picker.onReport("own", now, limited);
    STRCMP_EQUAL("own", choose().c_str());
    for (int count = 0; count < 10; ++count)
        picker.onSend("own", now);
    STRCMP_EQUAL("near", choose().c_str());
    now = now + milliseconds(500);
    STRCMP_EQUAL("own", choose().c_str());
}

// Guards against the first requests of many nodes at the same moment: they all see a new instance at once.
TEST(instance_picker, waitsForItsMomentBeforeItTriesAnInstanceThatHasJoined)
{
    list("own", "a");
    picker.onReport("own", now, { 1, 0, 10, milliseconds(50) });
    now = now + milliseconds(5000);
    list("joined", "a");
    for (const bool isIdempotent : { false, true }) {
        picker.onSend("own", now);
        STRCMP_EQUAL("own", choose({}, isIdempotent).c_str());
    }
    now = now + milliseconds(260);
    STRCMP_EQUAL("joined", choose({}, true).c_str());
    // Nor does it send a second request before the first report, unless there is no other instance.
    picker.onSend("joined", now);
    STRCMP_EQUAL("own", choose().c_str());
    STRCMP_EQUAL("joined", choose({ "own" }).c_str());
}

TEST(instance_picker, tellsTheGateOfANewInstanceWhatItKnowsOfTheOthers)
{
    list("own", "a");
    list("new", "a");
    const pick_request request { "orders", "route", milliseconds(1000), spareTime, true, {} };
    const auto getHint
        = [&](const char* id) { return picker.makeFillHint(now, request, *directory.find(id), directory); };
    CHECK(getHint("new")->others == other_instances::None);
    picker.onReport("own", now, { 1, 0, 10, milliseconds(50) });
    picker.onRunTime("own", "route", milliseconds(80));
    CHECK(getHint("new")->others == other_instances::Free);
    CHECK(getHint("new")->usualTime > milliseconds(50));
    CHECK_FALSE(getHint("own").has_value());
    picker.onReport("own", now, { 10, 80, 10, milliseconds(50) });
    CHECK(getHint("new")->others == other_instances::Busy);
}

// Guards against a report that disagrees with the choice, or that changes what the node does next.
TEST(instance_picker, placeTellsTheNextChoiceWithoutChangingIt)
{
    int randomCount = 0;
    instance_picker counted { { "a", { { "a", "west" }, { "b", "west" } } }, [&] {
                                 ++randomCount;
                                 return 0.5;
                             } };
    list("own", "a");
    list("near", "b");
    list("leaving", "a", true);
    const pick_request request { "orders", "route", milliseconds(1000), spareTime, true, {} };
    STRCMP_EQUAL("idle instance is tried", counted.place(now, request, directory).reason.c_str());
    for (const auto* id : { "own", "near" }) {
        counted.onSend(id, now);
        counted.onReport(id, now, { 10, 40, 10, milliseconds(100) });
        counted.onEnd(id, now, health_signal::Success);
    }
    for (const auto signal : { health_signal::Success, health_signal::Unreachable }) {
        counted.onSend("own", now);
        counted.onEnd("own", now, signal);
        const int before = randomCount;
        const auto placed = counted.place(now, request, directory);
        LONGS_EQUAL(before, randomCount);
        POINTERS_EQUAL(placed.chosen, counted.choose(now, request, directory));
        STRCMP_EQUAL(signal == health_signal::Success ? "own" : "near", placed.chosen->record.id.c_str());
        LONGS_EQUAL(3, placed.instances.size());
        for (const auto& item : placed.instances) {
            const auto& id = item.instance->record.id;
            const bool isOwnAvoided = id == "own" && signal == health_signal::Unreachable;
            STRCMP_EQUAL(id == "leaving" ? "leaving" : isOwnAvoided ? "avoided" : "", item.reason.c_str());
        }
    }
}
