#include "node/mesh_handler.h"

#include "node/order_handler.h"
#include "node/paced_writer.h"
#include "node/self_report.h"

namespace fuchsiagauge {

mesh_handler::mesh_handler(node_context& nodeContext, target_runner& runner, order_handler& orderHandler)
    : m_nodeContext(nodeContext)
    , m_runner(runner)
    , m_orderHandler(orderHandler)
{
}

void mesh_handler::handle(call_request& request, response_writer& writer, boost::asio::yield_context yield)
{
    const auto context = parseCallContext(request.fields.get(header::context), m_nodeContext.keys);
    if (!context) {
        const auto reason = copyLastError();
        sendErrorResponse(writer, reason.kind, reason.detail, {}, yield);
        return;
    }
    if (m_nodeContext.onRevisionSeen)
        m_nodeContext.onRevisionSeen({}, context->revision);
    if (request.fields.get(regionHeader) == m_nodeContext.identity.region) {
        serve(request, *context, writer, yield);
        return;
    }
    paced_writer paced(writer, m_nodeContext, context->className);
    serve(request, *context, paced, yield);
}

void mesh_handler::serve(call_request& request, const call_context& context, response_writer& writer,
    boost::asio::yield_context yield)
{
    const auto expiresAt = m_nodeContext.now() + context.remaining;
    const auto ticket = request.fields.get(header::ticket);
    const auto decorate = [this, &context](response_head& head, int unspentRetries) {
        head.fields.set(header::requestId, context.attemptId);
        head.fields.set(header::report, formatNodeReport(makeSelfReport(m_nodeContext, unspentRetries)));
    };
    if (!ticket.empty() || order_handler::isTicketApiRequest(request)) {
        m_orderHandler.servePeer(request, context, ticket, decorate, writer, yield);
        return;
    }
    cancel_scope scope;
    writer.setDisconnectHook([&scope] { scope.cancel(); });
    auto result = m_runner.run(request, context, expiresAt, scope, yield);
    if (!result.response) {
        sendFailure(writer, context, result, yield);
        return;
    }
    auto& head = result.response->getHead();
    head.fields.erasePrefix(header::prefix);
    head.fields.set(header::runOutcome, getOutcomeName(run_outcome::Answered));
    if (result.isDownstreamShed)
        head.fields.set(header::downstreamShed, "1");
    decorate(head, result.unspentRetries.value_or(0));
    relayResponse(*result.response, writer, nullptr, scope, yield);
}

void mesh_handler::sendFailure(response_writer& writer, const call_context& context,
    const attempt_result& result, boost::asio::yield_context yield)
{
    m_nodeContext.counters.countError(result.failure.kind);
    if (writer.isClosed())
        return;
    header_fields fields;
    fields.set(header::requestId, context.attemptId);
    fields.set(
        header::report, formatNodeReport(makeSelfReport(m_nodeContext, result.unspentRetries.value_or(0))));
    sendErrorResponse(writer, result.failure.kind, result.failure.detail, fields, yield);
}

} // namespace fuchsiagauge
