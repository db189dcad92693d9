#include "node/order_desk.h"

#include "transport/coroutine.h"

#include <algorithm>

namespace fuchsiagauge {
namespace {

    constexpr char deskPath[] = "/fuchsiagauge/";
    constexpr char ticketPath[] = "/fuchsiagauge/tickets/";
    constexpr int okStatus = 200;
    constexpr char mintPath[] = "/fuchsiagauge/mint";
    constexpr std::size_t maxOrderAnswerBytes = 4194304;
    constexpr milliseconds passOnPause { 50 };
    constexpr milliseconds voidTimeout { 500 };
    constexpr int maxMintAttempts = 3;

    bool hasPrefix(const std::string& text, const std::string& prefix)
    {
        return text.compare(0, prefix.size(), prefix) == 0;
    }

    order_answer makeStoredAnswer(const answer_head& head, std::string body)
    {
        order_answer stored;
        stored.status = head.status;
        for (const auto& field : head.fields.getAll()) {
            if (!hasPrefix(field.name, header::prefix))
                stored.headers.push_back({ field.name, field.value });
        }
        stored.body = std::move(body);
        return stored;
    }

    answer_head makeHead(const order_answer& stored)
    {
        answer_head head;
        head.status = stored.status;
        for (const auto& field : stored.headers)
            head.fields.add(field.name, field.value);
        head.fields.set(header::runOutcome, getOutcomeName(run_outcome::Answered));
        return head;
    }

    /// @return the whole body, or nothing if it broke off or is too large to be kept.
    std::optional<std::string> readBody(attempt_answer& answer, boost::asio::yield_context yield)
    {
        if (answer.isWhole())
            return answer.getBody();
        std::string body;
        std::vector<char> piece(maxBufferedAnswerBytes);
        while (body.size() <= maxOrderAnswerBytes) {
            const auto count = answer.getRest()->readSome(piece.data(), piece.size(), yield);
            if (!count)
                return std::nullopt;
            if (*count == 0)
                return body;
            body.append(piece.data(), *count);
        }
        return fail(error_kind::BrokenAnswer, "the answer to an order is larger than 4 MiB");
    }

    std::string formatState(const std::string& state) { return R"({"state":")" + state + "\"}\n"; }

} // namespace

order_desk::order_desk(
    node_parts& parts, call_dispatcher& dispatcher, target_runner& runner, remote_caller& caller)
    : m_parts(parts)
    , m_dispatcher(dispatcher)
    , m_runner(runner)
    , m_caller(caller)
    , m_ticketRegistry(
          parts.identity.instance, parts.identity.startNumber, [&parts] { return parts.ids.makeFraction(); })
{
}

bool order_desk::isDeskRequest(const call_request& request) { return hasPrefix(request.target, deskPath); }

bool order_desk::isTicketQuery(const call_request& request) { return hasPrefix(request.target, ticketPath); }

void order_desk::serveCaller(const call_request& request, const dispatch_plan& plan,
    const std::string& ticketText, answer_writer& writer, boost::asio::yield_context yield)
{
    const auto& requestId = plan.context.requestId;
    if (ticketText.empty()) {
        issueTicket(request, plan, writer, yield);
        return;
    }
    const auto ticket = parseOrderTicket(ticketText, m_parts.keys);
    if (!ticket) {
        sendRequestError(writer, getLastError(), requestId, yield);
        return;
    }
    auto context = plan.context;
    m_parts.retries->open(context.attemptId, m_parts.getPreset().retries.perRequest);
    context.retryAllowance = m_parts.retries->beginAttempt(context.attemptId, false).value_or(0);
    const auto parentId = context.attemptId;
    context.attemptId = m_parts.ids.makeAttemptId();
    context.remaining = plan.requestClass.deadline;
    ++context.depth;
    const auto end = ticket->instance == m_parts.identity.instance
        ? runOwned(request, context, *ticket, plan.expiresAt, yield)
        : passOn(request, context, *ticket, ticketText, plan.expiresAt, yield);
    m_parts.retries->close(parentId);
    if (!end.answer) {
        sendRequestError(writer, end.failure, requestId, yield);
        return;
    }
    auto head = makeHead(*end.answer);
    head.fields.set(header::requestId, requestId);
    head.fields.set(header::ticket, ticketText);
    writer.sendWhole(head, end.answer->body, yield);
}

void order_desk::issueTicket(
    const call_request&, const dispatch_plan& plan, answer_writer& writer, boost::asio::yield_context yield)
{
    std::vector<std::string> tried;
    std::string ticket;
    while (ticket.empty() && tried.size() < maxMintAttempts) {
        const auto instance = m_dispatcher.chooseInstance(plan, tried);
        if (!instance)
            break;
        tried.push_back(*instance);
        ticket = mintAt(*instance, plan, yield);
    }
    call_fields fields;
    fields.set(header::requestId, plan.context.requestId);
    if (ticket.empty()) {
        const auto reason = copyLastError();
        const bool isNotRun = getErrorResponse(reason.kind).outcome == run_outcome::NotRun;
        sendErrorAnswer(writer, isNotRun ? reason.kind : error_kind::NoTarget, reason.detail, fields, yield);
        return;
    }
    fields.set(header::ticket, ticket);
    sendErrorAnswer(
        writer, error_kind::TicketRequired, "send the same request with this ticket", fields, yield);
}

std::string order_desk::mintAt(
    const std::string& instance, const dispatch_plan& plan, boost::asio::yield_context yield)
{
    if (instance == m_parts.identity.instance)
        return mintHere(plan.requestClass.name);
    const auto view = findInstance(instance);
    if (!view)
        return {};
    auto context = plan.context;
    context.attemptId = m_parts.ids.makeAttemptId();
    context.remaining = plan.expiresAt - m_parts.now();
    call_request request;
    request.method = "POST";
    request.target = mintPath;
    cancel_scope scope;
    const auto end = m_caller.call(*view, request, context, plan.expiresAt, {}, scope, yield);
    if (end.answer)
        return end.answer->getBody();
    fail(end.failure.kind, end.failure.detail);
    return {};
}

std::string order_desk::mintHere(const std::string& className)
{
    const auto& status = m_parts.sharedState.target.get();
    if (status.isLeaving) {
        fail(error_kind::TargetLeaving, m_parts.identity.instance + " is leaving");
        return {};
    }
    const auto ticket = m_ticketRegistry.mint(m_parts.now(), m_parts.identity.service, className);
    return ticket ? formatOrderTicket(*ticket, m_parts.keys) : std::string();
}

order_desk::order_end order_desk::makeEnd(const ticket_result& result)
{
    order_end end;
    end.answer = result.answer;
    const auto kind = getErrorKind(result.verdict);
    if (kind)
        end.failure = { *kind, getErrorResponse(*kind).text };
    return end;
}

order_desk::order_end order_desk::runOwned(const call_request& request, const call_context& context,
    const order_ticket& ticket, milliseconds expiresAt, boost::asio::yield_context yield)
{
    const auto digest = computeRequestDigest(request.method, request.target, request.body);
    const auto result = m_ticketRegistry.submit(m_parts.now(), ticket, digest);
    if (result.verdict == ticket_verdict::Run)
        return runFirst(request, context, ticket, expiresAt, yield);
    if (result.verdict == ticket_verdict::InProgress)
        return waitForResult(ticket, expiresAt, yield);
    return makeEnd(result);
}

order_desk::order_end order_desk::runFirst(const call_request& request, const call_context& context,
    const order_ticket& ticket, milliseconds expiresAt, boost::asio::yield_context yield)
{
    // An order that was submitted is not given up when its caller goes away.
    cancel_scope neverCancelled;
    auto attempt = m_runner.run(request, context, expiresAt, neverCancelled, yield);
    order_end end;
    end.unspent = attempt.unspent.value_or(0);
    const auto body = attempt.answer ? readBody(*attempt.answer, yield) : std::nullopt;
    if (body) {
        const auto stored = makeStoredAnswer(attempt.answer->getHead(), *body);
        attempt.answer->end(true);
        m_ticketRegistry.finish(m_parts.now(), ticket, stored);
        end.answer = std::make_shared<const order_answer>(stored);
        return end;
    }
    end.failure = attempt.answer ? getLastError() : attempt.failure;
    const auto how = attempt.answer ? attempt_end::BrokenAnswer : attempt.report.end;
    const auto decision = decideAfterLocalAttempt(how, end.failure.kind);
    end.failure.kind = decision.kind;
    if (decision.update == registry_update::Refuse)
        m_ticketRegistry.refuse(m_parts.now(), ticket);
    else
        m_ticketRegistry.markUnknown(m_parts.now(), ticket);
    return end;
}

order_desk::order_end order_desk::waitForResult(
    const order_ticket& ticket, milliseconds expiresAt, boost::asio::yield_context yield)
{
    const auto waiting = std::make_shared<wait_point>(m_parts.io);
    const auto result = std::make_shared<ticket_result>();
    result->verdict = ticket_verdict::InProgress;
    const auto id = m_ticketRegistry.addWaiter(ticket, [waiting, result](const ticket_result& known) {
        *result = known;
        waiting->release();
    });
    if (!id)
        return makeEnd(*result);
    boost::asio::steady_timer deadline(m_parts.io, toChrono(expiresAt - m_parts.now()));
    deadline.async_wait([waiting](const boost::system::error_code& code) {
        if (!code)
            waiting->release();
    });
    waiting->wait(yield);
    m_ticketRegistry.removeWaiter(ticket, *id);
    return makeEnd(*result);
}

order_desk::order_end order_desk::passOn(const call_request& request, const call_context& context,
    const order_ticket& ticket, const std::string& ticketText, milliseconds expiresAt,
    boost::asio::yield_context yield)
{
    order_end end;
    end.failure = { error_kind::TicketOwnerGone, ticket.instance + " is not known" };
    request_facts facts;
    facts.isAtMostOnce = true;
    facts.hasTicket = true;
    bool shouldVoid = false;
    while (m_parts.now() < expiresAt) {
        const auto view = findInstance(ticket.instance);
        if (!view)
            return end;
        auto attemptContext = context;
        attemptContext.attemptId = m_parts.ids.makeAttemptId();
        attemptContext.remaining = expiresAt - m_parts.now();
        cancel_scope neverCancelled;
        auto attempt
            = m_caller.call(*view, request, attemptContext, expiresAt, ticketText, neverCancelled, yield);
        const auto body = attempt.answer ? readBody(*attempt.answer, yield) : std::nullopt;
        if (body) {
            end.answer
                = std::make_shared<const order_answer>(makeStoredAnswer(attempt.answer->getHead(), *body));
            return end;
        }
        if (attempt.answer)
            attempt = attempt_result::makeFailure(getLastError(), std::nullopt);
        const auto decision = decideAfterRemoteAttempt(attempt.report, facts);
        end.failure = { decision.kind, attempt.failure.detail };
        shouldVoid = decision.shouldVoidTicket;
        if (decision.outcome == run_outcome::Unknown)
            facts.earlierUnknownKind = decision.kind;
        if (decision.next != next_attempt::TicketOwner)
            break;
        sleepFor(m_parts.io, passOnPause, yield);
    }
    if (shouldVoid && isVoidedByOwner(ticket, ticketText, yield))
        end.failure = { error_kind::TicketExpired, "the owner withdrew the ticket before it ran" };
    return end;
}

/// Asks the owner to withdraw a ticket, which makes it certain that its order does not run.
bool order_desk::isVoidedByOwner(
    const order_ticket& ticket, const std::string& ticketText, boost::asio::yield_context yield)
{
    call_request request;
    request.method = "DELETE";
    request.target = ticketPath + ticketText;
    const auto state = askOwner(request, ticket, voidTimeout, yield);
    return state == formatState(getTicketStateName(ticket_state::Expired));
}

std::optional<instance_view> order_desk::findInstance(const std::string& instance) const
{
    const auto& instances = m_parts.sharedState.fleet.get().instances;
    const auto found = instances.find(instance);
    if (found == instances.end())
        return fail(error_kind::TicketOwnerGone, instance + " is not known");
    return found->second;
}

/// Sends a desk request to a ticket's owner.
/// @return the body of its answer, or the unknown state if it can't be had.
std::string order_desk::askOwner(const call_request& request, const order_ticket& ticket,
    milliseconds timeout, boost::asio::yield_context yield)
{
    const auto view = findInstance(ticket.instance);
    if (!view)
        return formatState(getTicketStateName(ticket_state::Unknown));
    call_context context;
    context.requestId = m_parts.ids.makeRequestId();
    context.attemptId = m_parts.ids.makeAttemptId();
    context.className = ticket.className;
    context.remaining = timeout;
    cancel_scope scope;
    const auto result = m_caller.call(*view, request, context, m_parts.now() + timeout, {}, scope, yield);
    if (result.answer)
        return result.answer->getBody();
    return formatState(getTicketStateName(ticket_state::Unknown));
}

void order_desk::servePeer(const call_request& request, const call_context& context,
    const std::string& ticketText, const decorate_hook& decorate, answer_writer& writer,
    boost::asio::yield_context yield)
{
    const auto end = isDeskRequest(request) ? serveDesk(request, context, yield)
                                            : serveTicket(request, context, ticketText, yield);
    answer_head head;
    if (end.answer)
        head = makeHead(*end.answer);
    decorate(head, end.unspent);
    if (end.answer)
        writer.sendWhole(head, end.answer->body, yield);
    else
        sendErrorAnswer(writer, end.failure.kind, end.failure.detail, head.fields, yield);
}

order_desk::order_end order_desk::serveTicket(const call_request& request, const call_context& context,
    const std::string& ticketText, boost::asio::yield_context yield)
{
    const auto ticket = parseOrderTicket(ticketText, m_parts.keys);
    if (ticket)
        return runOwned(request, context, *ticket, m_parts.now() + context.remaining, yield);
    order_end end;
    end.failure = getLastError();
    end.unspent = context.retryAllowance;
    return end;
}

order_desk::order_end order_desk::serveDesk(
    const call_request& request, const call_context& context, boost::asio::yield_context yield)
{
    order_end end;
    end.unspent = context.retryAllowance;
    const auto body = isTicketQuery(request)
        ? queryState(request, request.target.substr(sizeof(ticketPath) - 1), yield)
        : mintHere(context.className);
    if (body.empty()) {
        end.failure = getLastError();
        return end;
    }
    order_answer answer;
    answer.status = okStatus;
    answer.body = body;
    end.answer = std::make_shared<const order_answer>(answer);
    return end;
}

void order_desk::answerQuery(
    const call_request& request, answer_writer& writer, boost::asio::yield_context yield)
{
    if (request.method != "GET" && request.method != "DELETE") {
        sendErrorAnswer(writer, error_kind::MethodNotAllowed,
            "a ticket is read by GET and withdrawn by DELETE", {}, yield);
        return;
    }
    const auto ticketText = request.target.substr(sizeof(ticketPath) - 1);
    const auto state = queryState(request, ticketText, yield);
    if (state.empty()) {
        const auto reason = copyLastError();
        sendErrorAnswer(writer, reason.kind, reason.detail, {}, yield);
        return;
    }
    answer_head head;
    head.fields.set("content-type", "application/json");
    writer.sendWhole(head, state, yield);
}

std::string order_desk::queryState(
    const call_request& request, const std::string& ticketText, boost::asio::yield_context yield)
{
    const auto ticket = parseOrderTicket(ticketText, m_parts.keys);
    if (!ticket)
        return {};
    if (ticket->instance == m_parts.identity.instance)
        return queryHere(request, *ticket);
    return askOwner(request, *ticket, m_parts.getPreset().getClass(ticket->className).deadline, yield);
}

std::string order_desk::queryHere(const call_request& request, const order_ticket& ticket)
{
    if (request.method == "DELETE")
        m_ticketRegistry.voidTicket(m_parts.now(), ticket);
    return formatState(getTicketStateName(m_ticketRegistry.query(m_parts.now(), ticket)));
}

} // namespace fuchsiagauge
