#include "core/error.h"

#include <array>
#include <utility>

namespace fuchsiagauge {
namespace {

    constexpr auto notRun = run_outcome::NotRun;
    constexpr auto unknown = run_outcome::Unknown;
    constexpr auto answered = run_outcome::Answered;

    constexpr std::array errorTable {
        error_response {
            error_kind::BadRequest, "bad-request", "The request could not be parsed.", 400, notRun, false },
        error_response { error_kind::HeaderTooLarge, "header-too-large",
            "The request's header section is too large.", 431, notRun, false },
        error_response { error_kind::BodyTooLarge, "body-too-large", "The request's body is too large.", 413,
            notRun, false },
        error_response { error_kind::MethodNotAllowed, "method-not-allowed",
            "The method is not allowed here.", 405, notRun, false },
        error_response { error_kind::UnknownService, "unknown-service",
            "No service of this name is configured.", 404, notRun, false },
        error_response { error_kind::BadContext, "bad-context",
            "The call context is missing, malformed or not signed by the fleet.", 400, notRun, false },
        error_response {
            error_kind::Shed, "shed", "The request was refused because of overload.", 503, notRun, true },
        error_response { error_kind::QueueTimeout, "queue-timeout", "The request waited too long to start.",
            503, notRun, true },
        error_response { error_kind::DeadlineExceeded, "deadline-exceeded",
            "The deadline passed before the request started.", 504, notRun, false },
        error_response { error_kind::Cancelled, "cancelled",
            "The caller gave the request up before it started.", 499, notRun, false },
        error_response { error_kind::NoTarget, "no-target",
            "No instance of the service can take the request.", 503, notRun, true },
        error_response { error_kind::TargetUnreachable, "target-unreachable",
            "The instance refused the connection.", 503, notRun, true },
        error_response { error_kind::TargetLeaving, "target-leaving",
            "The instance is leaving and takes no new work.", 503, notRun, true },
        error_response { error_kind::LinkBudgetExhausted, "link-budget-exhausted",
            "The byte budget of the link between regions is spent.", 503, notRun, false },
        error_response { error_kind::ConnectionLost, "connection-lost",
            "The connection ended before the answer.", 502, unknown, true },
        error_response { error_kind::AnswerTimeout, "answer-timeout",
            "The deadline passed before the answer.", 504, unknown, false },
        error_response { error_kind::BrokenAnswer, "broken-answer",
            "The answer ended early or broke the protocol.", 502, unknown, true },
        error_response { error_kind::TicketRequired, "ticket-required",
            "The request runs at most once: repeat it with the ticket given.", 428, notRun, false },
        error_response { error_kind::BadTicket, "bad-ticket",
            "The ticket is malformed or was not issued by this fleet.", 400, notRun, false },
        error_response { error_kind::TicketMismatch, "ticket-mismatch",
            "The ticket was used with another request.", 422, notRun, false },
        error_response { error_kind::TicketInProgress, "ticket-in-progress", "The request is running.", 409,
            unknown, false },
        error_response { error_kind::TicketExpired, "ticket-expired",
            "The ticket expired unused; take a new one.", 410, notRun, false },
        error_response { error_kind::TicketOwnerGone, "ticket-owner-gone",
            "The instance that knew what became of the request is gone.", 502, unknown, false },
        error_response { error_kind::AnswerDropped, "answer-dropped",
            "The request ran; its answer is no longer kept.", 410, answered, false },
        error_response { error_kind::TicketOutcomeUnknown, "ticket-outcome-unknown",
            "The request may have run; ask again with the same ticket.", 502, unknown, false },
        error_response {
            error_kind::BadSettings, "bad-settings", "The settings are not valid.", 500, notRun, false },
        error_response { error_kind::BadDocument, "bad-document", "The preset document is not valid.", 500,
            notRun, false },
        error_response { error_kind::StaleDocument, "stale-document",
            "The preset document is older than the one in force.", 500, notRun, false },
        error_response { error_kind::PlatformUnavailable, "platform-unavailable",
            "The platform's service did not answer.", 503, notRun, false },
        error_response { error_kind::BadPeerMessage, "bad-peer-message",
            "A peer's message could not be parsed.", 400, notRun, false },
        error_response { error_kind::Internal, "internal", "The node failed.", 500, unknown, false },
    };

    thread_local error lastError;

} // namespace

const error_response& getErrorResponse(error_kind kind)
{
    return errorTable.at(static_cast<std::size_t>(kind));
}

std::optional<error_kind> findErrorKind(const std::string& name)
{
    for (const auto& row : errorTable) {
        if (name == row.name)
            return row.kind;
    }
    return std::nullopt;
}

const char* getOutcomeName(run_outcome outcome)
{
    switch (outcome) {
    case run_outcome::Answered:
        return "answered";
    case run_outcome::NotRun:
        return "not-run";
    case run_outcome::Unknown:
        break;
    }
    return "unknown";
}

std::optional<run_outcome> findOutcome(const std::string& name)
{
    for (const auto outcome : { run_outcome::Answered, run_outcome::NotRun, run_outcome::Unknown }) {
        if (name == getOutcomeName(outcome))
            return outcome;
    }
    return std::nullopt;
}

std::nullopt_t fail(error_kind kind, std::string detail)
{
    lastError = error { kind, std::move(detail) };
    return std::nullopt;
}

const error& getLastError() { return lastError; }

error copyLastError() { return lastError; }

} // namespace fuchsiagauge
