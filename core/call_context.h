#pragma once

#include "core/clock.h"
#include "core/fleet_keys.h"

#include <cstdint>
#include <optional>
#include <string>

namespace fuchsiagauge {

/// Names of the HTTP headers that the nodes set.
namespace header {
    constexpr char prefix[] = "fuchsiagauge-";
    constexpr char context[] = "fuchsiagauge-context"; ///< Signed call context; targets pass it on.
    constexpr char service[] = "fuchsiagauge-service"; ///< Service that an outgoing call is for.
    constexpr char report[] = "fuchsiagauge-report"; ///< What the answering node says of itself.
    constexpr char shedDownstream[]
        = "fuchsiagauge-shed-below"; ///< Set on an answer that failed by a refusal below.
    constexpr char runOutcome[] = "fuchsiagauge-run"; ///< `answered`, `not-run` or `unknown`.
    constexpr char error[] = "fuchsiagauge-error"; ///< Stable word of the error kind.
    constexpr char requestId[] = "fuchsiagauge-request-id"; ///< Echoed on every answer.
    constexpr char ticket[] = "fuchsiagauge-ticket"; ///< Ticket of a request that runs at most once.
} // namespace header

/// What travels with a call down the chain.
struct call_context {
    std::string requestId; ///< 32 hexadecimal digits, set by the edge node.
    std::string attemptId; ///< 16 hexadecimal digits, new for each attempt at each hop.
    std::string className; ///< Class of the request in the preset in force.
    milliseconds remaining; ///< Time left until the deadline.
    int retryAllowance = 0; ///< Retries that the receiver may spend or hand down.
    std::uint64_t revision = 0; ///< Configuration revision of the sender.
    int depth = 0; ///< Hops from the edge.

    friend bool operator==(const call_context& a, const call_context& b);
    friend bool operator!=(const call_context& a, const call_context& b) { return !(a == b); }
};

/// Writes a context as a signed header value.
/// @param context the context.
/// @param keys the fleet's keys.
/// @return the header value.
std::string formatCallContext(const call_context& context, const fleet_keys& keys);

/// Reads a signed header value.
/// @param value the header value.
/// @param keys the fleet's keys.
/// @return the context, or nothing with error_kind::BadContext when malformed or not signed.
std::optional<call_context> parseCallContext(const std::string& value, const fleet_keys& keys);

/// Rank of a request for admission: class priority first, then a hash of the request id.
///
/// The hash is the same at every depth, so what is admitted above is likely to be admitted below.
/// @param priority the class's priority, 0 to 1000.
/// @param requestId the request id.
/// @return the rank; higher is more important.
std::uint32_t getAdmissionRank(int priority, const std::string& requestId);

} // namespace fuchsiagauge
