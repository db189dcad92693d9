#include "bench/group_caller.h"

#include "bench/generated_body.h"
#include "bench/response_check.h"
#include "core/call_context.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>

namespace fuchsiagauge::bench {
namespace {

    /// Extra wait after the deadline, so that late responses are recorded.
    constexpr double lateResponseGraceMs = 250;
    constexpr int ticketRequiredStatus = 428;
    constexpr milliseconds ticketQueryTimeout { 1000 };

    std::string makePath(const caller_group& group)
    {
        if (group.responseBytes < 0)
            return group.path;
        const char separator = group.path.find('?') == std::string::npos ? '?' : '&';
        return group.path + separator + "bytes=" + std::to_string(group.responseBytes);
    }

} // namespace

/// State of a request that has not ended.
struct group_caller::request_state {
    request_record record;
    std::string ticket;
    bool hasUnsentTicket = false; ///< The ticket came with the last response and has not been sent yet.
    int retries = 0;
    std::size_t edgeIndex = 0;
};

group_caller::group_caller(
    boost::asio::io_context& context, const caller_group& group, std::uint64_t seed, clock runClock)
    : m_context(context)
    , m_group(group)
    , m_clock(std::move(runClock))
    , m_path(makePath(group))
    , m_idPrefix(group.name + '-' + std::to_string(seed) + '-')
    , m_random(seed)
{
    for (const auto& edge : group.edges)
        m_pools.push_back(std::make_unique<connection_pool>(context, edge, group.maxConnections));
}

http_request group_caller::makeRequest(const request_record& record, const std::string& ticket) const
{
    http_request request;
    request.method = m_group.method;
    request.path = m_path;
    request.fields.add("caller-request-id", record.id);
    if (!m_group.service.empty())
        request.fields.add(header::service, m_group.service);
    if (!record.orderId.empty())
        request.fields.add("order-id", record.orderId);
    if (!ticket.empty())
        request.fields.add(header::ticket, ticket);
    request.body.resize(m_group.requestBytes);
    generated_body("request", record.id, m_group.requestBytes)
        .read(0, request.body.data(), request.body.size());
    return request;
}

request_record group_caller::run(
    std::uint64_t index, double arrivalMs, const boost::asio::yield_context& yield)
{
    request_state request;
    request.record.id = m_idPrefix + std::to_string(index);
    if (m_group.isAtMostOnce)
        request.record.orderId = "order-" + request.record.id;
    request.record.group = m_group.name;
    request.record.path = m_path;
    request.record.arrivalMs = arrivalMs;
    request.edgeIndex = m_random() % m_pools.size();
    while (true) {
        send(request, yield);
        if (!shouldSendAgain(request))
            break;
        if (request.hasUnsentTicket)
            continue;
        ++request.retries;
        request.edgeIndex = (request.edgeIndex + 1) % m_pools.size();
        discardInvalidatedTicket(request);
        waitForBackoff(yield);
    }
    request.record.outcome = combineOutcomes(request.record.sends);
    request.record.endMs = now();
    if (request.record.outcome == run_outcome::Unknown && !request.ticket.empty())
        queryTicketState(request, yield);
    return std::move(request.record);
}

void group_caller::send(request_state& request, const boost::asio::yield_context& yield)
{
    auto& pool = *m_pools[request.edgeIndex];
    const auto remainingMs = request.record.arrivalMs + m_group.deadlineMs + lateResponseGraceMs - now();
    const milliseconds timeout(std::max(1.0, remainingMs));
    const auto sent = makeRequest(request.record, request.ticket);
    request.hasUnsentTicket = false;
    send_record record;
    record.edge = formatAddress(pool.getRemote());
    record.ticket = request.ticket;
    record.startMs = now();
    exchange_result result;
    auto connection = pool.acquire(timeout, yield);
    if (connection) {
        result = connection->exchange(sent, timeout, false, yield);
        pool.release(std::move(connection), result.isReusable);
    } else
        result.failure = exchange_failure::ConnectFailed;
    record.endMs = now();
    record.status = result.failure == exchange_failure::None ? result.response.status : 0;
    record.error = getErrorCode(result);
    record.outcome = classifyOutcome(result);
    request.record.sends.push_back(record);
    handleResponse(request, sent, result);
}

void group_caller::handleResponse(
    request_state& request, const http_request& sent, const exchange_result& result)
{
    auto& record = request.record;
    const auto& fields = result.response.fields;
    record.nodeRequestId = fields.get(header::requestId);
    record.instance = fields.get("target-instance");
    if (result.failure != exchange_failure::None)
        return;
    if (result.response.status == ticketRequiredStatus && request.ticket.empty()) {
        request.ticket = fields.get(header::ticket);
        request.hasUnsentTicket = !request.ticket.empty();
        return;
    }
    if (result.response.status != 200)
        return;
    record.bodyBytes = result.bodyBytes;
    const auto mismatch = findResponseMismatch(sent, result, m_group.responseBytes);
    record.mismatch = mismatch.code;
    record.mismatchDetail = mismatch.detail;
    if (!record.mismatch.empty())
        record.verdict = request_verdict::Wrong;
    else if (record.sends.back().endMs > record.arrivalMs + m_group.deadlineMs)
        record.verdict = request_verdict::Late;
    else
        record.verdict = request_verdict::Succeeded;
}

bool group_caller::shouldSendAgain(request_state& request) const
{
    const auto& record = request.record;
    if (record.verdict != request_verdict::Failed)
        return false;
    if (now() >= record.arrivalMs + m_group.deadlineMs)
        return false;
    if (request.hasUnsentTicket)
        return true;
    const bool hasRun = record.sends.back().outcome == run_outcome::Answered;
    if (m_group.isAtMostOnce && hasRun)
        return false;
    return request.retries < m_group.maxRetries;
}

void group_caller::discardInvalidatedTicket(request_state& request) const
{
    const auto& last = request.record.sends.back();
    const bool isInvalidated = last.status != 0 && last.outcome == run_outcome::NotRun;
    if (isInvalidated)
        request.ticket.clear();
}

void group_caller::queryTicketState(request_state& request, const boost::asio::yield_context& yield)
{
    http_request query;
    query.path = "/fuchsiagauge/tickets/" + request.ticket;
    auto& pool = *m_pools[request.edgeIndex];
    auto connection = pool.acquire(ticketQueryTimeout, yield);
    if (!connection)
        return;
    const auto result = connection->exchange(query, ticketQueryTimeout, true, yield);
    pool.release(std::move(connection), result.isReusable);
    if (result.failure == exchange_failure::None && result.response.status == 200)
        request.record.ticketState = parseTicketState(result.response.body);
}

void group_caller::waitForBackoff(const boost::asio::yield_context& yield)
{
    if (m_group.backoffMs <= 0)
        return;
    const auto jitter = 0.5 + std::uniform_real_distribution<double>(0, 1)(m_random);
    const auto delayUs = static_cast<long long>(m_group.backoffMs * jitter * 1000);
    boost::asio::steady_timer timer(m_context, std::chrono::microseconds(delayUs));
    boost::system::error_code code;
    timer.async_wait(yield[code]);
}

} // namespace fuchsiagauge::bench
