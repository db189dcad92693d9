#include "node/egress_handler.h"

#include <algorithm>

namespace fuchsiagauge {

egress_handler::egress_handler(node_parts& parts, call_dispatcher& dispatcher)
    : m_parts(parts)
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
        serveOwn(request, service, writer, yield);
        return;
    }
    const auto context = parseCallContext(contextText, m_parts.keys);
    if (!context) {
        const auto reason = copyLastError();
        sendErrorResponse(writer, reason.kind, reason.detail, {}, yield);
        return;
    }
    serveWork(request, service, *context, writer, yield);
}

void egress_handler::serveWork(const call_request& request, const std::string& service,
    const call_context& context, response_writer& writer, boost::asio::yield_context yield)
{
    const auto work = m_parts.work.find(context.attemptId);
    if (!work) {
        sendRequestError(writer, { error_kind::Cancelled, "the request that this call belongs to has ended" },
            context.requestId, yield);
        return;
    }
    dispatch_plan plan;
    plan.service = service;
    plan.requestClass = m_parts.getPreset().getClass(context.className);
    plan.context = work->context;
    plan.expiresAt = work->expiresAt;
    cancel_scope scope;
    writer.setDisconnectHook([&scope] { scope.cancel(); });
    const cancel_registration registration(work->outgoing, [&scope] { scope.cancel(); });
    const auto failure = m_dispatcher.dispatch(request, plan, writer, scope, yield);
    if (failure == error_kind::Shed || failure == error_kind::QueueTimeout) {
        work->isShedBelow = true;
        m_parts.admission->onDownstreamShed(context.attemptId);
    }
}

/// Serves a call that belongs to no request, such as a target's own background work: it gets no retries.
void egress_handler::serveOwn(const call_request& request, const std::string& service,
    response_writer& writer, boost::asio::yield_context yield)
{
    dispatch_plan plan;
    plan.service = service;
    plan.requestClass = m_parts.getPreset().selectClass(service, request.method, request.getPath());
    plan.context.requestId = m_parts.ids.makeRequestId();
    plan.context.attemptId = m_parts.ids.makeAttemptId();
    plan.context.className = plan.requestClass.name;
    plan.expiresAt = m_parts.now() + plan.requestClass.deadline;
    cancel_scope scope;
    writer.setDisconnectHook([&scope] { scope.cancel(); });
    m_parts.retries->open(plan.context.attemptId, 0);
    m_dispatcher.dispatch(request, plan, writer, scope, yield);
    m_parts.retries->close(plan.context.attemptId);
}

} // namespace fuchsiagauge
