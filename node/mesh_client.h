#pragma once

#include "core/address_translations.h"
#include "node/attempt.h"
#include "node/cancel_scope.h"
#include "node/node_context.h"

namespace fuchsiagauge {

/// Header in which a calling node states its region.
constexpr char regionHeader[] = "fuchsiagauge-region";

/// Sends attempts to other nodes.
class mesh_client {
public:
    explicit mesh_client(node_context& nodeContext);

    /// Makes one attempt and reports its result to the router.
    /// @param instance the instance to call.
    /// @param request the request as the caller sent it.
    /// @param context the attempt's context.
    /// @param expiresAt time of the deadline.
    /// @param ticket ticket to send with the request; empty if there is none.
    /// @param scope cancels the attempt.
    /// @param yield the coroutine that waits.
    /// @return the result of the attempt; an error answer of the other node is a failure of the same kind.
    attempt_result call(const instance_view& instance, const call_request& request,
        const call_context& context, milliseconds expiresAt, const std::string& ticket, cancel_scope& scope,
        boost::asio::yield_context yield);

    /// @return the address that calls to an instance are sent to, after the `fleet.routes` setting was
    /// applied, or nothing if the address is malformed.
    std::optional<address> findMeshAddress(const instance_view& instance) const;

private:
    bool reserveLinkBudget(const instance_view& instance, const call_request& request,
        const call_context& context, boost::asio::yield_context yield);
    attempt_result handleAnswer(const instance_view& instance, std::unique_ptr<exchange> call,
        response_head head, const call_context& context, milliseconds startedAt,
        boost::asio::yield_context yield);
    attempt_result handleFailure(const instance_view& instance, const call_context& context, error reason);

    node_context& m_nodeContext;
    address_translations m_addressTranslations;
};

} // namespace fuchsiagauge
