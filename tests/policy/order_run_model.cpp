#include "tests/policy/order_run_model.h"

#include <algorithm>
#include <cstdint>

namespace fuchsiagauge {
namespace {

    constexpr std::size_t instanceCount = 3;
    constexpr std::size_t orderCount = 4;
    const ticket_registry_limits limits { milliseconds(100), milliseconds(80), 2, 1000, 2 };

    std::string getInstanceName(std::size_t instance) { return "orders-" + std::to_string(instance); }

    attempt_report makeErrorReport(error_kind kind)
    {
        return { attempt_end::Answered, kind, getErrorResponse(kind).outcome, false };
    }

    attempt_report makeAnsweredReport()
    {
        return { attempt_end::Answered, error_kind::Internal, run_outcome::Answered, false };
    }

    attempt_report makeReport(const ticket_result& result)
    {
        const auto kind = getErrorKind(result.verdict);
        return kind ? makeErrorReport(*kind) : makeAnsweredReport();
    }

    std::uint64_t getDigest(std::size_t order) { return order + 1; }

} // namespace

order_run_model::order_run_model(deduplication_mode mode)
    : m_mode(mode)
    , m_instances(instanceCount)
    , m_orders(orderCount)
{
    for (std::size_t instance = 0; instance < instanceCount; ++instance)
        replaceProcess(instance, false);
}

void order_run_model::apply(const model_step& step)
{
    const auto pick = [&step](const auto& items) { return step.subject % items.size(); };
    m_now = m_now + milliseconds(1);
    switch (step.event) {
    case model_event::Submit:
        return submit(pick(m_orders), step.choice);
    case model_event::Deliver:
        if (!m_messages.empty())
            deliver(m_messages[pick(m_messages)], step.choice);
        return;
    case model_event::Lose:
        if (!m_messages.empty())
            m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(pick(m_messages)));
        return;
    case model_event::ReceiveResponse:
        if (!m_responses.empty())
            receiveResponse(m_responses[pick(m_responses)]);
        return;
    case model_event::EndAttempt:
        if (!m_requests.empty())
            endAttempt(pick(m_requests), step.choice);
        return;
    case model_event::Send:
        if (!m_requests.empty())
            send(pick(m_requests), step.choice, step.choice % 2 == 0);
        return;
    case model_event::FinishRun:
        return finishRun(step.subject, step.choice % 2 == 0);
    case model_event::ReplaceProcess:
        return replaceProcess(step.subject % instanceCount, step.choice % 2 == 0);
    case model_event::ToggleFrozen:
        m_processes[pick(m_processes)].isFrozen ^= true;
        return;
    case model_event::Wait:
        m_now = m_now + milliseconds(step.choice % 200);
    }
}

void order_run_model::runToCompletion()
{
    for (auto& process : m_processes)
        process.isFrozen = false;
    for (unsigned i = 0; i < m_messages.size(); ++i)
        deliver(m_messages[i], i);
    while (!m_running.empty())
        finishRun(0, true);
    for (std::size_t i = 0; i < m_responses.size(); ++i)
        receiveResponse(m_responses[i]);
}

int order_run_model::getOrdersRunTwice() const
{
    return static_cast<int>(std::count_if(
        m_orders.begin(), m_orders.end(), [](const order_state& order) { return order.runs > 1; }));
}

int order_run_model::getRunsAfterNotRun() const
{
    return static_cast<int>(std::count_if(m_keysReportedNotRun.begin(), m_keysReportedNotRun.end(),
        [this](const std::string& key) { return m_runsByKey.count(key) > 0; }));
}

int order_run_model::getAnsweredCount() const
{
    return static_cast<int>(std::count_if(
        m_orders.begin(), m_orders.end(), [](const order_state& order) { return order.isAnswered; }));
}

/// A caller submits its order. It requests a new ticket only if it has none or was told not-run.
void order_run_model::submit(std::size_t order, unsigned choice)
{
    auto& state = m_orders[order];
    if (state.isAnswered)
        return;
    edge_request request { order, {}, {}, {} };
    request.facts.isAtMostOnce = true;
    request.facts.isIdempotent = false;
    if (state.requestKey.empty()) {
        state.requestKey = std::to_string(m_nextKey++);
        const auto& processes = m_instances[choice % instanceCount];
        state.ticket = m_processes[processes.back()].registry.mint(m_now, "orders", "order");
        request.facts.isFirstSubmission = true;
    }
    for (auto& earlier : m_requests)
        earlier.isOpen &= !(earlier.requestKey == state.requestKey && earlier.facts.isFirstSubmission);
    if (m_mode != deduplication_mode::CallerKeys && !state.ticket) {
        state.requestKey.clear();
        return;
    }
    request.ticket = state.ticket;
    request.requestKey = state.requestKey;
    request.facts.hasTicket = m_mode != deduplication_mode::CallerKeys;
    m_requests.push_back(request);
    if (choice % 3 != 0)
        send(m_requests.size() - 1, choice, false);
}

/// Sends a message to a process of the ticket's instance or, with caller keys, to any process.
void order_run_model::send(std::size_t request, unsigned choice, bool isVoid)
{
    if (m_requests[request].wasReportedNotRun)
        return;
    if (m_mode == deduplication_mode::CallerKeys) {
        m_messages.push_back({ request, choice % m_processes.size(), false });
        return;
    }
    auto& sent = m_requests[request];
    sent.facts.earlierUnknownKind = error_kind::ConnectionLost;
    for (std::size_t instance = 0; instance < instanceCount; ++instance) {
        const auto& processes = m_instances[instance];
        if (getInstanceName(instance) == sent.ticket->instance)
            m_messages.push_back({ request, processes[choice % processes.size()], isVoid });
    }
}

/// Delivers a message and leaves it in flight, so that it can arrive again.
void order_run_model::deliver(const message& sent, unsigned choice)
{
    const auto copy = sent;
    auto& process = m_processes[copy.process];
    if (process.isFrozen)
        return;
    if (m_mode == deduplication_mode::CallerKeys)
        return deliverByKey(copy, choice);
    const auto& request = m_requests[copy.request];
    const auto result = copy.isVoid
        ? process.registry.voidTicket(m_now, *request.ticket)
        : process.registry.submit(m_now, *request.ticket, getDigest(request.order));
    if (result.verdict == ticket_verdict::Run)
        return deliverToTarget(copy, choice);
    sendResponse(copy.request, makeReport(result));
}

void order_run_model::deliverByKey(const message& sent, unsigned choice)
{
    auto& seen = m_processes[sent.process].seenKeys;
    if (seen.count(m_requests[sent.request].order))
        return sendResponse(sent.request, makeAnsweredReport());
    if (choice % 4 == 0)
        return sendResponse(sent.request, makeErrorReport(error_kind::Shed));
    seen.insert(m_requests[sent.request].order);
    countRun(sent.request);
    sendResponse(sent.request, makeAnsweredReport());
}

void order_run_model::deliverToTarget(const message& sent, unsigned choice)
{
    constexpr unsigned behaviourCount = 6;
    switch (static_cast<target_behaviour>(choice % behaviourCount)) {
    case target_behaviour::Answered:
        countRun(sent.request);
        return recordAttemptEnd(sent, attempt_end::Answered, error_kind::Internal);
    case target_behaviour::Shed:
        return recordAttemptEnd(sent, attempt_end::NotSent, error_kind::Shed);
    case target_behaviour::Refused:
        return recordAttemptEnd(sent, attempt_end::ConnectFailed, error_kind::Internal);
    case target_behaviour::AnswerLost:
        countRun(sent.request);
        return recordAttemptEnd(sent, attempt_end::ConnectionLost, error_kind::Internal);
    case target_behaviour::Timeout:
        return recordAttemptEnd(sent, attempt_end::AnswerTimeout, error_kind::Internal);
    case target_behaviour::Running:
        countRun(sent.request);
        m_running.push_back({ sent, *m_requests[sent.request].ticket });
    }
}

void order_run_model::finishRun(unsigned subject, bool hasResponse)
{
    if (m_running.empty())
        return;
    const auto index = subject % m_running.size();
    const auto ended = m_running[index];
    m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(index));
    recordAttemptEnd(ended.origin, hasResponse ? attempt_end::Answered : attempt_end::ConnectionLost,
        error_kind::Internal);
}

/// Records in the registry how an attempt at the target ended, and responds to the edge node.
void order_run_model::recordAttemptEnd(const message& sent, attempt_end end, error_kind kind)
{
    const auto decision = decideAfterLocalAttempt(end, kind);
    auto& registry = m_processes[sent.process].registry;
    const auto& ticket = *m_requests[sent.request].ticket;
    if (decision.update == registry_update::Finish)
        registry.finish(m_now, ticket, { 201, {}, "done" });
    if (decision.update == registry_update::Refuse)
        registry.refuse(m_now, ticket);
    if (decision.update == registry_update::MarkUnknown)
        registry.markUnknown(m_now, ticket);
    sendResponse(sent.request,
        decision.outcome == run_outcome::Answered ? makeAnsweredReport() : makeErrorReport(decision.kind));
}

void order_run_model::countRun(std::size_t request)
{
    ++m_orders[m_requests[request].order].runs;
    ++m_runsByKey[m_requests[request].requestKey];
}

void order_run_model::sendResponse(std::size_t request, const attempt_report& report)
{
    m_responses.push_back({ request, report });
}

void order_run_model::receiveResponse(const response_message& received)
{
    reportToCaller(received.request,
        decideAfterRemoteAttempt(received.report, m_requests[received.request].facts).outcome);
}

/// The edge node ends its attempt without having received a response.
void order_run_model::endAttempt(std::size_t request, unsigned choice)
{
    const auto& facts = m_requests[request].facts;
    const auto sentEnd = choice % 2 == 0 ? attempt_end::ConnectionLost : attempt_end::AnswerTimeout;
    const auto unsentEnd = choice % 2 == 0 ? attempt_end::NotSent : attempt_end::ConnectFailed;
    const auto end = facts.earlierUnknownKind ? sentEnd : unsentEnd;
    const bool isAssumedNotRun = m_mode == deduplication_mode::TicketsWithAssumedNotRun && end == unsentEnd;
    const auto decision
        = decideAfterRemoteAttempt({ end, error_kind::Shed, run_outcome::Unknown, false }, facts);
    reportToCaller(request, isAssumedNotRun ? run_outcome::NotRun : decision.outcome);
}

void order_run_model::reportToCaller(std::size_t request, run_outcome outcome)
{
    auto& edgeRequest = m_requests[request];
    if (!edgeRequest.isOpen)
        return;
    edgeRequest.isOpen = false;
    auto& order = m_orders[edgeRequest.order];
    order.reportedOutcome = outcome;
    if (outcome == run_outcome::Answered)
        order.isAnswered = true;
    if (outcome != run_outcome::NotRun)
        return;
    edgeRequest.wasReportedNotRun = true;
    m_keysReportedNotRun.insert(edgeRequest.requestKey);
    if (order.requestKey == edgeRequest.requestKey)
        order.requestKey.clear();
}

/// Starts a new process of an instance. The old one remains and may resume and act later.
void order_run_model::replaceProcess(std::size_t instance, bool isSameStartNumber)
{
    if (!isSameStartNumber)
        ++m_startNumber;
    m_instances[instance].push_back(m_processes.size());
    m_processes.push_back(makeProcess(instance));
}

order_run_model::node_process order_run_model::makeProcess(std::size_t instance)
{
    constexpr double randomStep = 0.0001;
    m_lastRandom += randomStep;
    const auto random = m_lastRandom;
    return { ticket_registry(
                 getInstanceName(instance), m_startNumber, [random] { return random; }, limits),
        {} };
}

} // namespace fuchsiagauge
