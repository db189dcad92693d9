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
    bool route();
    void inherit();
    void noteFailureBelow(failure_below failure);
    pick_request makePickRequest(milliseconds now) const;
    const instance_directory::entry* choose(milliseconds now);
    double getRetryAfterS(attempt_outcome last) const;
    void attempt();
    void send(const instance_directory::entry& chosen);
    void noteSpill(const instance_directory::entry& chosen);
    void sendToPeer(const instance_directory::entry& chosen, const peer_call& call);
    attempt_result readPeerResult(outgoing_result outgoing) const;
    void onAttemptEnd(const attempt_result& result);
    void noteEvidence(const attempt_result& result);
    repeat_kind getRepeatKind() const;
    bool mayRepeat(const attempt_result& result);
    void noteRepeat(const attempt_result& result);
    void conclude(const attempt_result& last);
    void answer(const attempt_result& result);
    void fail(const attempt_result& last);
    void answerError(
        int status, const std::string& word, const std::string& detail, std::optional<double> retryAfterS);
    void giveUp();
    bool cancelAttempt(health_signal evidence);
    void leaveSilentInstance(milliseconds now);
    void end();
    milliseconds getStartBy() const;
    milliseconds getSpareTime(milliseconds now) const;

    mesh_context& m_context;
    std::shared_ptr<incoming_call> m_incoming;
    std::shared_ptr<const traffic_rules> m_rules;
    int m_rank; ///< Of a request that enters here.
    const call_route* m_route = nullptr;
    client_terms m_terms;
    std::optional<parent_run> m_parent; ///< The request that the local instance makes this call for.
    std::string m_service;
    milliseconds m_expiresAt;
    attempt_history m_history { 1, false };
    std::string m_instance; ///< Of the attempt under way.
    milliseconds m_sentAt; ///< Of the attempt under way.
    outgoing_pool::handle m_peerCall;
    std::uint64_t m_localRun = 0; ///< 0: none.
    bool m_hasOpenAttempt = false;
    std::optional<attempt_result> m_run; ///< Of the last attempt that may have run the request.
    bool m_isEnded = false;
};

} // namespace fuchsiagauge
