#pragma once

#include "core/traffic_rules.h"
#include "mesh/local_target.h"
#include "mesh/mesh_context.h"
#include "policy/attempt_history.h"
#include "transport/incoming_call.h"

#include <memory>
#include <optional>
#include <string>

namespace fuchsiagauge {

/// One request of a client or of the instance on this VM, from its arrival to its response.
///
/// Chooses an instance, sends the request to its node and then forwards the response, retries the request on
/// another instance or responds with an error. The request is reported as not run only if no instance can
/// have run it. A non-idempotent request is sent again only if no instance can have run it: an instance that
/// may have received even one byte of it counts as having run it, unless that instance or its node refused
/// it.
class outbound_call : public std::enable_shared_from_this<outbound_call> {
public:
    /// @param context the node's components; must outlive the call.
    /// @param incoming the request.
    outbound_call(mesh_context& context, std::shared_ptr<incoming_call> incoming);

    /// Selects the route of the request and starts the first attempt.
    void start();

    /// Ends the call if it has timed out, or retries it on another instance if its instance has stopped
    /// responding.
    void tick(milliseconds now);

    /// @return whether the call has ended.
    bool isEnded() const { return m_isEnded; }

private:
    bool selectRoute();
    void inheritFromParent();
    void recordDownstreamFailure(downstream_failure failure);
    pick_request makePickRequest(milliseconds now) const;
    const instance_directory::entry* chooseInstance(milliseconds now);
    double getRetryAfterS(attempt_outcome last) const;
    void startAttempt();
    void sendAttempt(const instance_directory::entry& chosen);
    void recordSpillover(const instance_directory::entry& chosen);
    void sendToPeer(const instance_directory::entry& chosen, const peer_call& call);
    attempt_result readPeerResult(outgoing_result outgoing) const;
    void onAttemptEnd(const attempt_result& result);
    void recordAttempt(const attempt_result& result);
    retry_kind getRetryKind() const;
    bool prepareRetry(const attempt_result& result);
    void recordRetry(const attempt_result& result);
    void finish(const attempt_result& last);
    void respond(const attempt_result& result);
    void failRequest(const attempt_result& last);
    void respondWithError(
        int status, const std::string& reason, const std::string& detail, std::optional<double> retryAfterS);
    void onClientDisconnect();
    bool cancelAttempt(health_signal signal);
    void failOverFromUnresponsiveInstance(milliseconds now);
    void markEnded();
    milliseconds getStartDeadline() const;
    milliseconds getLatencySlack(milliseconds now) const;

    mesh_context& m_context;
    std::shared_ptr<incoming_call> m_incoming;
    std::shared_ptr<const traffic_rules> m_rules;
    int m_rank; ///< Used if the request has no parent; otherwise the parent's rank is used.
    const call_route* m_route = nullptr;
    client_request_info m_clientInfo;
    /// The running request that the local instance makes this call for.
    std::optional<parent_request> m_parent;
    std::string m_service;
    milliseconds m_expiresAt;
    attempt_history m_history { 1, false };
    std::string m_instance; ///< Instance of the current or last attempt.
    std::uint64_t m_instanceStartedAtMs = 0; ///< Tells the starts of `m_instance` apart.
    milliseconds m_sentAt; ///< When the current or last attempt was sent.
    pooled_http_client::handle m_peerRequest; ///< The request to the peer node, to cancel it.
    std::uint64_t m_localRunId = 0; ///< Id for local_target::cancel(); 0 if no attempt runs there.
    bool m_hasOpenAttempt = false;
    /// Result of the last attempt that may have run the request.
    std::optional<attempt_result> m_possibleRunResult;
    bool m_isEnded = false;
};

} // namespace fuchsiagauge
