#pragma once

#include "core/address_translations.h"
#include "node/attempt.h"
#include "node/cancel_scope.h"
#include "node/node_parts.h"

namespace fuchsiagauge {

/// Name of the header by which a node states its region to another node.
constexpr char regionHeader[] = "fuchsiagauge-region";

/// Makes attempts at other nodes.
class remote_caller {
public:
    explicit remote_caller(node_parts& parts);

    /// Makes one attempt and feeds the router with its evidence.
    /// @param instance the instance to call.
    /// @param request the request as the caller sent it.
    /// @param context the attempt's context.
    /// @param expiresAt instant of the deadline.
    /// @param ticket ticket to pass on; empty: none.
    /// @param scope gives the attempt up.
    /// @return how the attempt ended; a refusal of the other node is a failure of its kind.
    attempt_result call(const instance_view& instance, const call_request& request,
        const call_context& context, milliseconds expiresAt, const std::string& ticket, cancel_scope& scope,
        boost::asio::yield_context yield);

    /// @return where calls to an instance are sent, or nothing if its address is malformed.
    std::optional<address> findRemote(const instance_view& instance) const;

private:
    bool reserveLink(const instance_view& instance, const call_request& request, const call_context& context,
        boost::asio::yield_context yield);
    attempt_result takeAnswer(const instance_view& instance, std::unique_ptr<exchange> call, answer_head head,
        const call_context& context, milliseconds startedAt, boost::asio::yield_context yield);
    attempt_result takeFailure(const instance_view& instance, const call_context& context, error why);

    node_parts& m_parts;
    address_translations m_addressTranslations;
};

} // namespace fuchsiagauge
