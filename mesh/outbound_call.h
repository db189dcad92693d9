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
/// it. No instance receives a non-idempotent request twice.
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

    /// Ends the call at once, as the node can't wait for its instance any longer. The response has status 503
    /// only if no instance can have received the request.
    void cutOff();

    /// @return whether the call has ended.
    bool isEnded() const { return m_isEnded; }

private:
    /// One send of the request to an instance, until it ends.
    struct attempt {
        std::uint64_t number = 0; ///< Tells the attempts of this request apart.
        std::string instance;
        std::uint64_t instanceStartedAtMs = 0; ///< Tells the starts of the instance apart.
        milliseconds sentAt;
        pooled_http_client::handle peerRequest; ///< The request to the peer node, to cancel it.
        std::uint64_t localRunId = 0; ///< Id for local_target::cancel(); 0 if it does not run there.
        bool isInHistory = false; ///< `m_history` knows that the instance has received the request.
    };

    bool selectRoute();
    void inheritFromParent();
    bool identifyOrganisation();
    bool mayUseKeys();
    void awaitQuota();
    void onQuotaDecision(const quota_agent::decision& result);
    void giveBackQuota();
    int getPriority() const;
    void recordDownstreamFailure(downstream_failure failure);
    pick_request makePickRequest(milliseconds now) const;
    const instance_directory::entry* chooseInstance(milliseconds now);
    double getRetryAfterS(attempt_outcome last) const;
    void startAttempt();
    bool isLikelyToEndInTime(const instance_directory::entry& chosen, milliseconds now) const;
    void sendAttempt(const instance_directory::entry& chosen);
    void recordSpillover(const instance_directory::entry& chosen);
    void sendToPeer(const instance_directory::entry& chosen, const peer_call& call);
    attempt_result readPeerResult(outgoing_result outgoing) const;
    void onAttemptEnd(std::uint64_t number, const attempt_result& result);
    void recordAttempt(const attempt& ended, const attempt_result& result);
    retry_kind getRetryKind() const;
    bool prepareRetry(attempt& ended, const attempt_result& result);
    bool canParentComplete() const;
    void recordRetry(const attempt& ended, const attempt_result& result);
    void endAttempts(const attempt_result& last);
    void finish(const attempt_result& last);
    void respond(const attempt_result& result);
    void failRequest(const attempt_result& last);
    void respondWithError(
        int status, const std::string& reason, const std::string& detail, std::optional<double> retryAfterS);
    void onClientDisconnect();
    bool cancelAttempt(std::optional<attempt>& cancelled, health_signal signal);
    bool cancelAttempts(health_signal signal);
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
    const organisation* m_organisation = nullptr; ///< Whose key the request has; belongs to `m_rules`.
    bool m_hasQuotaCredit = false; ///< Counted against the limit of the organisation.
    std::string m_service;
    milliseconds m_expiresAt;
    attempt_history m_history { 1, false };
    std::optional<attempt> m_attempt; ///< The latest attempt while it is open.
    /// An attempt at an instance that has stopped responding. It stays open while another instance is tried,
    /// as that one may refuse the request.
    std::optional<attempt> m_unresponsiveAttempt;
    std::uint64_t m_attemptCount = 0;
    std::string m_instance; ///< Instance of the attempt that was sent or that ended last.
    /// Result of the last attempt that may have run the request.
    std::optional<attempt_result> m_possibleRunResult;
    bool m_isEnded = false;
};

} // namespace fuchsiagauge
