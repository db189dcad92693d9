#pragma once

#include "core/clock.h"
#include "core/fleet_keys.h"

#include <cstdint>
#include <optional>
#include <string>

namespace fuchsiagauge {

/// Names of the HTTP header fields that nodes set.
namespace header {
    constexpr char prefix[] = "fuchsiagauge-";
    /// Signed call context; targets forward it with their own calls.
    constexpr char context[] = "fuchsiagauge-context";
    constexpr char service[] = "fuchsiagauge-service"; ///< Service that an outgoing call is addressed to.
    /// Load and state of the responding node, see node_report.
    constexpr char report[] = "fuchsiagauge-report";
    /// Set on a failed response if the cause is a refusal of a downstream call.
    constexpr char downstreamShed[] = "fuchsiagauge-shed-below";
    constexpr char runOutcome[] = "fuchsiagauge-run"; ///< Run outcome: `answered`, `not-run` or `unknown`.
    constexpr char error[] = "fuchsiagauge-error"; ///< Stable name of the error kind.
    constexpr char requestId[] = "fuchsiagauge-request-id"; ///< Returned with every response.
    constexpr char ticket[] = "fuchsiagauge-ticket"; ///< Ticket of an at-most-once request.
} // namespace header

/// Metadata that is propagated with a call through the call chain.
struct call_context {
    std::string requestId; ///< 32 hexadecimal digits, assigned by the edge node.
    std::string attemptId; ///< 16 hexadecimal digits, new for each attempt at each hop.
    std::string className; ///< Class of the request in the active preset.
    milliseconds remaining; ///< Time left until the deadline.
    int retryAllowance = 0; ///< Retries that the receiver may use itself or grant to downstream calls.
    std::uint64_t revision = 0; ///< Configuration revision of the sender.
    int depth = 0; ///< Number of hops from the edge node.

    friend bool operator==(const call_context& a, const call_context& b);
    friend bool operator!=(const call_context& a, const call_context& b) { return !(a == b); }
};

/// Formats a context as a signed header value.
/// @param context the context to format.
/// @param keys the signing keys of the fleet.
/// @return the header value.
std::string formatCallContext(const call_context& context, const fleet_keys& keys);

/// Parses a signed header value and verifies its signature.
/// @param value the header value.
/// @param keys the signing keys of the fleet.
/// @return the context, or nothing with error_kind::BadContext if it is malformed or its signature is not
/// valid.
std::optional<call_context> parseCallContext(const std::string& value, const fleet_keys& keys);

/// Computes the admission rank of a request from the class priority and, within a class, a hash of the
/// request id.
///
/// The hash is the same at every hop, so a request that is admitted upstream is likely to be admitted
/// downstream too.
/// @param priority priority of the class, 0 to 1000.
/// @param requestId the request id.
/// @return the rank; higher is more important.
std::uint32_t getAdmissionRank(int priority, const std::string& requestId);

} // namespace fuchsiagauge
