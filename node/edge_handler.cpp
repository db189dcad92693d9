#include "node/edge_handler.h"

#include "node/order_desk.h"

namespace fuchsiagauge {

edge_handler::edge_handler(node_parts& parts, call_dispatcher& dispatcher, order_desk& orders)
    : m_parts(parts)
    , m_dispatcher(dispatcher)
    , m_orders(orders)
{
}

void edge_handler::handle(call_request& request, answer_writer& writer, boost::asio::yield_context yield)
{
    if (order_desk::isTicketQuery(request)) {
        m_orders.answerQuery(request, writer, yield);
        return;
    }
    const auto ticket = request.fields.get(header::ticket);
    request.fields.erasePrefix(header::prefix);
    const auto plan = makePlan(request);
    const bool isConfigured = m_parts.sharedState.configuration.get().revision > 0;
    if (needsTicket({ request.method, !ticket.empty(), isConfigured }, plan.requestClass)) {
        m_orders.serveCaller(request, plan, ticket, writer, yield);
        return;
    }
    cancel_scope scope;
    writer.setCloseHook([&scope] { scope.cancel(); });
    const auto granted = m_parts.getPreset().retries.perRequest;
    m_parts.retries->open(plan.context.attemptId, granted);
    m_dispatcher.dispatch(request, plan, writer, scope, yield);
    m_parts.counters.recordRetries(granted - m_parts.retries->close(plan.context.attemptId));
}

dispatch_plan edge_handler::makePlan(const call_request& request)
{
    dispatch_plan plan;
    plan.service = m_parts.identity.service;
    plan.requestClass = m_parts.getPreset().selectClass(plan.service, request.method, request.getPath());
    plan.context.requestId = m_parts.ids.makeRequestId();
    plan.context.attemptId = m_parts.ids.makeAttemptId();
    plan.context.className = plan.requestClass.name;
    plan.expiresAt = m_parts.now() + plan.requestClass.deadline;
    plan.mayRunHere = true;
    return plan;
}

} // namespace fuchsiagauge
