#pragma once

#include "core/order_ticket.h"
#include "node/call_dispatcher.h"
#include "policy/ticket_registry.h"

#include <functional>

namespace fuchsiagauge {

/// Serves requests that run at most once: issues tickets, runs the ones that this node owns, and passes the
/// others on to their owners.
class order_desk {
public:
    /// Adds to the head of an answer what one node tells another.
    using decorate_hook = std::function<void(response_head&, int unspentRetries)>;

    order_desk(node_parts& parts, call_dispatcher& dispatcher, target_runner& runner, remote_caller& caller);

    /// @return whether the request is for the desk itself, not for a target.
    static bool isDeskRequest(const call_request& request);

    /// @return whether the request asks for or withdraws a ticket's state.
    static bool isTicketQuery(const call_request& request);

    /// Serves an external caller's request of a class that runs at most once.
    /// @param ticketText the caller's ticket; empty: one is issued and nothing runs.
    void serveCaller(const call_request& request, const dispatch_plan& plan, const std::string& ticketText,
        response_writer& writer, boost::asio::yield_context yield);

    /// Serves what another node passed on.
    void servePeer(const call_request& request, const call_context& context, const std::string& ticketText,
        const decorate_hook& decorate, response_writer& writer, boost::asio::yield_context yield);

    /// Answers an external caller who asks what became of a ticket.
    void answerQuery(const call_request& request, response_writer& writer, boost::asio::yield_context yield);

private:
    /// How an order ended: an answer, or a failure.
    struct order_end {
        std::shared_ptr<const order_answer> answer;
        error failure;
        int unspent = 0;
    };

    void issueTicket(const call_request& request, const dispatch_plan& plan, response_writer& writer,
        boost::asio::yield_context yield);
    std::string mintAt(
        const std::string& instance, const dispatch_plan& plan, boost::asio::yield_context yield);
    std::string mintHere(const std::string& className);
    order_end runOwned(const call_request& request, const call_context& context, const order_ticket& ticket,
        milliseconds expiresAt, boost::asio::yield_context yield);
    order_end runFirst(const call_request& request, const call_context& context, const order_ticket& ticket,
        milliseconds expiresAt, boost::asio::yield_context yield);
    order_end waitForResult(
        const order_ticket& ticket, milliseconds expiresAt, boost::asio::yield_context yield);
    order_end passOn(const call_request& request, const call_context& context, const order_ticket& ticket,
        const std::string& ticketText, milliseconds expiresAt, boost::asio::yield_context yield);
    bool isVoidedByOwner(
        const order_ticket& ticket, const std::string& ticketText, boost::asio::yield_context yield);
    std::optional<instance_view> findInstance(const std::string& instance) const;
    std::string askOwner(const call_request& request, const order_ticket& ticket, milliseconds timeout,
        boost::asio::yield_context yield);
    order_end serveTicket(const call_request& request, const call_context& context,
        const std::string& ticketText, boost::asio::yield_context yield);
    order_end serveDesk(
        const call_request& request, const call_context& context, boost::asio::yield_context yield);
    std::string queryState(
        const call_request& request, const std::string& ticketText, boost::asio::yield_context yield);
    std::string queryHere(const call_request& request, const order_ticket& ticket);
    static order_end makeEnd(const ticket_result& result);

    node_parts& m_parts;
    call_dispatcher& m_dispatcher;
    target_runner& m_runner;
    remote_caller& m_caller;
    ticket_registry m_ticketRegistry;
};

} // namespace fuchsiagauge
