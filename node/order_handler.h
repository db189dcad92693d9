#pragma once

#include "core/order_ticket.h"
#include "node/call_dispatcher.h"
#include "policy/ticket_registry.h"

#include <functional>

namespace fuchsiagauge {

/// Serves orders, which are requests that run at most once: issues tickets, runs the orders whose tickets
/// this node owns, and forwards the others to the owners of their tickets.
class order_handler {
public:
    /// Adds the headers that nodes exchange, such as the node report, to the head of a response.
    using decorate_hook = std::function<void(response_head&, int unspentRetries)>;

    order_handler(node_context& nodeContext, call_dispatcher& dispatcher, target_runner& runner,
        mesh_client& meshClient);

    /// @return whether the request is for the ticket API of the node, not for a target.
    static bool isTicketApiRequest(const call_request& request);

    /// @return whether the request reads the state of a ticket or voids the ticket.
    static bool isTicketStateRequest(const call_request& request);

    /// Serves an order of a caller outside the fleet.
    /// @param request the order.
    /// @param plan the service, class and deadline of the order.
    /// @param ticketText the caller's ticket; if empty, a ticket is issued and the order does not run.
    /// @param writer receives the response.
    /// @param yield the coroutine that waits.
    void serveCaller(const call_request& request, const dispatch_plan& plan, const std::string& ticketText,
        response_writer& writer, boost::asio::yield_context yield);

    /// Serves an order or a ticket API request that another node forwarded.
    /// @param request the request.
    /// @param context the context of the forwarding node's attempt.
    /// @param ticketText the ticket of an order.
    /// @param decorate adds the headers that nodes exchange.
    /// @param writer receives the response.
    /// @param yield the coroutine that waits.
    void servePeer(const call_request& request, const call_context& context, const std::string& ticketText,
        const decorate_hook& decorate, response_writer& writer, boost::asio::yield_context yield);

    /// Serves a ticket state request of a caller outside the fleet.
    void serveTicketState(
        const call_request& request, response_writer& writer, boost::asio::yield_context yield);

private:
    /// The result of an order or of a ticket API request: a response or a failure.
    struct order_result {
        std::shared_ptr<const order_response> response; ///< Null if the order failed; see `failure`.
        error failure;
        int unspentRetries = 0; ///< Unspent part of the retry allowance.
    };

    void issueTicket(const call_request& request, const dispatch_plan& plan, response_writer& writer,
        boost::asio::yield_context yield);
    std::string mintTicketAt(
        const std::string& instance, const dispatch_plan& plan, boost::asio::yield_context yield);
    std::string mintLocalTicket(const std::string& className);
    order_result runAsOwner(const call_request& request, const call_context& context,
        const order_ticket& ticket, milliseconds expiresAt, boost::asio::yield_context yield);
    order_result runNewOrder(const call_request& request, const call_context& context,
        const order_ticket& ticket, milliseconds expiresAt, boost::asio::yield_context yield);
    order_result waitForResult(
        const order_ticket& ticket, milliseconds expiresAt, boost::asio::yield_context yield);
    order_result forwardToOwner(const call_request& request, const call_context& context,
        const order_ticket& ticket, const std::string& ticketText, milliseconds expiresAt,
        boost::asio::yield_context yield);
    bool tryVoidAtOwner(
        const order_ticket& ticket, const std::string& ticketText, boost::asio::yield_context yield);
    std::optional<instance_view> findInstance(const std::string& instance) const;
    std::string sendToOwner(const call_request& request, const order_ticket& ticket, milliseconds timeout,
        boost::asio::yield_context yield);
    order_result servePeerOrder(const call_request& request, const call_context& context,
        const std::string& ticketText, boost::asio::yield_context yield);
    order_result serveTicketApi(
        const call_request& request, const call_context& context, boost::asio::yield_context yield);
    std::string processTicketState(
        const call_request& request, const std::string& ticketText, boost::asio::yield_context yield);
    std::string processLocalTicketState(const call_request& request, const order_ticket& ticket);
    static order_result makeResult(const ticket_result& result);

    node_context& m_nodeContext;
    call_dispatcher& m_dispatcher;
    target_runner& m_runner;
    mesh_client& m_meshClient;
    ticket_registry m_ticketRegistry;
};

} // namespace fuchsiagauge
