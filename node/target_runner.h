#pragma once

#include "node/attempt.h"
#include "node/cancel_scope.h"
#include "node/node_context.h"

namespace fuchsiagauge {

/// Sends requests to the local target once they are admitted.
class target_runner {
public:
    explicit target_runner(node_context& nodeContext);

    /// Waits for admission, sends the request to the target and reads its response; a large body is left to
    /// be streamed.
    /// @param request the request; headers that the nodes set are replaced.
    /// @param context the attempt's context.
    /// @param expiresAt time of the deadline.
    /// @param scope cancels the attempt.
    /// @param yield the coroutine that waits.
    /// @return the result of the attempt; the outcome of a failure after the request was sent is unknown.
    attempt_result run(const call_request& request, const call_context& context, milliseconds expiresAt,
        cancel_scope& scope, boost::asio::yield_context yield);

private:
    std::optional<error_kind> waitForAdmission(const call_context& context, milliseconds expiresAt,
        cancel_scope& scope, boost::asio::yield_context yield);
    attempt_result sendToTarget(const call_request& request, const call_context& context,
        milliseconds expiresAt, cancel_scope& scope, boost::asio::yield_context yield);

    node_context& m_nodeContext;
    address m_targetAddress;
};

} // namespace fuchsiagauge
