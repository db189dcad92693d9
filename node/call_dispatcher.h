#pragma once

#include "node/mesh_client.h"
#include "node/response_relay.h"
#include "node/target_runner.h"

namespace fuchsiagauge {

/// A call to a service, with the data needed to route and retry it.
struct dispatch_plan {
    std::string service;
    request_class requestClass;
    call_context context; ///< The call is registered with the retry policy under its attempt id.
    milliseconds expiresAt; ///< Time of the deadline.
    bool mayRunLocally = false; ///< Whether the local target may serve the call; it is then preferred.
};

/// Serves calls to a service: chooses instances, retries within the allowance and resumes large responses.
class call_dispatcher {
public:
    call_dispatcher(node_context& nodeContext, target_runner& runner, mesh_client& meshClient);

    /// Serves a call and writes its response, or an error response if all attempts failed.
    /// @param request the call.
    /// @param plan the service, class and deadline; its attempt id must be registered with the retry policy.
    /// @param writer receives the response.
    /// @param scope cancels the call.
    /// @param yield the coroutine that waits.
    /// @return the error kind of a failed call; Shed also for an error response of the target that was caused
    /// by overload downstream; otherwise nothing.
    std::optional<error_kind> dispatch(const call_request& request, const dispatch_plan& plan,
        response_writer& writer, cancel_scope& scope, boost::asio::yield_context yield);

    /// Chooses an instance. The local target is preferred while it is usable and has a free slot and no
    /// queue.
    /// @param plan the call.
    /// @param excluded ids of the instances already tried.
    /// @return the instance id, or nothing with NoTarget or Shed.
    std::optional<std::string> chooseInstance(
        const dispatch_plan& plan, const std::vector<std::string>& excluded);

private:
    attempt_result runAttempts(const call_request& request, const dispatch_plan& plan,
        bool isFirstAttemptFree, cancel_scope& scope, boost::asio::yield_context yield);
    attempt_result makeAttempt(const std::string& instance, const call_request& request,
        const dispatch_plan& plan, int grantedRetries, cancel_scope& scope, boost::asio::yield_context yield);
    attempt_result runLocally(const call_request& request, const call_context& context,
        const dispatch_plan& plan, cancel_scope& scope, boost::asio::yield_context yield);
    std::optional<int> beginAttempt(const dispatch_plan& plan, bool isRetry);
    std::optional<std::string> chooseNextInstance(
        const dispatch_plan& plan, const std::vector<std::string>& tried, const request_facts& facts);
    bool evaluateResult(attempt_result& result, request_facts& facts, const dispatch_plan& plan) const;
    bool isLocalTargetFree() const;
    std::unique_ptr<attempt_response> resumeResponse(const call_request& request, const dispatch_plan& plan,
        const response_head& first, std::uint64_t firstByte, cancel_scope& scope,
        boost::asio::yield_context yield);

    node_context& m_nodeContext;
    target_runner& m_runner;
    mesh_client& m_meshClient;
};

/// Sends an error response that carries the request id.
/// @param writer receives the response.
/// @param reason the error.
/// @param requestId the request id.
/// @param yield the coroutine that waits.
void sendRequestError(response_writer& writer, const error& reason, const std::string& requestId,
    boost::asio::yield_context yield);

} // namespace fuchsiagauge
