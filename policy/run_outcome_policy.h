#pragma once

#include "core/error.h"
#include "core/preset.h"

#include <optional>
#include <string>

namespace fuchsiagauge {

/// How an attempt at another node, or the hand-over to the own target, ended.
enum class attempt_end {
    NotSent, ///< Refused before a connection was tried: shed, no instance, deadline, link budget.
    ConnectFailed, ///< The connection was refused or timed out; no byte was sent.
    ConnectionLost, ///< At least one byte was sent and the connection ended without an answer.
    AnswerTimeout, ///< At least one byte was sent and the deadline passed, or the caller left.
    BrokenAnswer, ///< An answer began and ended early, broke the protocol or had no outcome.
    Answered, ///< A whole answer came.
};

/// One attempt, as the node that made it saw it.
struct attempt_report {
    attempt_end end = attempt_end::NotSent;
    error_kind kind = error_kind::Internal; ///< The peer's stated kind, or the reason for NotSent.
    run_outcome outcome = run_outcome::Unknown; ///< The peer's stated outcome; for Answered only.
    bool isAnswerForwarded = false; ///< Whether a byte of an answer was passed on to the caller.
};

/// What the node knows of the request that the attempt belongs to.
struct request_facts {
    bool isAtMostOnce = false; ///< The class runs at most once.
    bool isIdempotent = true; ///< The class may be sent again after an unknown outcome.
    bool hasTicket = false; ///< The request carries a ticket; the attempt went to its owner.
    bool isFirstSubmission = false; ///< The ticket is certain not to have been submitted before.
    std::optional<error_kind> earlierUnknownKind; ///< Kind of an earlier attempt that may have run.
};

/// Where the request may be sent again, if time and retry allowance are left.
enum class next_attempt {
    None,
    AnotherInstance, ///< Any instance of the service.
    TicketOwner, ///< Only the ticket's owner, with the same ticket.
};

/// What a calling node says and does after an attempt.
struct remote_attempt_decision {
    run_outcome outcome = run_outcome::Unknown; ///< To tell the caller if no further attempt is made.
    error_kind kind = error_kind::Internal; ///< Answer to give with it; the peer's own when Answered.
    next_attempt next = next_attempt::None;
    bool shouldVoidTicket = false; ///< Ask the owner to void the ticket before saying `outcome`.

    friend bool operator==(const remote_attempt_decision& a, const remote_attempt_decision& b);
    friend bool operator!=(const remote_attempt_decision& a, const remote_attempt_decision& b)
    {
        return !(a == b);
    }
};

/// Decides what follows an attempt at another node.
///
/// `not-run` is said only if no attempt handed over a byte, or if the ticket's owner said it, whose word
/// is final for the ticket. A ticketed request that the owner was not asked about is unknown, because an
/// earlier submission through another node may have run.
/// @param report the attempt.
/// @param request the request it belongs to.
/// @return outcome, kind and next step; the kind's row in the error table has that outcome.
remote_attempt_decision decideAfterRemoteAttempt(const attempt_report& report, const request_facts& request);

/// Tells whether a request that a target answered with a server failure may be sent to another instance.
///
/// Where the failure came from a refusal further down, the next instance would meet the same refusal.
/// @param request the request.
/// @param isDownstreamShed whether a call that the target made was refused for overload.
bool mayRetryAnswered(const request_facts& request, bool isDownstreamShed);

/// What the owner's ledger must be told after a hand-over.
enum class registry_update {
    Finish,
    Refuse,
    MarkUnknown,
};

/// What the target's own node says and records after it handed, or did not hand, a request over.
struct local_attempt_decision {
    run_outcome outcome = run_outcome::Unknown;
    error_kind kind = error_kind::Internal; ///< Not used when Answered.
    registry_update update = registry_update::MarkUnknown; ///< For requests with a ticket.

    friend bool operator==(const local_attempt_decision& a, const local_attempt_decision& b);
    friend bool operator!=(const local_attempt_decision& a, const local_attempt_decision& b)
    {
        return !(a == b);
    }
};

/// Decides what follows the hand-over of a request to the node's own target.
/// @param end how it ended.
/// @param kind the reason for NotSent.
/// @return outcome, kind and ledger step.
local_attempt_decision decideAfterLocalAttempt(attempt_end end, error_kind kind);

/// What a node answers when it refuses a request without the word of the ticket's ledger.
///
/// @param kind the reason for the refusal.
/// @param request the request.
/// @return `kind` if the request is certain not to have run, else a kind whose outcome is unknown.
error_kind getRefusalKind(error_kind kind, const request_facts& request);

/// What an edge node knows of a caller's request before it serves it.
struct arriving_request {
    std::string method;
    bool hasTicket = false;
    bool isConfigured = true; ///< Whether the node has a published configuration.
};

/// Tells whether a caller's request is served by its ticket, or refused until it has one.
///
/// A ticket binds whatever the class says now, because the request may already have run under it. A node
/// without a configuration cannot tell which requests are orders, and takes each unsafe one for an order.
bool needsTicket(const arriving_request& request, const request_class& requestClass);

} // namespace fuchsiagauge
