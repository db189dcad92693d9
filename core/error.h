#pragma once

#include <optional>
#include <string>

namespace fuchsiagauge {

/// What is known of a request that ended without the target's answer.
enum class run_outcome {
    Answered, ///< The target answered.
    NotRun, ///< No byte of the request was handed to a target.
    Unknown, ///< The request may have run.
};

/// The closed list of error kinds; the table in error.cpp gives each one its answer.
enum class error_kind {
    BadRequest,
    HeaderTooLarge,
    BodyTooLarge,
    MethodNotAllowed,
    UnknownService,
    BadContext,
    Shed,
    QueueTimeout,
    DeadlineExceeded,
    Cancelled,
    NoTarget,
    TargetUnreachable,
    TargetLeaving,
    LinkBudgetExhausted,
    ConnectionLost,
    AnswerTimeout,
    BrokenAnswer,
    TicketRequired,
    BadTicket,
    TicketMismatch,
    TicketInProgress,
    TicketExpired,
    TicketOwnerGone,
    AnswerDropped,
    TicketOutcomeUnknown,
    BadSettings,
    BadDocument,
    StaleDocument,
    PlatformUnavailable,
    BadPeerMessage,
    Internal,
};

/// The answer that belongs to an error kind.
struct error_response {
    error_kind kind;
    const char* name; ///< Stable word for headers, logs and JSON.
    const char* text; ///< One sentence for people.
    int status; ///< HTTP status sent to the caller.
    run_outcome outcome;
    bool mayRetry; ///< Whether another attempt, at another instance, can help.
};

/// @return the table's row for a kind.
const error_response& getErrorResponse(error_kind kind);

/// @return the kind whose stable word is `name`, if there is one.
std::optional<error_kind> findErrorKind(const std::string& name);

/// @return the stable word of an outcome: `answered`, `not-run` or `unknown`.
const char* getOutcomeName(run_outcome outcome);

/// @return the outcome for a stable word, if it is one.
std::optional<run_outcome> findOutcome(const std::string& name);

/// A failure: its kind and what exactly was wrong.
struct error {
    error_kind kind = error_kind::Internal;
    std::string detail;

    friend bool operator==(const error& a, const error& b)
    {
        return a.kind == b.kind && a.detail == b.detail;
    }
    friend bool operator!=(const error& a, const error& b) { return !(a == b); }
};

/// Records the reason for the failure and gives the empty optional to return.
/// @param kind the kind of failure.
/// @param detail what was wrong and what was expected.
/// @return an empty optional.
std::nullopt_t fail(error_kind kind, std::string detail);

/// @return the reason recorded last by fail() on this thread.
const error& getLastError();

/// @return a copy of the reason, to keep while other coroutines may record theirs.
error copyLastError();

} // namespace fuchsiagauge
