#include "tests/policy/order_run_model.h"

#include <optional>
#include <random>
#include <rapidcheck.h>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

constexpr int historyCount = 2000;
constexpr int stepsPerHistory = 120;

struct run_totals {
    int ranTwice = 0;
    int ranAfterNotRun = 0;
    int answered = 0;
};

run_totals runHistories(deduplication_mode mode)
{
    std::mt19937 random(1);
    run_totals totals;
    for (int history = 0; history < historyCount; ++history) {
        order_run_model model(mode);
        for (int i = 0; i < stepsPerHistory; ++i) {
            const auto event = static_cast<model_event>(random() % modelEventCount);
            const auto subject = static_cast<unsigned>(random());
            model.apply({ event, subject, static_cast<unsigned>(random()) });
        }
        model.runToCompletion();
        totals.ranTwice += model.getOrdersRunTwice();
        totals.ranAfterNotRun += model.getRunsAfterNotRun();
        totals.answered += model.getAnsweredCount();
    }
    return totals;
}

/// A fault or a pair of faults that affects order 0, and the expected result.
struct fault_case {
    const char* name;
    std::vector<model_step> steps;
    std::optional<run_outcome> reportedOutcome;
    int runs;
};

model_step deliver(unsigned message, target_behaviour how)
{
    return { model_event::Deliver, message, static_cast<unsigned>(how) };
}

const std::vector<fault_case>& getFaultCases()
{
    // The ticket's owner is instance 1, whose first process is process 1. Replacement processes are numbered
    // from 3.
    constexpr unsigned atOwner = 1;
    constexpr unsigned ownerUnsent = 3 * 100; // The owner is instance 0; the order is not sent.
    constexpr unsigned toVoid = 2;
    constexpr unsigned lostResponse = 1;
    using e = model_event;
    using h = target_behaviour;
    static const std::vector<fault_case> cases {
        { "no fault", { { e::Submit, 0, atOwner }, deliver(0, h::Answered), { e::ReceiveResponse } },
            run_outcome::Answered, 1 },
        { "answer lost, repeated through another node",
            { { e::Submit, 0, atOwner }, deliver(0, h::Answered), { e::EndAttempt, 0 },
                { e::Submit, 0, atOwner }, deliver(1, h::Answered), { e::ReceiveResponse, 1 } },
            run_outcome::Answered, 1 },
        { "repeated while it runs",
            { { e::Submit, 0, atOwner }, deliver(0, h::Running), { e::Submit, 0, atOwner },
                deliver(1, h::Answered), { e::FinishRun }, { e::Submit, 0, atOwner }, deliver(2, h::Answered),
                { e::ReceiveResponse, 2 } },
            run_outcome::Answered, 1 },
        { "answer of the target lost, repeated",
            { { e::Submit, 0, atOwner }, deliver(0, h::AnswerLost), { e::EndAttempt, 0 },
                { e::Submit, 0, atOwner }, deliver(1, h::Answered), { e::ReceiveResponse, 1 } },
            run_outcome::Unknown, 1 },
        { "owner restarted while it ran, repeated",
            { { e::Submit, 0, atOwner }, deliver(0, h::Running), { e::EndAttempt, 0 },
                { e::ReplaceProcess, 1, 1 }, { e::Submit, 0, atOwner }, deliver(1, h::Answered),
                { e::ReceiveResponse } },
            run_outcome::Unknown, 1 },
        { "owner restarted with the same start number, repeated",
            { { e::Submit, 0, atOwner }, deliver(0, h::Running), { e::EndAttempt, 0 },
                { e::ReplaceProcess, 1, 0 }, { e::Submit, 0, atOwner }, deliver(1, h::Answered),
                { e::ReceiveResponse } },
            run_outcome::Unknown, 1 },
        { "owner frozen, resumed after the edge node ended the attempt",
            { { e::Submit, 0, atOwner }, { e::ToggleFrozen, 1 }, deliver(0, h::Answered),
                { e::EndAttempt, 0 }, { e::ToggleFrozen, 1 }, deliver(0, h::Answered) },
            run_outcome::Unknown, 1 },
        { "owner frozen, replaced, both get the order",
            { { e::Submit, 0, atOwner }, { e::ToggleFrozen, 1 }, { e::ReplaceProcess, 1, 1 },
                { e::Submit, 0, atOwner }, deliver(1, h::Answered), { e::ToggleFrozen, 1 },
                deliver(0, h::Answered) },
            std::nullopt, 1 },
        { "shed at the owner, a delayed duplicate arrives",
            { { e::Submit, 0, atOwner }, deliver(0, h::Shed), { e::ReceiveResponse },
                deliver(0, h::Answered) },
            run_outcome::NotRun, 0 },
        { "shed at the owner, submitted with a new ticket, a delayed duplicate arrives",
            { { e::Submit, 0, atOwner }, deliver(0, h::Shed), { e::ReceiveResponse },
                { e::Submit, 0, atOwner }, deliver(1, h::Answered), deliver(0, h::Answered),
                { e::ReceiveResponse, 1 } },
            run_outcome::Answered, 1 },
        { "ticket voided, then the delayed submission arrives",
            { { e::Submit, 0, atOwner }, { e::Send, 0, toVoid }, deliver(1, h::Answered),
                { e::ReceiveResponse }, deliver(0, h::Answered) },
            run_outcome::NotRun, 0 },
        { "voided while it runs",
            { { e::Submit, 0, atOwner }, deliver(0, h::Running), { e::Send, 0, toVoid },
                deliver(1, h::Answered), { e::ReceiveResponse } },
            run_outcome::Unknown, 1 },
        { "never sent, first submission", { { e::Submit, 0, ownerUnsent }, { e::EndAttempt, 0 } },
            run_outcome::NotRun, 0 },
        { "ran, then repeated through a node that cannot reach the owner",
            { { e::Submit, 0, atOwner }, deliver(0, h::AnswerLost), { e::Submit, 0, ownerUnsent },
                { e::EndAttempt, 1, 1 } },
            run_outcome::Unknown, 1 },
        { "arrives after the ticket expired",
            { { e::Submit, 0, atOwner }, { e::Wait, 0, 199 }, deliver(0, h::Answered),
                { e::ReceiveResponse } },
            run_outcome::NotRun, 0 },
        { "owner frozen while it ran and its answer lost, repeated",
            { { e::Submit, 0, atOwner }, deliver(0, h::Running), { e::ToggleFrozen, 1 },
                { e::FinishRun, 0, lostResponse }, { e::ToggleFrozen, 1 }, { e::Submit, 0, atOwner },
                deliver(1, h::Answered), { e::ReceiveResponse, 1 } },
            run_outcome::Unknown, 1 },
    };
    return cases;
}

} // namespace

namespace rc {

template <> struct Arbitrary<model_step> {
    static Gen<model_step> arbitrary()
    {
        return gen::build<model_step>(
            gen::set(&model_step::event,
                gen::map(gen::inRange(0U, modelEventCount),
                    [](unsigned event) { return static_cast<model_event>(event); })),
            gen::set(&model_step::subject, gen::inRange(0U, 64U)),
            gen::set(&model_step::choice, gen::inRange(0U, 240U)));
    }
};

} // namespace rc

TEST_GROUP(order_run) {};

TEST(order_run, endsEachFaultCaseAsExpected)
{
    for (const auto& row : getFaultCases()) {
        order_run_model model(deduplication_mode::Tickets);
        for (const auto& step : row.steps)
            model.apply(step);
        CHECK_TRUE_TEXT(model.getReportedOutcome(0) == row.reportedOutcome, row.name);
        LONGS_EQUAL_TEXT(row.runs, model.getRunCount(0), row.name);
        model.runToCompletion();
        CHECK_TRUE_TEXT(model.getRunCount(0) <= 1, row.name);
        LONGS_EQUAL_TEXT(0, model.getRunsAfterNotRun(), row.name);
    }
}

TEST(order_run, naiveNodesRunOrdersTwice)
{
    const auto totals = runHistories(deduplication_mode::CallerKeys);
    CHECK(totals.ranTwice > 0);
    CHECK(totals.ranAfterNotRun > 0);
}

TEST(order_run, assumingNotRunLetsOrdersRunTwice)
{
    const auto totals = runHistories(deduplication_mode::TicketsWithAssumedNotRun);
    CHECK(totals.ranTwice > 0);
    CHECK(totals.ranAfterNotRun > 0);
}

TEST(order_run, ticketsRunOrdersAtMostOnce)
{
    const auto totals = runHistories(deduplication_mode::Tickets);
    CHECK_EQUAL(0, totals.ranTwice);
    CHECK_EQUAL(0, totals.ranAfterNotRun);
    CHECK(totals.answered > 0);
}

TEST(order_run, ticketsRunOrdersAtMostOnceInEveryHistory)
{
    CHECK(rc::check(
        "an order runs at most once, and never after not-run", [](const std::vector<model_step>& steps) {
            order_run_model model(deduplication_mode::Tickets);
            for (const auto& step : steps) {
                model.apply(step);
                RC_ASSERT(model.getOrdersRunTwice() == 0);
                RC_ASSERT(model.getRunsAfterNotRun() == 0);
            }
            model.runToCompletion();
            RC_ASSERT(model.getOrdersRunTwice() == 0);
            RC_ASSERT(model.getRunsAfterNotRun() == 0);
        }));
}
