#include "bench/run_checker.h"

#include <algorithm>
#include <functional>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;
using namespace fuchsiagauge::bench;

namespace {

constexpr int requestCount = 40;
constexpr double stopMs = 5000;
constexpr double restartMs = 15000;

caller_record makeRecord(int number)
{
    caller_record record;
    record.request = "r" + std::to_string(number);
    record.group = number % 2 == 0 ? "catalogue" : "order";
    record.order = number % 2 == 0 ? "" : "o" + std::to_string(number);
    record.arrivalMs = number;
    record.outcome = run_outcome::Answered;
    record.isWhole = true;
    return record;
}

journal_event makeEvent(const caller_record& record, const char* event, double timeMs)
{
    return { timeMs, event, record.order, record.request, "c" + record.request, 0, "orders-1", "orders" };
}

/// A run in which every invariant holds: one request is in flight when orders-1 stops as planned.
run_records makeCleanRun()
{
    run_records records;
    for (int i = 0; i < requestCount; ++i) {
        records.callers.push_back(makeRecord(i));
        records.journal.push_back(makeEvent(records.callers.back(), "run", i));
        records.journal.push_back(makeEvent(records.callers.back(), "done", i + 5));
    }
    auto last = makeRecord(requestCount);
    records.callers.push_back(last);
    records.journal.push_back(makeEvent(last, "run", stopMs - 1));
    records.journal.push_back(makeEvent(last, "done", stopMs + 100));
    records.faults.push_back({ stopMs, restartMs, "planned-stop", "orders-1" });
    for (std::uint64_t sequence = 1; sequence <= 3; ++sequence)
        records.revisions.push_back({ "orders-1", 1, sequence, 10 + sequence });
    records.revisions.push_back({ "orders-1", 2, 1, 11 });
    return records;
}

void tellNotRun(caller_record& record, error_kind kind)
{
    record.outcome = run_outcome::NotRun;
    record.isWhole = false;
    record.error = getErrorResponse(kind).name;
}

void shed(run_records& records, const std::string& group)
{
    for (auto& record : records.callers) {
        if (record.group == group)
            tellNotRun(record, error_kind::Shed);
    }
    const auto isShedRequest
        = [&group](const journal_event& event) { return event.order.empty() == (group == "catalogue"); };
    auto& journal = records.journal;
    journal.erase(std::remove_if(journal.begin(), journal.end(), isShedRequest), journal.end());
}

struct bug {
    const char* name;
    invariant broken;
    std::function<void(run_records&)> bring;
};

const std::vector<bug>& getBugs()
{
    static const std::vector<bug> bugs {
        { "an order runs again at another instance", invariant::OrderRunsAtMostOnce,
            [](run_records& r) {
                auto again = makeEvent(r.callers[1], "run", 50);
                again.instance = "orders-2";
                again.contextId = "other";
                r.journal.push_back(again);
            } },
        { "told not-run, ran before", invariant::NotRunWasNotRun,
            [](run_records& r) { tellNotRun(r.callers[2], error_kind::Shed); } },
        { "told not-run, ran later", invariant::NotRunWasNotRun,
            [](run_records& r) {
                tellNotRun(r.callers[3], error_kind::TicketExpired);
                r.journal[6].timeMs = r.journal[7].timeMs = 4000;
            } },
        { "an answer that ends early passes as whole", invariant::WholeOwnAnswer,
            [](run_records& r) { r.callers[4].answerFault = "body of 3 bytes, expected 9"; } },
        { "another caller's answer", invariant::WholeOwnAnswer,
            [](run_records& r) { r.callers[5].answerFault = "the body belongs to another request"; } },
        { "a retry at each hop", invariant::RetriesWithinBound,
            [](run_records& r) {
                for (int i = 0; i < 4; ++i) {
                    auto deep = makeEvent(r.callers[0], "run", 50 + i);
                    deep.depth = 3;
                    deep.service = "store";
                    deep.instance = "store-1";
                    r.journal.push_back(deep);
                }
            } },
        { "catalogue is served while orders are shed", invariant::CatalogueShedFirst,
            [](run_records& r) { shed(r, "order"); } },
        { "new work at a leaving target", invariant::NoNewWorkWhileLeaving,
            [](run_records& r) {
                r.journal.push_back(makeEvent(r.callers[0], "run", stopMs + 4000));
                r.journal.back().contextId = "late";
            } },
        { "a planned stop cancels the work in flight", invariant::PlannedStopCutsNothing,
            [](run_records& r) { r.journal.back().event = "cancelled"; } },
        { "a planned stop ends the target before its work", invariant::PlannedStopCutsNothing,
            [](run_records& r) { r.journal.pop_back(); } },
        { "a planned stop loses the answer", invariant::PlannedStopCutsNothing,
            [](run_records& r) {
                r.callers.back().outcome = run_outcome::Unknown;
                r.callers.back().error = "connection-lost";
            } },
        { "a node goes back to an older revision", invariant::ConfigurationNeverReverts,
            [](run_records& r) { r.revisions[2].revision = 11; } },
    };
    return bugs;
}

} // namespace

TEST_GROUP(run_checker) {};

TEST(run_checker, findsNothingInACleanRun)
{
    const auto report = checkRun(makeCleanRun(), {});
    CHECK(report.violations.empty());
    CHECK_EQUAL(requestCount + 1, report.requests);
    CHECK_EQUAL(requestCount / 2, report.orders);
    CHECK_EQUAL(requestCount + 1, report.runs);
    CHECK_EQUAL(1, report.mostAttempts);
    CHECK_EQUAL(1, report.faultsByKind.at("planned-stop"));
}

TEST(run_checker, findsEachBugAndNothingElse)
{
    for (const auto& bug : getBugs()) {
        auto records = makeCleanRun();
        bug.bring(records);
        const auto report = checkRun(records, {});
        for (const auto checked : getInvariants())
            CHECK_TRUE_TEXT((report.count(checked) > 0) == (checked == bug.broken), bug.name);
    }
}

TEST(run_checker, hasABugForEveryInvariant)
{
    for (const auto checked : getInvariants()) {
        const auto breaks = [checked](const bug& bug) { return bug.broken == checked; };
        CHECK_TRUE_TEXT(std::any_of(getBugs().begin(), getBugs().end(), breaks), getInvariantName(checked));
    }
}

TEST(run_checker, allowsWhatTheBriefAllows)
{
    const std::vector<bug> allowed {
        { "catalogue is shed first", {}, [](run_records& r) { shed(r, "catalogue"); } },
        { "as many retries as granted", {},
            [](run_records& r) {
                auto retry = makeEvent(r.callers[0], "run", 50);
                retry.instance = "orders-2";
                r.journal.insert(r.journal.end(), 2, retry);
            } },
        { "new work at once after leaving began", {},
            [](run_records& r) {
                r.journal.push_back(makeEvent(r.callers[0], "run", stopMs + 100));
                r.journal.back().contextId = "late";
            } },
        { "new work after the restart", {},
            [](run_records& r) {
                r.journal.push_back(makeEvent(r.callers[0], "run", restartMs + 1));
                r.journal.back().contextId = "late";
            } },
        { "the caller's deadline ends the work", {},
            [](run_records& r) {
                r.journal.back().event = "cancelled";
                r.callers.back().outcome = run_outcome::Unknown;
                r.callers.back().error = "answer-timeout";
            } },
        { "an unknown outcome of an order that ran", {},
            [](run_records& r) { r.callers[1].outcome = run_outcome::Unknown; } },
    };
    for (const auto& row : allowed) {
        auto records = makeCleanRun();
        row.bring(records);
        CHECK_TRUE_TEXT(checkRun(records, {}).violations.empty(), row.name);
    }
}

TEST(run_checker, readsEachKindOfFileAndCountsWhatItCannotRead)
{
    run_records records;
    std::istringstream journal(
        R"({"time_ms":1.5,"event":"run","order":"o","request":"r","context":"c","depth":2,"instance":"i",)"
        R"("service":"s","path":"/","status":0})"
        "\n{\"event\":\"run\"}\nnot json\n{\"time_ms\":2,\"event\":\"ru");
    readJournal(journal, records);
    CHECK_EQUAL(1U, records.journal.size());
    CHECK_EQUAL(2, records.journal[0].depth);
    CHECK_EQUAL(2, records.unreadableLines);
    std::istringstream callers(
        R"({"id":"r","order":"o","group":"g","arrival_ms":3,"outcome":"not-run","verdict":"late",)"
        R"("sends":[{"error":"lost"},{"error":"shed"}],"fault":""})");
    readCallers(callers, records);
    CHECK(records.callers.at(0).outcome == run_outcome::NotRun);
    CHECK(records.callers[0].isWhole);
    STRCMP_EQUAL("shed", records.callers[0].error.c_str());
    std::istringstream audit(
        R"({"instance":"i","start_number":4,"first_kept":1,"entries":[{"sequence":2,"revision":7}]})");
    readAudit(audit, records);
    CHECK_EQUAL(7U, records.revisions.at(0).revision);
    std::istringstream faults(R"({"start_ms":1,"kind":"kill","instance":"i"})");
    readFaults(faults, records);
    CHECK_EQUAL(0.0, records.faults.at(0).endMs);
    CHECK_EQUAL(2, records.unreadableLines);
}
