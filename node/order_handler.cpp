#include "node/order_handler.h"

#include "transport/coroutine.h"

#include <algorithm>

namespace fuchsiagauge {
namespace {

    constexpr char ticketApiPrefix[] = "/fuchsiagauge/";
    constexpr char ticketStatePrefix[] = "/fuchsiagauge/tickets/";
    constexpr int okStatus = 200;
    constexpr char mintPath[] = "/fuchsiagauge/mint";
    constexpr std::size_t maxOrderResponseBytes = 4194304;
    constexpr milliseconds ownerRetryInterval { 50 };
    constexpr milliseconds voidTimeout { 500 };
    constexpr int maxMintAttempts = 3;

    bool hasPrefix(const std::string& text, const std::string& prefix)
    {
        return text.compare(0, prefix.size(), prefix) == 0;
    }

    order_response makeStoredResponse(const response_head& head, std::string body)
    {
        order_response stored;
        stored.status = head.status;
        for (const auto& field : head.fields.getAll()) {
            if (!hasPrefix(field.name, header::prefix))
                stored.headers.push_back({ field.name, field.value });
        }
        stored.body = std::move(body);
        return stored;
    }

    response_head makeHead(const order_response& stored)
    {
        response_head head;
        head.status = stored.status;
        for (const auto& field : stored.headers)
            head.fields.add(field.name, field.value);
        head.fields.set(header::runOutcome, getOutcomeName(run_outcome::Answered));
        return head;
    }

    /// @return the complete body, or nothing with the reason recorded by fail() if it was cut off or is
    /// larger than maxOrderResponseBytes.
    std::optional<std::string> readBody(attempt_response& response, boost::asio::yield_context yield)
    {
        if (response.isBuffered())
            return response.getBody();
        std::string body;
        std::vector<char> buffer(maxBufferedResponseBytes);
        while (body.size() <= maxOrderResponseBytes) {
            const auto count = response.getBodyStream()->readSome(buffer.data(), buffer.size(), yield);
            if (!count)
                return std::nullopt;
            if (*count == 0)
                return body;
            body.append(buffer.data(), *count);
        }
        return fail(error_kind::BrokenAnswer, "the answer to an order is larger than 4 MiB");
    }

    std::string formatTicketState(const std::string& state) { return R"({"state":")" + state + "\"}\n"; }

} // namespace

order_handler::order_handler(
    node_context& nodeContext, call_dispatcher& dispatcher, target_runner& runner, mesh_client& meshClient)
    : m_nodeContext(nodeContext)
    , m_dispatcher(dispatcher)
    , m_runner(runner)
    , m_meshClient(meshClient)
    , m_ticketRegistry(nodeContext.identity.instance, nodeContext.identity.startNumber,
          [&nodeContext] { return nodeContext.ids.makeRandomFraction(); })
{
}

bool order_handler::isTicketApiRequest(const call_request& request)
{
    return hasPrefix(request.target, ticketApiPrefix);
}

bool order_handler::isTicketStateRequest(const call_request& request)
{
    return hasPrefix(request.target, ticketStatePrefix);
}

void order_handler::serveCaller(const call_request& request, const dispatch_plan& plan,
    const std::string& ticketText, response_writer& writer, boost::asio::yield_context yield)
{
    const auto& requestId = plan.context.requestId;
    if (ticketText.empty()) {
        issueTicket(request, plan, writer, yield);
        return;
    }
    const auto ticket = parseOrderTicket(ticketText, m_nodeContext.keys);
    if (!ticket) {
        sendRequestError(writer, getLastError(), requestId, yield);
        return;
    }
    auto context = plan.context;
    m_nodeContext.retries->open(context.attemptId, m_nodeContext.getPreset().retries.perRequest);
    context.retryAllowance = m_nodeContext.retries->beginAttempt(context.attemptId, false).value_or(0);
    const auto parentId = context.attemptId;
    context.attemptId = m_nodeContext.ids.makeAttemptId();
    context.remaining = plan.requestClass.deadline;
    ++context.depth;
    const auto orderResult = ticket->instance == m_nodeContext.identity.instance
        ? runAsOwner(request, context, *ticket, plan.expiresAt, yield)
        : forwardToOwner(request, context, *ticket, ticketText, plan.expiresAt, yield);
    m_nodeContext.retries->close(parentId);
    if (!orderResult.response) {
        sendRequestError(writer, orderResult.failure, requestId, yield);
        return;
    }
    auto head = makeHead(*orderResult.response);
    head.fields.set(header::requestId, requestId);
    head.fields.set(header::ticket, ticketText);
    writer.sendComplete(head, orderResult.response->body, yield);
}

void order_handler::issueTicket(
    const call_request&, const dispatch_plan& plan, response_writer& writer, boost::asio::yield_context yield)
{
    std::vector<std::string> tried;
    std::string ticket;
    while (ticket.empty() && tried.size() < maxMintAttempts) {
        const auto instance = m_dispatcher.chooseInstance(plan, tried);
        if (!instance)
            break;
        tried.push_back(*instance);
        ticket = mintTicketAt(*instance, plan, yield);
    }
    header_fields fields;
    fields.set(header::requestId, plan.context.requestId);
    if (ticket.empty()) {
        const auto reason = copyLastError();
        const bool isNotRun = getErrorResponse(reason.kind).outcome == run_outcome::NotRun;
        sendErrorResponse(
            writer, isNotRun ? reason.kind : error_kind::NoTarget, reason.detail, fields, yield);
        return;
    }
    fields.set(header::ticket, ticket);
    sendErrorResponse(
        writer, error_kind::TicketRequired, "send the same request with this ticket", fields, yield);
}

std::string order_handler::mintTicketAt(
    const std::string& instance, const dispatch_plan& plan, boost::asio::yield_context yield)
{
    if (instance == m_nodeContext.identity.instance)
        return mintLocalTicket(plan.requestClass.name);
    const auto view = findInstance(instance);
    if (!view)
        return {};
    auto context = plan.context;
    context.attemptId = m_nodeContext.ids.makeAttemptId();
    context.remaining = plan.expiresAt - m_nodeContext.now();
    call_request request;
    request.method = "POST";
    request.target = mintPath;
    cancel_scope scope;
    const auto orderResult = m_meshClient.call(*view, request, context, plan.expiresAt, {}, scope, yield);
    if (orderResult.response)
        return orderResult.response->getBody();
    fail(orderResult.failure.kind, orderResult.failure.detail);
    return {};
}

std::string order_handler::mintLocalTicket(const std::string& className)
{
    const auto& status = m_nodeContext.sharedState.target.get();
    if (status.isLeaving) {
        fail(error_kind::TargetLeaving, m_nodeContext.identity.instance + " is leaving");
        return {};
    }
    const auto ticket = m_ticketRegistry.mint(m_nodeContext.now(), m_nodeContext.identity.service, className);
    return ticket ? formatOrderTicket(*ticket, m_nodeContext.keys) : std::string();
}

order_handler::order_result order_handler::makeResult(const ticket_result& result)
{
    order_result orderResult;
    orderResult.response = result.response;
    const auto kind = getErrorKind(result.verdict);
    if (kind)
        orderResult.failure = { *kind, getErrorResponse(*kind).text };
    return orderResult;
}

order_handler::order_result order_handler::runAsOwner(const call_request& request,
    const call_context& context, const order_ticket& ticket, milliseconds expiresAt,
    boost::asio::yield_context yield)
{
    const auto digest = computeRequestDigest(request.method, request.target, request.body);
    const auto result = m_ticketRegistry.submit(m_nodeContext.now(), ticket, digest);
    if (result.verdict == ticket_verdict::Run)
        return runNewOrder(request, context, ticket, expiresAt, yield);
    if (result.verdict == ticket_verdict::InProgress)
        return waitForResult(ticket, expiresAt, yield);
    return makeResult(result);
}

order_handler::order_result order_handler::runNewOrder(const call_request& request,
    const call_context& context, const order_ticket& ticket, milliseconds expiresAt,
    boost::asio::yield_context yield)
{
    // A submitted order is not cancelled when its caller disconnects: its response is stored for the ticket.
    cancel_scope neverCancelled;
    auto attempt = m_runner.run(request, context, expiresAt, neverCancelled, yield);
    order_result orderResult;
    orderResult.unspentRetries = attempt.unspentRetries.value_or(0);
    const auto body = attempt.response ? readBody(*attempt.response, yield) : std::nullopt;
    if (body) {
        const auto stored = makeStoredResponse(attempt.response->getHead(), *body);
        attempt.response->finish(true);
        m_ticketRegistry.finish(m_nodeContext.now(), ticket, stored);
        orderResult.response = std::make_shared<const order_response>(stored);
        return orderResult;
    }
    orderResult.failure = attempt.response ? getLastError() : attempt.failure;
    const auto attemptEnd = attempt.response ? attempt_end::BrokenAnswer : attempt.report.end;
    const auto decision = decideAfterLocalAttempt(attemptEnd, orderResult.failure.kind);
    orderResult.failure.kind = decision.kind;
    if (decision.update == registry_update::Refuse)
        m_ticketRegistry.refuse(m_nodeContext.now(), ticket);
    else
        m_ticketRegistry.markUnknown(m_nodeContext.now(), ticket);
    return orderResult;
}

order_handler::order_result order_handler::waitForResult(
    const order_ticket& ticket, milliseconds expiresAt, boost::asio::yield_context yield)
{
    const auto waitPoint = std::make_shared<coroutine_latch>(m_nodeContext.io);
    const auto result = std::make_shared<ticket_result>();
    result->verdict = ticket_verdict::InProgress;
    const auto id = m_ticketRegistry.addWaiter(ticket, [waitPoint, result](const ticket_result& finished) {
        *result = finished;
        waitPoint->release();
    });
    if (!id)
        return makeResult(*result);
    boost::asio::steady_timer deadline(m_nodeContext.io, toChrono(expiresAt - m_nodeContext.now()));
    deadline.async_wait([waitPoint](const boost::system::error_code& code) {
        if (!code)
            waitPoint->release();
    });
    waitPoint->wait(yield);
    m_ticketRegistry.removeWaiter(ticket, *id);
    return makeResult(*result);
}

order_handler::order_result order_handler::forwardToOwner(const call_request& request,
    const call_context& context, const order_ticket& ticket, const std::string& ticketText,
    milliseconds expiresAt, boost::asio::yield_context yield)
{
    order_result orderResult;
    orderResult.failure = { error_kind::TicketOwnerGone, ticket.instance + " is not known" };
    request_facts facts;
    facts.isAtMostOnce = true;
    facts.hasTicket = true;
    bool shouldVoid = false;
    while (m_nodeContext.now() < expiresAt) {
        const auto view = findInstance(ticket.instance);
        if (!view)
            return orderResult;
        auto attemptContext = context;
        attemptContext.attemptId = m_nodeContext.ids.makeAttemptId();
        attemptContext.remaining = expiresAt - m_nodeContext.now();
        cancel_scope neverCancelled;
        auto attempt
            = m_meshClient.call(*view, request, attemptContext, expiresAt, ticketText, neverCancelled, yield);
        const auto body = attempt.response ? readBody(*attempt.response, yield) : std::nullopt;
        if (body) {
            orderResult.response = std::make_shared<const order_response>(
                makeStoredResponse(attempt.response->getHead(), *body));
            return orderResult;
        }
        if (attempt.response)
            attempt = attempt_result::makeFailure(getLastError(), std::nullopt);
        const auto decision = decideAfterRemoteAttempt(attempt.report, facts);
        orderResult.failure = { decision.kind, attempt.failure.detail };
        shouldVoid = decision.shouldVoidTicket;
        if (decision.outcome == run_outcome::Unknown)
            facts.earlierUnknownKind = decision.kind;
        if (decision.next != next_attempt::TicketOwner)
            break;
        sleepFor(m_nodeContext.io, ownerRetryInterval, yield);
    }
    if (shouldVoid && tryVoidAtOwner(ticket, ticketText, yield))
        orderResult.failure = { error_kind::TicketExpired, "the owner withdrew the ticket before it ran" };
    return orderResult;
}

/// Asks the owner to void a ticket whose order has not been sent to the target.
/// @return whether the owner confirmed that the ticket is expired, so that its order can never run.
bool order_handler::tryVoidAtOwner(
    const order_ticket& ticket, const std::string& ticketText, boost::asio::yield_context yield)
{
    call_request request;
    request.method = "DELETE";
    request.target = ticketStatePrefix + ticketText;
    const auto state = sendToOwner(request, ticket, voidTimeout, yield);
    return state == formatTicketState(getTicketStateName(ticket_state::Expired));
}

std::optional<instance_view> order_handler::findInstance(const std::string& instance) const
{
    const auto& instances = m_nodeContext.sharedState.fleet.get().instances;
    const auto found = instances.find(instance);
    if (found == instances.end())
        return fail(error_kind::TicketOwnerGone, instance + " is not known");
    return found->second;
}

/// Sends a ticket state request to the ticket's owner.
/// @return the body of the owner's response, or the state `unknown` if there is none.
std::string order_handler::sendToOwner(const call_request& request, const order_ticket& ticket,
    milliseconds timeout, boost::asio::yield_context yield)
{
    const auto view = findInstance(ticket.instance);
    if (!view)
        return formatTicketState(getTicketStateName(ticket_state::Unknown));
    call_context context;
    context.requestId = m_nodeContext.ids.makeRequestId();
    context.attemptId = m_nodeContext.ids.makeAttemptId();
    context.className = ticket.className;
    context.remaining = timeout;
    cancel_scope scope;
    const auto result
        = m_meshClient.call(*view, request, context, m_nodeContext.now() + timeout, {}, scope, yield);
    if (result.response)
        return result.response->getBody();
    return formatTicketState(getTicketStateName(ticket_state::Unknown));
}

void order_handler::servePeer(const call_request& request, const call_context& context,
    const std::string& ticketText, const decorate_hook& decorate, response_writer& writer,
    boost::asio::yield_context yield)
{
    const auto orderResult = isTicketApiRequest(request)
        ? serveTicketApi(request, context, yield)
        : servePeerOrder(request, context, ticketText, yield);
    response_head head;
    if (orderResult.response)
        head = makeHead(*orderResult.response);
    decorate(head, orderResult.unspentRetries);
    if (orderResult.response)
        writer.sendComplete(head, orderResult.response->body, yield);
    else
        sendErrorResponse(writer, orderResult.failure.kind, orderResult.failure.detail, head.fields, yield);
}

order_handler::order_result order_handler::servePeerOrder(const call_request& request,
    const call_context& context, const std::string& ticketText, boost::asio::yield_context yield)
{
    const auto ticket = parseOrderTicket(ticketText, m_nodeContext.keys);
    if (ticket)
        return runAsOwner(request, context, *ticket, m_nodeContext.now() + context.remaining, yield);
    order_result orderResult;
    orderResult.failure = getLastError();
    orderResult.unspentRetries = context.retryAllowance;
    return orderResult;
}

order_handler::order_result order_handler::serveTicketApi(
    const call_request& request, const call_context& context, boost::asio::yield_context yield)
{
    order_result orderResult;
    orderResult.unspentRetries = context.retryAllowance;
    const auto body = isTicketStateRequest(request)
        ? processTicketState(request, request.target.substr(sizeof(ticketStatePrefix) - 1), yield)
        : mintLocalTicket(context.className);
    if (body.empty()) {
        orderResult.failure = getLastError();
        return orderResult;
    }
    order_response response;
    response.status = okStatus;
    response.body = body;
    orderResult.response = std::make_shared<const order_response>(response);
    return orderResult;
}

void order_handler::serveTicketState(
    const call_request& request, response_writer& writer, boost::asio::yield_context yield)
{
    if (request.method != "GET" && request.method != "DELETE") {
        sendErrorResponse(writer, error_kind::MethodNotAllowed,
            "a ticket is read by GET and withdrawn by DELETE", {}, yield);
        return;
    }
    const auto ticketText = request.target.substr(sizeof(ticketStatePrefix) - 1);
    const auto state = processTicketState(request, ticketText, yield);
    if (state.empty()) {
        const auto reason = copyLastError();
        sendErrorResponse(writer, reason.kind, reason.detail, {}, yield);
        return;
    }
    response_head head;
    head.fields.set("content-type", "application/json");
    writer.sendComplete(head, state, yield);
}

std::string order_handler::processTicketState(
    const call_request& request, const std::string& ticketText, boost::asio::yield_context yield)
{
    const auto ticket = parseOrderTicket(ticketText, m_nodeContext.keys);
    if (!ticket)
        return {};
    if (ticket->instance == m_nodeContext.identity.instance)
        return processLocalTicketState(request, *ticket);
    return sendToOwner(
        request, *ticket, m_nodeContext.getPreset().getClass(ticket->className).deadline, yield);
}

std::string order_handler::processLocalTicketState(const call_request& request, const order_ticket& ticket)
{
    if (request.method == "DELETE")
        m_ticketRegistry.voidTicket(m_nodeContext.now(), ticket);
    return formatTicketState(getTicketStateName(m_ticketRegistry.query(m_nodeContext.now(), ticket)));
}

} // namespace fuchsiagauge
