#include "policy/run_outcome_policy.h"

#include <tuple>

namespace fuchsiagauge {
namespace {

    bool hasOutcome(error_kind kind, run_outcome outcome)
    {
        return getErrorResponse(kind).outcome == outcome;
    }

    /// Returns the kind for an attempt for which the peer stated none.
    error_kind getLocalKind(const attempt_report& report)
    {
        switch (report.end) {
        case attempt_end::NotSent:
            return hasOutcome(report.kind, run_outcome::NotRun) ? report.kind : error_kind::NoTarget;
        case attempt_end::ConnectFailed:
            return error_kind::TargetUnreachable;
        case attempt_end::AnswerTimeout:
            return error_kind::AnswerTimeout;
        case attempt_end::ConnectionLost:
            return error_kind::ConnectionLost;
        case attempt_end::BrokenAnswer:
        case attempt_end::Answered:
            break;
        }
        return error_kind::BrokenAnswer;
    }

    /// Returns the kind for an attempt. A response whose kind and outcome contradict each other counts as
    /// broken.
    error_kind getAttemptKind(const attempt_report& report)
    {
        if (report.end != attempt_end::Answered)
            return getLocalKind(report);
        return hasOutcome(report.kind, report.outcome) ? report.kind : error_kind::BrokenAnswer;
    }

    /// Returns whether a kind stated by a ticket's owner comes from its registry, which knows every
    /// submission.
    bool isRegistryVerdict(error_kind kind)
    {
        switch (kind) {
        case error_kind::Shed:
        case error_kind::QueueTimeout:
        case error_kind::DeadlineExceeded:
        case error_kind::Cancelled:
        case error_kind::NoTarget:
        case error_kind::TargetUnreachable:
        case error_kind::TargetLeaving:
        case error_kind::ConnectionLost:
        case error_kind::AnswerTimeout:
        case error_kind::BrokenAnswer:
        case error_kind::TicketMismatch:
        case error_kind::TicketInProgress:
        case error_kind::TicketExpired:
        case error_kind::TicketOwnerGone:
        case error_kind::AnswerDropped:
        case error_kind::TicketOutcomeUnknown:
            return true;
        default:
            return false;
        }
    }

    /// Returns the kind to report when the owner's registry did not respond.
    error_kind getKindWithoutRegistry(const attempt_report& report, error_kind attemptKind)
    {
        if (report.end == attempt_end::ConnectFailed)
            return error_kind::TicketOwnerGone;
        return hasOutcome(attemptKind, run_outcome::Unknown) ? attemptKind : error_kind::TicketOutcomeUnknown;
    }

    remote_attempt_decision decideWithTicket(const attempt_report& report, const request_facts& request)
    {
        const auto kind = getAttemptKind(report);
        const auto outcome = getErrorResponse(kind).outcome;
        const bool isAnswered = report.end == attempt_end::Answered;
        if (isAnswered && kind == report.kind && isRegistryVerdict(kind))
            return { outcome, kind, next_attempt::None, false };
        const bool shouldRetry = getErrorResponse(kind).mayRetry && !report.isResponseForwarded;
        const auto next = shouldRetry ? next_attempt::TicketOwner : next_attempt::None;
        const bool wasNeverSent
            = !isAnswered && outcome == run_outcome::NotRun && !request.earlierUnknownKind;
        if (wasNeverSent && request.isFirstSubmission)
            return { outcome, kind, next, false };
        return { run_outcome::Unknown, getKindWithoutRegistry(report, kind), next, true };
    }

    remote_attempt_decision decideWithoutTicket(const attempt_report& report, const request_facts& request)
    {
        const auto attemptKind = getAttemptKind(report);
        const auto kind = getRefusalKind(attemptKind, request);
        const auto outcome = getErrorResponse(kind).outcome;
        const bool isSafeToRetry
            = outcome == run_outcome::NotRun || (request.isIdempotent && !request.isAtMostOnce);
        const bool shouldRetry
            = isSafeToRetry && getErrorResponse(attemptKind).mayRetry && !report.isResponseForwarded;
        return { outcome, kind, shouldRetry ? next_attempt::AnotherInstance : next_attempt::None, false };
    }

} // namespace

bool operator==(const remote_attempt_decision& a, const remote_attempt_decision& b)
{
    return std::tie(a.outcome, a.kind, a.next, a.shouldVoidTicket)
        == std::tie(b.outcome, b.kind, b.next, b.shouldVoidTicket);
}

bool operator==(const local_attempt_decision& a, const local_attempt_decision& b)
{
    return std::tie(a.outcome, a.kind, a.update) == std::tie(b.outcome, b.kind, b.update);
}

remote_attempt_decision decideAfterRemoteAttempt(const attempt_report& report, const request_facts& request)
{
    if (report.end == attempt_end::Answered && report.outcome == run_outcome::Answered)
        return { run_outcome::Answered, report.kind, next_attempt::None, false };
    return request.hasTicket ? decideWithTicket(report, request) : decideWithoutTicket(report, request);
}

bool mayRetryAnswered(const request_facts& request, bool isDownstreamShed)
{
    return request.isIdempotent && !request.isAtMostOnce && !isDownstreamShed;
}

local_attempt_decision decideAfterLocalAttempt(attempt_end end, error_kind kind)
{
    if (end == attempt_end::Answered)
        return { run_outcome::Answered, kind, registry_update::Finish };
    attempt_report report;
    report.end = end;
    report.kind = kind;
    const auto localKind = getLocalKind(report);
    const auto outcome = getErrorResponse(localKind).outcome;
    const bool isNotRun = outcome == run_outcome::NotRun;
    return { outcome, localKind, isNotRun ? registry_update::Refuse : registry_update::MarkUnknown };
}

error_kind getRefusalKind(error_kind kind, const request_facts& request)
{
    if (!hasOutcome(kind, run_outcome::NotRun))
        return kind;
    if (request.earlierUnknownKind)
        return *request.earlierUnknownKind;
    const bool isCertain = !request.hasTicket || request.isFirstSubmission;
    return isCertain ? kind : error_kind::TicketOutcomeUnknown;
}

bool needsTicket(const arriving_request& request, const request_class& requestClass)
{
    if (requestClass.isAtMostOnce || request.hasTicket)
        return true;
    const bool isSafe = request.method == "GET" || request.method == "HEAD" || request.method == "OPTIONS";
    return !request.isConfigured && !isSafe;
}

} // namespace fuchsiagauge
