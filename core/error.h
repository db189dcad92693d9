#pragma once

#include <optional>
#include <string>

namespace fuchsiagauge {

/// Whether a request has run at a target, as far as is known.
enum class run_outcome {
    Answered, ///< The target responded.
    NotRun, ///< No byte of the request was sent to a target.
    Unknown, ///< The request may have run.
};

/// Every kind of error. The table in error.cpp maps each kind to its response.
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

/// The response that is sent for an error kind.
struct error_response {
    error_kind kind;
    const char* name; ///< Stable name for headers, logs and JSON.
    const char* text; ///< Human-readable description, one sentence.
    int status; ///< HTTP status sent to the caller.
    run_outcome outcome;
    bool mayRetry; ///< Whether a retry on another instance can succeed.
};

/// @return the response for an error kind.
const error_response& getErrorResponse(error_kind kind);

/// @return the error kind with this stable name, or nothing if there is none.
std::optional<error_kind> findErrorKind(const std::string& name);

/// @return the stable name of an outcome: `answered`, `not-run` or `unknown`.
const char* getOutcomeName(run_outcome outcome);

/// @return the outcome with this stable name, or nothing if there is none.
std::optional<run_outcome> findOutcome(const std::string& name);

/// A failure with its kind and a detailed description.
struct error {
    error_kind kind = error_kind::Internal;
    std::string detail;

    friend bool operator==(const error& a, const error& b)
    {
        return a.kind == b.kind && a.detail == b.detail;
    }
    friend bool operator!=(const error& a, const error& b) { return !(a == b); }
};

/// Records a failure as the last error of this thread.
/// @param kind the kind of failure.
/// @param detail what is wrong and what was expected.
/// @return an empty optional, for the failing function to return.
std::nullopt_t fail(error_kind kind, std::string detail);

/// @return the error that fail() recorded last on this thread.
const error& getLastError();

/// @return a copy of the last error, which stays unchanged when other coroutines on the thread record errors.
error copyLastError();

} // namespace fuchsiagauge
