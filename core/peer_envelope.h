#pragma once

#include "core/clock.h"
#include "core/fill_hint.h"

#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace fuchsiagauge {

/// Number of ranks; a request has a rank from 0 to rankCount - 1.
constexpr int rankCount = 1024;

/// Combines the priority of an organisation with that of a route, so that the organisation's goes first.
/// @param organisationPriority nothing: the request counts with the priority of its route.
int combinePriorities(std::optional<int> organisationPriority, int routePriority);

/// Whether a request is a retry or part of one.
enum class retry_kind {
    None, ///< The request is sent for the first time.
    Own, ///< The request is a retry: an instance may have received it before.
    Inherited, ///< The request is a downstream call of a request that is itself a retry.
};

/// Metadata that a node sends with a request to the node of an instance.
struct peer_call {
    int priority = 0; ///< Priority of the route; 0 is the most important.
    /// Time left in which the request must start; a later start is likely to miss its latency target or
    /// expiry.
    milliseconds startWithin;
    milliseconds timeLeft; ///< Time left until the request expires.
    bool isIdempotent = false;
    retry_kind retryKind = retry_kind::None;
    int depth = 0; ///< Number of parent requests in the call graph.
    /// Random rank below rankCount, assigned at the entry node and inherited by all downstream calls.
    int rank = 0;
    std::string instance; ///< Id of the instance that the request is addressed to.
    /// Requests per second that the instance takes at most, as last reported to the sending node. Tells a
    /// restarted node of the limit before its instance has responded. Sent apart from the other metadata.
    std::optional<double> rateLimit;
    std::string callerService; ///< Service of the VM where the request originated.
    std::string requestId;
    /// Organisation that the request counts for; empty if it has none. Sent apart from the other metadata.
    std::string organisation;
    /// The organisation is that of the parent request: the request has no key of its own.
    bool isOrganisationInherited = false;
    /// For an instance that may have just started or recovered. Sent apart from the other metadata.
    std::optional<fill_hint> fillHint;
    std::string route; ///< Name of the route; each node finds it by its own rules, it is not sent.
};

/// Outcome of an attempt to send a request to an instance.
enum class attempt_outcome {
    Answered, ///< The instance responded.
    NoRoom, ///< The instance's node had no free slot in time; the instance did not receive the request.
    /// The instance's node refused the request because downstream services are overloaded; the instance did
    /// not receive it.
    Shed,
    Rejected, ///< The instance had no capacity and did not run the request.
    OverBudget, ///< A retry that exceeds the service's retry budget; the instance did not receive it.
    Leaving, ///< The instance accepts no new requests; it did not receive this one.
    Unreachable, ///< The instance or its node is unreachable; the instance did not receive the request.
    Misdirected, ///< Another instance uses the address now; it did not run the request.
    Lost, ///< The request was sent, but no complete response arrived; it may have run.
    TimedOut, ///< The time limit passed before a response arrived; the request may have run.
};

/// @return the stable name of an outcome.
const char* getAttemptOutcomeName(attempt_outcome outcome);

/// @return whether it is certain that the instance has not run the request and will not run it.
bool hasNotRun(attempt_outcome outcome);

/// How a downstream call that an instance made for a request failed, in ascending severity.
enum class downstream_failure {
    None,
    Failed, ///< The downstream call may have run.
    Rejected, ///< An instance refused the downstream call itself.
    NoRoom, ///< No instance had a free slot in time.
};

/// Metadata that the node of an instance sends with its response.
struct peer_reply {
    attempt_outcome outcome = attempt_outcome::Answered;
    int busy = 0; ///< Number of slots in use.
    int waiting = 0; ///< Number of requests that wait for a slot.
    int slots = 1; ///< Number of requests that the instance runs concurrently.
    milliseconds serviceTime; ///< Moving average of the time for which a request occupies a slot.
    /// Failure of a downstream call that the instance made for the request.
    downstream_failure downstreamFailure = downstream_failure::None;
};

/// What the node of an instance knows of a service: its own one or one further down.
struct service_capacity {
    std::string service;
    double load = 0; ///< Offered work relative to the capacity, at the call's priority and above.
    milliseconds age; ///< Time since the load was measured.
    double calls = 0; ///< Calls to the service that one request of the call's route needs.
    milliseconds work; ///< Time for which these calls hold slots.

    friend bool operator==(const service_capacity& a, const service_capacity& b)
    {
        return std::tie(a.service, a.load, a.age, a.calls, a.work)
            == std::tie(b.service, b.load, b.age, b.calls, b.work);
    }
    friend bool operator!=(const service_capacity& a, const service_capacity& b) { return !(a == b); }
};

/// Largest number of services in one header value; further ones are left out.
constexpr std::size_t maxReportedServices = 8;

/// Names of the HTTP header fields that carry the metadata between nodes.
namespace peer_header {
    constexpr const char* call = "fg-call";
    constexpr const char* reply = "fg-reply";
    /// Share of recent requests that the instance rejected although it had free slots; absent if there are
    /// none. Apart from the reply, so that nodes that don't know it can still read the reply.
    constexpr const char* rejectedShare = "fg-rejected";
    /// Requests per second that the instance takes at most from all nodes together, as far as the sending
    /// node knows; absent if there is no limit. In calls and in replies.
    constexpr const char* rateLimit = "fg-limit";
    /// Pace of the instance and the age of that statement; absent if it states none or the usual one.
    constexpr const char* pace = "fg-pace";
    /// The organisation of the call; absent if it has none.
    constexpr const char* organisation = "fg-organisation";
    /// Load of the services further down and what the call's requests need of them; absent if it is low.
    constexpr const char* capacity = "fg-capacity";
    /// Present in replies if the instance has announced that it is about to stop.
    constexpr const char* leaving = "fg-leaving";
}

/// @return the call metadata as a header value.
std::string formatPeerCall(const peer_call& call);

/// @return the organisation of a call as a header value.
std::string formatPeerOrganisation(const peer_call& call);

/// Sets the organisation of a call from a header value.
/// @param value the header value; null if the field is missing.
void parsePeerOrganisation(const std::string* value, peer_call& call);

/// @return the call metadata parsed from a header value, or nothing with error_kind::BadPeerMessage.
std::optional<peer_call> parsePeerCall(const std::string& value);

/// @return the reply metadata as a header value.
std::string formatPeerReply(const peer_reply& reply);

/// @return a share of rejected requests as a header value.
std::string formatRejectedShare(double share);

/// @param value the header value; null if the field is missing.
/// @return the share of rejected requests; 0 if it is missing or invalid.
double parseRejectedShare(const std::string* value);

/// @return a rate limit, in requests per second, as a header value.
std::string formatRateLimit(double perSecond);

/// @param value the header value; null if the field is missing.
/// @return the rate limit in requests per second; nothing if it is missing or invalid.
std::optional<double> parseRateLimit(const std::string* value);

/// @return the capacities as a header value, of at most `maxReportedServices` services.
std::string formatCapacities(const std::vector<service_capacity>& capacities);

/// @param value the header value; null if the field is missing.
/// @return the capacities; entries that are not valid are left out.
std::vector<service_capacity> parseCapacities(const std::string* value);

/// @return the reply metadata parsed from a header value, or nothing with error_kind::BadPeerMessage.
std::optional<peer_reply> parsePeerReply(const std::string& value);

} // namespace fuchsiagauge
