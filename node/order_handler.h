#pragma once

#include "core/order_ticket.h"
#include "node/call_dispatcher.h"
#include "policy/ticket_registry.h"

#include <functional>

namespace fuchsiagauge {

/// Serves requests that run at most once: issues tickets, runs the ones that this node owns, and passes the
/// others on to their owners.
class order_handler {
public:
    /// Adds to the head of an answer what one node tells another.
    using decorate_hook = std::function<void(answer_head&, int unspentRetries)>;

    order_handler(node_context& nodeContext, call_dispatcher& dispatcher, target_runner& runner,
        mesh_client& meshClient);

    /// @return whether the request is for the desk itself, not for a target.
    static bool isTicketApiRequest(const call_request& request);

    /// @return whether the request asks for or withdraws a ticket's state.
    static bool isTicketStateRequest(const call_request& request);

    /// Serves an external caller's request of a class that runs at most once.
    /// @param ticketText the caller's ticket; empty: one is issued and nothing runs.
    void serveCaller(const call_request& request, const dispatch_plan& plan, const std::string& ticketText,
        answer_writer& writer, boost::asio::yield_context yield);

    /// Serves what another node passed on.
    void servePeer(const call_request& request, const call_context& context, const std::string& ticketText,
        const decorate_hook& decorate, answer_writer& writer, boost::asio::yield_context yield);

    /// Answers an external caller who asks what became of a ticket.
    void serveTicketState(
        const call_request& request, answer_writer& writer, boost::asio::yield_context yield);

private:
    /// How an order ended: an answer, or a failure.
    struct order_result {
        std::shared_ptr<const order_answer> answer;
        error failure;
        int unspentRetries = 0;
    };

    void issueTicket(const call_request& request, const dispatch_plan& plan, answer_writer& writer,
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
