#include "node/edge_handler.h"

#include "node/order_handler.h"

namespace fuchsiagauge {

edge_handler::edge_handler(
    node_context& nodeContext, call_dispatcher& dispatcher, order_handler& orderHandler)
    : m_nodeContext(nodeContext)
    , m_dispatcher(dispatcher)
    , m_orderHandler(orderHandler)
{
}

void edge_handler::handle(call_request& request, response_writer& writer, boost::asio::yield_context yield)
{
    if (order_handler::isTicketStateRequest(request)) {
        m_orderHandler.serveTicketState(request, writer, yield);
        return;
    }
    const auto ticket = request.fields.get(header::ticket);
    request.fields.erasePrefix(header::prefix);
    const auto plan = makePlan(request);
    const bool isConfigured = m_nodeContext.sharedState.configuration.get().revision > 0;
    if (needsTicket({ request.method, !ticket.empty(), isConfigured }, plan.requestClass)) {
        m_orderHandler.serveCaller(request, plan, ticket, writer, yield);
        return;
    }
    cancel_scope scope;
    writer.setDisconnectHook([&scope] { scope.cancel(); });
    const auto allowance = m_nodeContext.getPreset().retries.perRequest;
    m_nodeContext.retries->open(plan.context.attemptId, allowance);
    m_dispatcher.dispatch(request, plan, writer, scope, yield);
    m_nodeContext.counters.recordRetryCount(allowance - m_nodeContext.retries->close(plan.context.attemptId));
}

dispatch_plan edge_handler::makePlan(const call_request& request)
{
    dispatch_plan plan;
    plan.service = m_nodeContext.identity.service;
    plan.requestClass
        = m_nodeContext.getPreset().selectClass(plan.service, request.method, request.getPath());
    plan.context.requestId = m_nodeContext.ids.makeRequestId();
    plan.context.attemptId = m_nodeContext.ids.makeAttemptId();
    plan.context.className = plan.requestClass.name;
    plan.expiresAt = m_nodeContext.now() + plan.requestClass.deadline;
    plan.mayRunLocally = true;
    return plan;
}

} // namespace fuchsiagauge
