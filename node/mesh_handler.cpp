#include "node/mesh_handler.h"

#include "node/order_desk.h"
#include "node/paced_writer.h"
#include "node/self_report.h"

namespace fuchsiagauge {

mesh_handler::mesh_handler(node_parts& parts, target_runner& runner, order_desk& orders)
    : m_parts(parts)
    , m_runner(runner)
    , m_orders(orders)
{
}

void mesh_handler::handle(call_request& request, answer_writer& writer, boost::asio::yield_context yield)
{
    const auto context = parseCallContext(request.fields.get(header::context), m_parts.keys);
    if (!context) {
        const auto reason = copyLastError();
        sendErrorAnswer(writer, reason.kind, reason.detail, {}, yield);
        return;
    }
    if (m_parts.onRevisionSeen)
        m_parts.onRevisionSeen({}, context->revision);
    if (request.fields.get(regionHeader) == m_parts.identity.region) {
        serve(request, *context, writer, yield);
        return;
    }
    paced_writer paced(writer, m_parts, context->className);
    serve(request, *context, paced, yield);
}

void mesh_handler::serve(call_request& request, const call_context& context, answer_writer& writer,
    boost::asio::yield_context yield)
{
    const auto expiresAt = m_parts.now() + context.remaining;
    const auto ticket = request.fields.get(header::ticket);
    const auto decorate = [this, &context](answer_head& head, int unspentRetries) {
        head.fields.set(header::requestId, context.attemptId);
        head.fields.set(header::report, formatNodeReport(makeSelfReport(m_parts, unspentRetries)));
    };
    if (!ticket.empty() || order_desk::isDeskRequest(request)) {
        m_orders.servePeer(request, context, ticket, decorate, writer, yield);
        return;
    }
    cancel_scope scope;
    writer.setCloseHook([&scope] { scope.cancel(); });
    auto end = m_runner.run(request, context, expiresAt, scope, yield);
    if (!end.answer) {
        sendFailure(writer, context, end, yield);
        return;
    }
    auto& head = end.answer->getHead();
    head.fields.erasePrefix(header::prefix);
    head.fields.set(header::runOutcome, getOutcomeName(run_outcome::Answered));
    if (end.isShedBelow)
        head.fields.set(header::shedDownstream, "1");
    decorate(head, end.unspent.value_or(0));
    relayAnswer(*end.answer, writer, nullptr, scope, yield);
}

void mesh_handler::sendFailure(answer_writer& writer, const call_context& context, const attempt_result& end,
    boost::asio::yield_context yield)
{
    m_parts.counters.countError(end.failure.kind);
    if (writer.isClosed())
        return;
    call_fields fields;
    fields.set(header::requestId, context.attemptId);
    fields.set(header::report, formatNodeReport(makeSelfReport(m_parts, end.unspent.value_or(0))));
    sendErrorAnswer(writer, end.failure.kind, end.failure.detail, fields, yield);
}

} // namespace fuchsiagauge
