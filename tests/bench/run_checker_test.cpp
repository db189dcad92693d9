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
    record.isResponseValid = true;
    return record;
}

journal_event makeEvent(const caller_record& record, const char* event, double timeMs)
{
    return { timeMs, event, record.order, record.request, "c" + record.request, 0, "orders-1", "orders" };
}

/// Creates the records of a run in which all invariants hold. One request is in flight when the planned stop
/// of orders-1 begins.
run_records makeCleanRun()
{
    run_records records;
    for (int i = 0; i < requestCount; ++i) {
        records.callerRecords.push_back(makeRecord(i));
        records.journal.push_back(makeEvent(records.callerRecords.back(), "run", i));
        records.journal.push_back(makeEvent(records.callerRecords.back(), "done", i + 5));
    }
    auto last = makeRecord(requestCount);
    records.callerRecords.push_back(last);
    records.journal.push_back(makeEvent(last, "run", stopMs - 1));
    records.journal.push_back(makeEvent(last, "done", stopMs + 100));
    records.faults.push_back({ stopMs, restartMs, "planned-stop", "orders-1" });
    for (std::uint64_t sequence = 1; sequence <= 3; ++sequence)
        records.revisions.push_back({ "orders-1", 1, sequence, 10 + sequence });
    records.revisions.push_back({ "orders-1", 2, 1, 11 });
    return records;
}

void markNotRun(caller_record& record, error_kind kind)
{
    record.outcome = run_outcome::NotRun;
    record.isResponseValid = false;
    record.error = getErrorResponse(kind).name;
}

void shedGroup(run_records& records, const std::string& group)
{
    for (auto& record : records.callerRecords) {
        if (record.group == group)
            markNotRun(record, error_kind::Shed);
    }
    const auto isShedRequest
        = [&group](const journal_event& event) { return event.order.empty() == (group == "catalogue"); };
    auto& journal = records.journal;
    journal.erase(std::remove_if(journal.begin(), journal.end(), isShedRequest), journal.end());
}

struct mutation {
    const char* name;
    invariant violated;
    std::function<void(run_records&)> apply;
};

const std::vector<mutation>& getMutations()
{
    static const std::vector<mutation> mutations {
        { "an order runs again at another instance", invariant::OrderRunsAtMostOnce,
            [](run_records& records) {
                auto again = makeEvent(records.callerRecords[1], "run", 50);
                again.instance = "orders-2";
                again.contextId = "other";
                records.journal.push_back(again);
            } },
        { "a request that has run is reported as not run", invariant::NotRunWasNotRun,
            [](run_records& records) { markNotRun(records.callerRecords[2], error_kind::Shed); } },
        { "a request reported as not run runs later", invariant::NotRunWasNotRun,
            [](run_records& records) {
                markNotRun(records.callerRecords[3], error_kind::TicketExpired);
                records.journal[6].timeMs = records.journal[7].timeMs = 4000;
            } },
        { "a truncated response is accepted as complete", invariant::WholeOwnAnswer,
            [](run_records& records) {
                records.callerRecords[4].responseMismatch = "body of 3 bytes, expected 9";
            } },
        { "a caller gets the response of another caller", invariant::WholeOwnAnswer,
            [](run_records& records) {
                records.callerRecords[5].responseMismatch = "the body belongs to another request";
            } },
        { "retries at each hop multiply", invariant::RetriesWithinBound,
            [](run_records& records) {
                for (int i = 0; i < 4; ++i) {
                    auto storeEvent = makeEvent(records.callerRecords[0], "run", 50 + i);
                    storeEvent.depth = 3;
                    storeEvent.service = "store";
                    storeEvent.instance = "store-1";
                    records.journal.push_back(storeEvent);
                }
            } },
        { "catalogue requests are served while orders are shed", invariant::CatalogueShedFirst,
            [](run_records& records) { shedGroup(records, "order"); } },
        { "a leaving target gets new work after the grace period", invariant::NoNewWorkWhileLeaving,
            [](run_records& records) {
                records.journal.push_back(makeEvent(records.callerRecords[0], "run", stopMs + 4000));
                records.journal.back().contextId = "late";
            } },
        { "a planned stop cancels a request in flight", invariant::PlannedStopCutsNothing,
            [](run_records& records) { records.journal.back().event = "cancelled"; } },
        { "a planned stop ends the target before a request in flight is done",
            invariant::PlannedStopCutsNothing, [](run_records& records) { records.journal.pop_back(); } },
        { "a planned stop loses the response", invariant::PlannedStopCutsNothing,
            [](run_records& records) {
                records.callerRecords.back().outcome = run_outcome::Unknown;
                records.callerRecords.back().error = "connection-lost";
            } },
        { "a node reverts to an older revision", invariant::ConfigurationNeverReverts,
            [](run_records& records) { records.revisions[2].revision = 11; } },
    };
    return mutations;
}

} // namespace

TEST_GROUP(run_checker) {};

TEST(run_checker, reportsNoViolationInACleanRun)
{
    const auto report = checkRun(makeCleanRun(), {});
    CHECK(report.violations.empty());
    CHECK_EQUAL(requestCount + 1, report.requests);
    CHECK_EQUAL(requestCount / 2, report.orders);
    CHECK_EQUAL(requestCount + 1, report.executions);
    CHECK_EQUAL(1, report.largestAttemptCount);
    CHECK_EQUAL(1, report.faultsByKind.at("planned-stop"));
}

TEST(run_checker, detectsEachMutationAndNothingElse)
{
    for (const auto& mutation : getMutations()) {
        auto records = makeCleanRun();
        mutation.apply(records);
        const auto report = checkRun(records, {});
        for (const auto kind : getInvariants())
            CHECK_TRUE_TEXT((report.count(kind) > 0) == (kind == mutation.violated), mutation.name);
    }
}

TEST(run_checker, hasAMutationForEveryInvariant)
{
    for (const auto kind : getInvariants()) {
        const auto breaks = [kind](const mutation& mutation) { return mutation.violated == kind; };
        CHECK_TRUE_TEXT(
            std::any_of(getMutations().begin(), getMutations().end(), breaks), getInvariantName(kind));
    }
}

TEST(run_checker, acceptsPermittedBehaviour)
{
    const std::vector<mutation> permittedCases {
        { "catalogue requests are shed first", {},
            [](run_records& records) { shedGroup(records, "catalogue"); } },
        { "as many retries as allowed", {},
            [](run_records& records) {
                auto retry = makeEvent(records.callerRecords[0], "run", 50);
                retry.instance = "orders-2";
                records.journal.insert(records.journal.end(), 2, retry);
            } },
        { "new work within the grace period of a leaving target", {},
            [](run_records& records) {
                records.journal.push_back(makeEvent(records.callerRecords[0], "run", stopMs + 100));
                records.journal.back().contextId = "late";
            } },
        { "new work after the restart", {},
            [](run_records& records) {
                records.journal.push_back(makeEvent(records.callerRecords[0], "run", restartMs + 1));
                records.journal.back().contextId = "late";
            } },
        { "the caller's deadline cancels a request in flight", {},
            [](run_records& records) {
                records.journal.back().event = "cancelled";
                records.callerRecords.back().outcome = run_outcome::Unknown;
                records.callerRecords.back().error = "answer-timeout";
            } },
        { "an order that ran has an unknown outcome", {},
            [](run_records& records) { records.callerRecords[1].outcome = run_outcome::Unknown; } },
    };
    for (const auto& row : permittedCases) {
        auto records = makeCleanRun();
        row.apply(records);
        CHECK_TRUE_TEXT(checkRun(records, {}).violations.empty(), row.name);
    }
}

TEST(run_checker, readsEachKindOfFileAndCountsUnreadableLines)
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
    std::istringstream callerRecords(
        R"({"id":"r","order":"o","group":"g","arrival_ms":3,"outcome":"not-run","verdict":"late",)"
        R"("sends":[{"error":"lost"},{"error":"shed"}],"fault":""})");
    readCallerRecords(callerRecords, records);
    CHECK(records.callerRecords.at(0).outcome == run_outcome::NotRun);
    CHECK(records.callerRecords[0].isResponseValid);
    STRCMP_EQUAL("shed", records.callerRecords[0].error.c_str());
    std::istringstream audit(
        R"({"instance":"i","start_number":4,"first_kept":1,"entries":[{"sequence":2,"revision":7}]})");
    readAudit(audit, records);
    CHECK_EQUAL(7U, records.revisions.at(0).revision);
    std::istringstream faults(R"({"start_ms":1,"kind":"kill","instance":"i"})");
    readFaults(faults, records);
    CHECK_EQUAL(0.0, records.faults.at(0).endMs);
    CHECK_EQUAL(2, records.unreadableLines);
}
