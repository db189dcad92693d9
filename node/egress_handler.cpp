#include "node/egress_handler.h"

#include <algorithm>

namespace fuchsiagauge {

egress_handler::egress_handler(node_context& nodeContext, call_dispatcher& dispatcher)
    : m_nodeContext(nodeContext)
    , m_dispatcher(dispatcher)
{
}

void egress_handler::handle(call_request& request, response_writer& writer, boost::asio::yield_context yield)
{
    const auto service = request.fields.get(header::service);
    const auto contextText = request.fields.get(header::context);
    request.fields.erasePrefix(header::prefix);
    if (service.empty()) {
        sendErrorResponse(writer, error_kind::UnknownService,
            std::string("name the service in the header ") + header::service, {}, yield);
        return;
    }
    if (contextText.empty()) {
        serveBackgroundCall(request, service, writer, yield);
        return;
    }
    const auto context = parseCallContext(contextText, m_nodeContext.keys);
    if (!context) {
        const auto reason = copyLastError();
        sendErrorResponse(writer, reason.kind, reason.detail, {}, yield);
        return;
    }
    serveDownstreamCall(request, service, *context, writer, yield);
}

void egress_handler::serveDownstreamCall(const call_request& request, const std::string& service,
    const call_context& context, response_writer& writer, boost::asio::yield_context yield)
{
    const auto attempt = m_nodeContext.inFlightAttempts.find(context.attemptId);
    if (!attempt) {
        sendRequestError(writer, { error_kind::Cancelled, "the request that this call belongs to has ended" },
            context.requestId, yield);
        return;
    }
    dispatch_plan plan;
    plan.service = service;
    plan.requestClass = m_nodeContext.getPreset().getClass(context.className);
    plan.context = attempt->context;
    plan.expiresAt = attempt->expiresAt;
    cancel_scope scope;
    writer.setDisconnectHook([&scope] { scope.cancel(); });
    const cancel_registration registration(attempt->outgoingCalls, [&scope] { scope.cancel(); });
    const auto failure = m_dispatcher.dispatch(request, plan, writer, scope, yield);
    if (failure == error_kind::Shed || failure == error_kind::QueueTimeout) {
        attempt->isDownstreamShed = true;
        m_nodeContext.admission->onDownstreamShed(context.attemptId);
    }
}

/// Serves a call without a context, such as one from the target's background work. It gets no retries,
/// because there is no request whose allowance it could use.
void egress_handler::serveBackgroundCall(const call_request& request, const std::string& service,
    response_writer& writer, boost::asio::yield_context yield)
{
    dispatch_plan plan;
    plan.service = service;
    plan.requestClass = m_nodeContext.getPreset().selectClass(service, request.method, request.getPath());
    plan.context.requestId = m_nodeContext.ids.makeRequestId();
    plan.context.attemptId = m_nodeContext.ids.makeAttemptId();
    plan.context.className = plan.requestClass.name;
    plan.expiresAt = m_nodeContext.now() + plan.requestClass.deadline;
    cancel_scope scope;
    writer.setDisconnectHook([&scope] { scope.cancel(); });
    m_nodeContext.retries->open(plan.context.attemptId, 0);
    m_dispatcher.dispatch(request, plan, writer, scope, yield);
    m_nodeContext.retries->close(plan.context.attemptId);
}

} // namespace fuchsiagauge
