#include "policy/run_outcome_policy.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

constexpr auto answered = run_outcome::Answered;
constexpr auto notRun = run_outcome::NotRun;
constexpr auto unknown = run_outcome::Unknown;
constexpr auto none = next_attempt::None;
constexpr auto another = next_attempt::AnotherInstance;
constexpr auto owner = next_attempt::TicketOwner;

request_facts plain() { return {}; }

request_facts afterUnknown()
{
    request_facts facts;
    facts.earlierUnknownKind = error_kind::ConnectionLost;
    return facts;
}

request_facts notIdempotent()
{
    request_facts facts;
    facts.isIdempotent = false;
    return facts;
}

request_facts atMostOnceWithoutTicket()
{
    request_facts facts;
    facts.isAtMostOnce = true;
    return facts;
}

request_facts withTicket()
{
    auto facts = atMostOnceWithoutTicket();
    facts.hasTicket = true;
    return facts;
}

request_facts firstSubmissionWithTicket()
{
    auto facts = withTicket();
    facts.isFirstSubmission = true;
    return facts;
}

request_facts secondAttemptWithTicket()
{
    auto facts = firstSubmissionWithTicket();
    facts.earlierUnknownKind = error_kind::ConnectionLost;
    return facts;
}

attempt_report failedAttempt(attempt_end end, error_kind kind = error_kind::Shed)
{
    return { end, kind, unknown, false };
}

attempt_report peerError(error_kind kind)
{
    return { attempt_end::Answered, kind, getErrorResponse(kind).outcome, false };
}

attempt_report targetAnswered() { return { attempt_end::Answered, error_kind::Internal, answered, false }; }

attempt_report contradictoryResponse()
{
    return { attempt_end::Answered, error_kind::ConnectionLost, notRun, false };
}

attempt_report cutWhileForwarding(attempt_end end) { return { end, error_kind::Shed, unknown, true }; }

struct attempt_row {
    const char* name;
    attempt_report report;
    request_facts request;
    remote_attempt_decision expected;
};

std::vector<attempt_row> getAttemptRows()
{
    using end = attempt_end;
    using kind = error_kind;
    return {
        // Idempotent requests, which may be retried.
        { "plain, shed locally", failedAttempt(end::NotSent), plain(),
            { notRun, kind::Shed, another, false } },
        { "plain, too late to send", failedAttempt(end::NotSent, kind::DeadlineExceeded), plain(),
            { notRun, kind::DeadlineExceeded, none, false } },
        { "plain, refused connection", failedAttempt(end::ConnectFailed), plain(),
            { notRun, kind::TargetUnreachable, another, false } },
        { "plain, lost", failedAttempt(end::ConnectionLost), plain(),
            { unknown, kind::ConnectionLost, another, false } },
        { "plain, timeout", failedAttempt(end::AnswerTimeout), plain(),
            { unknown, kind::AnswerTimeout, none, false } },
        { "plain, broken", failedAttempt(end::BrokenAnswer), plain(),
            { unknown, kind::BrokenAnswer, another, false } },
        { "plain, cut off while forwarding", cutWhileForwarding(end::BrokenAnswer), plain(),
            { unknown, kind::BrokenAnswer, none, false } },
        { "plain, peer shed", peerError(kind::Shed), plain(), { notRun, kind::Shed, another, false } },
        { "plain, peer lost its target", peerError(kind::ConnectionLost), plain(),
            { unknown, kind::ConnectionLost, another, false } },
        { "plain, answered", targetAnswered(), plain(), { answered, kind::Internal, none, false } },
        { "plain, kind and outcome differ", contradictoryResponse(), plain(),
            { unknown, kind::BrokenAnswer, another, false } },
        // A refused second attempt does not prove that the first did not run.
        { "after unknown, shed", peerError(kind::Shed), afterUnknown(),
            { unknown, kind::ConnectionLost, another, false } },
        { "after unknown, too late", failedAttempt(end::NotSent, kind::DeadlineExceeded), afterUnknown(),
            { unknown, kind::ConnectionLost, none, false } },
        { "after unknown, answered", targetAnswered(), afterUnknown(),
            { answered, kind::Internal, none, false } },
        // Requests that must not be retried once a byte was sent.
        { "not idempotent, refused connection", failedAttempt(end::ConnectFailed), notIdempotent(),
            { notRun, kind::TargetUnreachable, another, false } },
        { "not idempotent, lost", failedAttempt(end::ConnectionLost), notIdempotent(),
            { unknown, kind::ConnectionLost, none, false } },
        { "at most once, no ticket, refused connection", failedAttempt(end::ConnectFailed),
            atMostOnceWithoutTicket(), { notRun, kind::TargetUnreachable, another, false } },
        { "at most once, no ticket, peer shed", peerError(kind::Shed), atMostOnceWithoutTicket(),
            { notRun, kind::Shed, another, false } },
        { "at most once, no ticket, lost", failedAttempt(end::ConnectionLost), atMostOnceWithoutTicket(),
            { unknown, kind::ConnectionLost, none, false } },
        { "at most once, no ticket, broken", failedAttempt(end::BrokenAnswer), atMostOnceWithoutTicket(),
            { unknown, kind::BrokenAnswer, none, false } },
        // Orders with a ticket: only the owner's registry may report not-run.
        { "ticket, shed locally", failedAttempt(end::NotSent), withTicket(),
            { unknown, kind::TicketOutcomeUnknown, owner, true } },
        { "ticket, too late to send", failedAttempt(end::NotSent, kind::DeadlineExceeded), withTicket(),
            { unknown, kind::TicketOutcomeUnknown, none, true } },
        { "ticket, refused connection", failedAttempt(end::ConnectFailed), withTicket(),
            { unknown, kind::TicketOwnerGone, owner, true } },
        { "ticket, lost", failedAttempt(end::ConnectionLost), withTicket(),
            { unknown, kind::ConnectionLost, owner, true } },
        { "ticket, timeout", failedAttempt(end::AnswerTimeout), withTicket(),
            { unknown, kind::AnswerTimeout, none, true } },
        { "ticket, broken", failedAttempt(end::BrokenAnswer), withTicket(),
            { unknown, kind::BrokenAnswer, owner, true } },
        { "ticket, cut off while forwarding", cutWhileForwarding(end::BrokenAnswer), withTicket(),
            { unknown, kind::BrokenAnswer, none, true } },
        { "ticket, answered", targetAnswered(), withTicket(), { answered, kind::Internal, none, false } },
        { "ticket, owner shed it", peerError(kind::Shed), withTicket(), { notRun, kind::Shed, none, false } },
        { "ticket, owner lost its target", peerError(kind::ConnectionLost), withTicket(),
            { unknown, kind::ConnectionLost, none, false } },
        { "ticket, in progress", peerError(kind::TicketInProgress), withTicket(),
            { unknown, kind::TicketInProgress, none, false } },
        { "ticket, expired", peerError(kind::TicketExpired), withTicket(),
            { notRun, kind::TicketExpired, none, false } },
        { "ticket, mismatch", peerError(kind::TicketMismatch), withTicket(),
            { notRun, kind::TicketMismatch, none, false } },
        { "ticket, owner restarted", peerError(kind::TicketOwnerGone), withTicket(),
            { unknown, kind::TicketOwnerGone, none, false } },
        { "ticket, answer dropped", peerError(kind::AnswerDropped), withTicket(),
            { answered, kind::AnswerDropped, none, false } },
        { "ticket, refused before reaching the registry", peerError(kind::BadContext), withTicket(),
            { unknown, kind::TicketOutcomeUnknown, none, true } },
        { "ticket, kind and outcome differ", contradictoryResponse(), withTicket(),
            { unknown, kind::BrokenAnswer, owner, true } },
        { "ticket, peer failed", peerError(kind::Internal), withTicket(),
            { unknown, kind::Internal, none, true } },
        // A first submission that was never sent has certainly not run.
        { "first, refused connection", failedAttempt(end::ConnectFailed), firstSubmissionWithTicket(),
            { notRun, kind::TargetUnreachable, owner, false } },
        { "first, shed locally", failedAttempt(end::NotSent), firstSubmissionWithTicket(),
            { notRun, kind::Shed, owner, false } },
        { "first, refused before reaching the registry", peerError(kind::BadContext),
            firstSubmissionWithTicket(), { unknown, kind::TicketOutcomeUnknown, none, true } },
        { "first, lost", failedAttempt(end::ConnectionLost), firstSubmissionWithTicket(),
            { unknown, kind::ConnectionLost, owner, true } },
        { "first, lost, then refused connection", failedAttempt(end::ConnectFailed),
            secondAttemptWithTicket(), { unknown, kind::TicketOwnerGone, owner, true } },
        { "first, lost, then the owner shed it", peerError(kind::Shed), secondAttemptWithTicket(),
            { notRun, kind::Shed, none, false } },
    };
}

std::vector<attempt_report> getEveryReport()
{
    std::vector<attempt_report> reports;
    for (int end = 0; end <= static_cast<int>(attempt_end::Answered); ++end) {
        for (int kind = 0; kind <= static_cast<int>(error_kind::Internal); ++kind) {
            for (const auto outcome : { answered, notRun, unknown }) {
                for (const bool isForwarded : { false, true }) {
                    reports.push_back({ static_cast<attempt_end>(end), static_cast<error_kind>(kind), outcome,
                        isForwarded });
                }
            }
        }
    }
    return reports;
}

std::vector<request_facts> getEveryRequest()
{
    return { plain(), afterUnknown(), notIdempotent(), atMostOnceWithoutTicket(), withTicket(),
        firstSubmissionWithTicket(), secondAttemptWithTicket() };
}

bool mayHaveReachedTarget(const attempt_report& report)
{
    if (report.end == attempt_end::Answered)
        return report.outcome != notRun;
    return report.end != attempt_end::NotSent && report.end != attempt_end::ConnectFailed;
}

} // namespace

TEST_GROUP(run_outcome_policy) {};

TEST(run_outcome_policy, decidesEachRemoteAttempt)
{
    for (const auto& row : getAttemptRows())
        CHECK_TRUE_TEXT(decideAfterRemoteAttempt(row.report, row.request) == row.expected, row.name);
}

TEST(run_outcome_policy, returnsKindsThatMatchTheOutcome)
{
    for (const auto& report : getEveryReport()) {
        for (const auto& request : getEveryRequest()) {
            const auto decision = decideAfterRemoteAttempt(report, request);
            if (decision.outcome != answered)
                CHECK(getErrorResponse(decision.kind).outcome == decision.outcome);
        }
    }
}

TEST(run_outcome_policy, neverSendsAnOrderElsewhereOnceAByteMayHaveReachedATarget)
{
    for (const auto& report : getEveryReport()) {
        if (!mayHaveReachedTarget(report))
            continue;
        for (const auto& request :
            { notIdempotent(), atMostOnceWithoutTicket(), withTicket(), firstSubmissionWithTicket() }) {
            const auto decision = decideAfterRemoteAttempt(report, request);
            CHECK(decision.next != another);
            CHECK(decision.outcome != notRun);
        }
    }
}

TEST(run_outcome_policy, decidesEachLocalAttempt)
{
    using end = attempt_end;
    using kind = error_kind;
    struct {
        const char* name;
        attempt_end end;
        error_kind kind;
        local_attempt_decision expected;
    } const rows[] = {
        { "shed", end::NotSent, kind::Shed, { notRun, kind::Shed, registry_update::Refuse } },
        { "leaving", end::NotSent, kind::TargetLeaving,
            { notRun, kind::TargetLeaving, registry_update::Refuse } },
        { "refused", end::ConnectFailed, kind::Internal,
            { notRun, kind::TargetUnreachable, registry_update::Refuse } },
        { "lost", end::ConnectionLost, kind::Internal,
            { unknown, kind::ConnectionLost, registry_update::MarkUnknown } },
        { "timeout", end::AnswerTimeout, kind::Internal,
            { unknown, kind::AnswerTimeout, registry_update::MarkUnknown } },
        { "broken", end::BrokenAnswer, kind::Internal,
            { unknown, kind::BrokenAnswer, registry_update::MarkUnknown } },
        { "answered", end::Answered, kind::Internal, { answered, kind::Internal, registry_update::Finish } },
    };
    for (const auto& row : rows)
        CHECK_TRUE_TEXT(decideAfterLocalAttempt(row.end, row.kind) == row.expected, row.name);
}

TEST(run_outcome_policy, reportsNotRunWithoutTheRegistryOnlyWhenCertain)
{
    CHECK(getRefusalKind(error_kind::Shed, plain()) == error_kind::Shed);
    CHECK(getRefusalKind(error_kind::Shed, firstSubmissionWithTicket()) == error_kind::Shed);
    CHECK(getRefusalKind(error_kind::Shed, withTicket()) == error_kind::TicketOutcomeUnknown);
    CHECK(getRefusalKind(error_kind::Shed, afterUnknown()) == error_kind::ConnectionLost);
    CHECK(getRefusalKind(error_kind::AnswerTimeout, plain()) == error_kind::AnswerTimeout);
}

TEST(run_outcome_policy, requiresATicketWhereverARequestMayBeAnOrder)
{
    request_class order;
    order.isAtMostOnce = true;
    const request_class other;
    struct {
        arriving_request request;
        const request_class& requestClass;
        bool expected;
    } const rows[] = {
        { { "POST", false, true }, order, true },
        { { "POST", false, true }, other, false },
        { { "POST", true, true }, other, true },
        { { "POST", false, false }, other, true },
        { { "GET", false, false }, other, false },
        { { "GET", true, false }, other, true },
    };
    for (const auto& row : rows)
        CHECK(needsTicket(row.request, row.requestClass) == row.expected);
}

TEST(run_outcome_policy, aResponseThatFailedByADownstreamRefusalIsNotRetried)
{
    request_facts idempotent;
    idempotent.isIdempotent = true;
    request_facts order = idempotent;
    order.isAtMostOnce = true;
    CHECK(mayRetryAnswered(idempotent, false));
    CHECK(!mayRetryAnswered(idempotent, true));
    CHECK(!mayRetryAnswered(notIdempotent(), false));
    CHECK(!mayRetryAnswered(order, false));
}
