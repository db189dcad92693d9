#pragma once

#include "node/attempt.h"
#include "node/cancel_scope.h"
#include "node/node_context.h"

namespace fuchsiagauge {

/// Runs requests at the local target.
class target_runner {
public:
    explicit target_runner(node_context& nodeContext);

    /// Waits for admission, hands the request to the target and reads the head of its answer.
    /// @param request the request as the target gets it, without headers of the nodes.
    /// @param context the attempt's context.
    /// @param expiresAt instant of the deadline.
    /// @param scope gives the attempt up.
    /// @return how the attempt ended; a failure after the hand-over has an unknown outcome.
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
