#pragma once

#include "core/error.h"
#include "core/preset.h"

#include <optional>
#include <string>

namespace fuchsiagauge {

/// How an attempt ended, whether at another node or at the local target.
enum class attempt_end {
    NotSent, ///< Refused before connecting: shed, no instance, deadline passed or link budget used up.
    ConnectFailed, ///< The connection was refused or timed out; no byte was sent.
    ConnectionLost, ///< At least one byte was sent and the connection ended without a response.
    AnswerTimeout, ///< At least one byte was sent and then the deadline passed or the caller disconnected.
    BrokenAnswer, ///< The response was cut off, violated the protocol or stated no outcome.
    Answered, ///< A complete response arrived.
};

/// One attempt, as observed by the node that made it.
struct attempt_report {
    attempt_end end = attempt_end::NotSent;
    error_kind kind = error_kind::Internal; ///< The kind that the peer stated, or the reason for NotSent.
    run_outcome outcome = run_outcome::Unknown; ///< The outcome that the peer stated; set for Answered only.
    bool isResponseForwarded = false; ///< Whether any byte of the response was forwarded to the caller.
};

/// What the node knows about the request that the attempt belongs to.
struct request_facts {
    bool isAtMostOnce = false; ///< Requests of this class run at most once.
    bool isIdempotent = true; ///< The request may be sent again after an unknown outcome.
    bool hasTicket = false; ///< The request carries a ticket, so the attempt went to the ticket's owner.
    bool isFirstSubmission = false; ///< The ticket has certainly not been submitted before.
    std::optional<error_kind> earlierUnknownKind; ///< Kind of an earlier attempt that may have run.
};

/// Where the request may be sent again if time and retry allowance remain.
enum class next_attempt {
    None,
    AnotherInstance, ///< Any instance of the service.
    TicketOwner, ///< Only the ticket's owner, with the same ticket.
};

/// What a calling node reports and does after an attempt at another node.
struct remote_attempt_decision {
    run_outcome outcome = run_outcome::Unknown; ///< Reported to the caller if no further attempt follows.
    error_kind kind = error_kind::Internal; ///< Error kind reported with it; the peer's own when Answered.
    next_attempt next = next_attempt::None;
    bool shouldVoidTicket = false; ///< Ask the owner to void the ticket before reporting `outcome`.

    friend bool operator==(const remote_attempt_decision& a, const remote_attempt_decision& b);
    friend bool operator!=(const remote_attempt_decision& a, const remote_attempt_decision& b)
    {
        return !(a == b);
    }
};

/// Decides what follows an attempt at another node.
///
/// `not-run` is reported only if no attempt sent a byte, or if the ticket's owner reported it, whose response
/// is final for the ticket. If a request has a ticket and the owner did not respond, its outcome is unknown,
/// because an earlier submission through another node may have run.
/// @param report the attempt.
/// @param request the request it belongs to.
/// @return outcome, kind and next step; getErrorResponse() gives the same outcome for that kind.
remote_attempt_decision decideAfterRemoteAttempt(const attempt_report& report, const request_facts& request);

/// Returns whether a request that a target answered with a server error may be sent to another instance.
///
/// If the error was caused by a refusal of a downstream service, the next instance would be refused too.
/// @param request the request.
/// @param isDownstreamShed whether a call that the target made was refused because of overload.
bool mayRetryAnswered(const request_facts& request, bool isDownstreamShed);

/// Which update of the owner's ticket registry follows an attempt at the local target.
enum class registry_update {
    Finish,
    Refuse,
    MarkUnknown,
};

/// What the node next to a target reports and records after an attempt at that target.
struct local_attempt_decision {
    run_outcome outcome = run_outcome::Unknown;
    error_kind kind = error_kind::Internal; ///< Unused when Answered.
    registry_update update = registry_update::MarkUnknown; ///< For requests with a ticket.

    friend bool operator==(const local_attempt_decision& a, const local_attempt_decision& b);
    friend bool operator!=(const local_attempt_decision& a, const local_attempt_decision& b)
    {
        return !(a == b);
    }
};

/// Decides what follows an attempt at the node's local target.
/// @param end how the attempt ended.
/// @param kind the reason for NotSent.
/// @return outcome, kind and update of the ticket registry.
local_attempt_decision decideAfterLocalAttempt(attempt_end end, error_kind kind);

/// Returns the error kind for a request that a node refuses without consulting the ticket's registry.
///
/// @param kind the reason for the refusal.
/// @param request the request.
/// @return `kind` if the request has certainly not run or `kind` makes no such claim; otherwise a kind whose
/// outcome is unknown.
error_kind getRefusalKind(error_kind kind, const request_facts& request);

/// What an edge node knows about a caller's request before serving it.
struct arriving_request {
    std::string method;
    bool hasTicket = false;
    bool isConfigured = true; ///< Whether the node has a published configuration.
};

/// Returns whether a caller's request must carry a ticket; one without a ticket is then refused.
///
/// A request that has a ticket keeps it even if its class no longer requires one, because it may already have
/// run under that ticket. A node without a configuration cannot tell which requests are orders, so it treats
/// every request with an unsafe HTTP method as an order.
bool needsTicket(const arriving_request& request, const request_class& requestClass);

} // namespace fuchsiagauge
