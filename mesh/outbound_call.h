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

/// One request of a client or of the instance on this VM, from its arrival to its answer.
///
/// Chooses an instance, sends the request to the node beside it and decides what follows: the answer, another
/// instance, or a refusal that is true. A request that runs at most once is never sent again after a byte of
/// it may have reached an instance.
class outbound_call : public std::enable_shared_from_this<outbound_call> {
public:
    /// @param context the node's parts.
    /// @param incoming the request.
    outbound_call(mesh_context& context, std::shared_ptr<incoming_call> incoming);

    /// Routes the request and makes the first attempt.
    void start();

    /// Ends the call if its time is over.
    void tick(milliseconds now);

    /// @return whether the call has ended.
    bool isEnded() const { return m_isEnded; }

private:
    bool selectRoute();
    void inheritFromParent();
    void recordDownstreamFailure(failure_below failure);
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
    repeat_kind getRetryKind() const;
    bool prepareRetry(const attempt_result& result);
    void recordRetry(const attempt_result& result);
    void finish(const attempt_result& last);
    void respond(const attempt_result& result);
    void failRequest(const attempt_result& last);
    void respondWithError(
        int status, const std::string& reason, const std::string& detail, std::optional<double> retryAfterS);
    void onClientDisconnect();
    bool cancelAttempt(attempt_evidence evidence);
    void failOverFromSilentInstance(milliseconds now);
    void markEnded();
    milliseconds getStartDeadline() const;
    milliseconds getLatencySlack(milliseconds now) const;

    mesh_context& m_context;
    std::shared_ptr<incoming_call> m_incoming;
    std::shared_ptr<const traffic_rules> m_rules;
    int m_rank; ///< Of a request that enters here.
    const call_route* m_route = nullptr;
    client_request_info m_clientInfo;
    std::optional<parent_request> m_parent; ///< The request that the local instance makes this call for.
    std::string m_service;
    milliseconds m_expiresAt;
    attempt_history m_history { 1, false };
    std::string m_instance; ///< Of the attempt under way.
    milliseconds m_sentAt; ///< Of the attempt under way.
    outgoing_pool::handle m_peerCall;
    std::uint64_t m_localRunId = 0; ///< 0: none.
    bool m_hasOpenAttempt = false;
    std::optional<attempt_result> m_possibleRun; ///< Of the last attempt that may have run the request.
    bool m_isEnded = false;
};

} // namespace fuchsiagauge
