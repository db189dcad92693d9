#include "policy/ticket_registry.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace fuchsiagauge {
namespace {

    constexpr std::size_t responseOverheadBytes = 128;

    std::uint64_t drawNonce(const ticket_registry::random_hook& random)
    {
        constexpr double halfRange = 4294967296.0;
        constexpr int halfBits = 32;
        const auto high = static_cast<std::uint64_t>(random() * halfRange);
        const auto low = static_cast<std::uint64_t>(random() * halfRange);
        return (high << halfBits) | low;
    }

} // namespace

bool operator==(const order_response_header& a, const order_response_header& b)
{
    return std::tie(a.name, a.value) == std::tie(b.name, b.value);
}

std::size_t order_response::getMemoryBytes() const
{
    std::size_t bytes = responseOverheadBytes + body.size();
    for (const auto& header : headers)
        bytes += header.name.size() + header.value.size() + sizeof(order_response_header);
    return bytes;
}

bool operator==(const order_response& a, const order_response& b)
{
    return std::tie(a.status, a.headers, a.body) == std::tie(b.status, b.headers, b.body);
}

std::optional<error_kind> getErrorKind(ticket_verdict verdict)
{
    switch (verdict) {
    case ticket_verdict::InProgress:
        return error_kind::TicketInProgress;
    case ticket_verdict::AnswerDropped:
        return error_kind::AnswerDropped;
    case ticket_verdict::TicketExpired:
        return error_kind::TicketExpired;
    case ticket_verdict::TicketMismatch:
        return error_kind::TicketMismatch;
    case ticket_verdict::TicketOutcomeUnknown:
        return error_kind::TicketOutcomeUnknown;
    case ticket_verdict::TicketOwnerGone:
        return error_kind::TicketOwnerGone;
    case ticket_verdict::Run:
    case ticket_verdict::AnswerKept:
        break;
    }
    return std::nullopt;
}

const char* getTicketStateName(ticket_state state)
{
    switch (state) {
    case ticket_state::Unused:
        return "unused";
    case ticket_state::Running:
        return "running";
    case ticket_state::Answered:
        return "answered";
    case ticket_state::Expired:
        return "expired";
    case ticket_state::Unknown:
        break;
    }
    return "unknown";
}

ticket_registry::ticket_registry(
    std::string instance, std::uint64_t startNumber, const random_hook& random, ticket_registry_limits limits)
    : m_instance(std::move(instance))
    , m_startNumber(startNumber)
    , m_processNonce(drawNonce(random))
    , m_limits(limits)
{
}

std::optional<order_ticket> ticket_registry::mint(
    milliseconds now, const std::string& service, const std::string& className)
{
    if (!ensureCapacity(now))
        return fail(error_kind::Shed, "every remembered ticket is still valid");
    order_ticket ticket;
    ticket.instance = m_instance;
    ticket.startNumber = m_startNumber;
    ticket.processNonce = m_processNonce;
    ticket.sequence = m_firstSequence + m_records.size();
    ticket.mintTime = milliseconds(std::floor(now.getCount()));
    ticket.service = service;
    ticket.className = className;
    ticket_record record;
    record.mintTime = ticket.mintTime;
    m_records.push_back(record);
    return ticket;
}

ticket_result ticket_registry::submit(
    milliseconds now, const order_ticket& ticket, std::uint64_t requestDigest)
{
    auto known = lookUp(now, ticket);
    if (known.verdict == ticket_verdict::TicketOwnerGone || known.verdict == ticket_verdict::TicketExpired)
        return known;
    auto* record = findRecord(ticket.sequence);
    if (!record)
        return known;
    if (known.verdict == ticket_verdict::Run) {
        record->state = record_state::Running;
        record->requestDigest = requestDigest;
        m_running.emplace(ticket.sequence, running_order {});
        return known;
    }
    if (record->requestDigest != requestDigest)
        return { ticket_verdict::TicketMismatch, nullptr };
    return known;
}

ticket_result ticket_registry::voidTicket(milliseconds now, const order_ticket& ticket)
{
    auto known = lookUp(now, ticket);
    if (known.verdict != ticket_verdict::Run)
        return known;
    findRecord(ticket.sequence)->state = record_state::Void;
    return { ticket_verdict::TicketExpired, nullptr };
}

void ticket_registry::finish(milliseconds now, const order_ticket& ticket, order_response response)
{
    if (!isIssuedHere(ticket))
        return;
    auto* record = findRecord(ticket.sequence);
    if (!record || (record->state != record_state::Running && record->state != record_state::Unknown))
        return;
    dropExpiredResponses(now);
    storeResponse(now, ticket.sequence, std::move(response));
    endRun(now, ticket, record_state::Answered);
}

void ticket_registry::refuse(milliseconds now, const order_ticket& ticket)
{
    endRun(now, ticket, record_state::Void);
}

void ticket_registry::markUnknown(milliseconds now, const order_ticket& ticket)
{
    endRun(now, ticket, record_state::Unknown);
}

std::optional<std::uint64_t> ticket_registry::addWaiter(const order_ticket& ticket, result_hook notify)
{
    const auto running = m_running.find(ticket.sequence);
    if (!isIssuedHere(ticket) || running == m_running.end())
        return fail(
            error_kind::TicketInProgress, "the order is not running, so there is nothing to wait for");
    auto& waiters = running->second.waiters;
    if (waiters.size() >= m_limits.maxWaiters)
        return fail(error_kind::TicketInProgress, "too many repeats wait for the order");
    waiters.push_back({ m_nextWaiterId, std::move(notify) });
    return m_nextWaiterId++;
}

void ticket_registry::removeWaiter(const order_ticket& ticket, std::uint64_t waiterId)
{
    const auto running = m_running.find(ticket.sequence);
    if (!isIssuedHere(ticket) || running == m_running.end())
        return;
    auto& waiters = running->second.waiters;
    const auto hasId = [waiterId](const registered_waiter& item) { return item.id == waiterId; };
    waiters.erase(std::remove_if(waiters.begin(), waiters.end(), hasId), waiters.end());
}

ticket_state ticket_registry::query(milliseconds now, const order_ticket& ticket)
{
    switch (lookUp(now, ticket).verdict) {
    case ticket_verdict::Run:
        return ticket_state::Unused;
    case ticket_verdict::InProgress:
        return ticket_state::Running;
    case ticket_verdict::AnswerKept:
    case ticket_verdict::AnswerDropped:
        return ticket_state::Answered;
    case ticket_verdict::TicketExpired:
        return ticket_state::Expired;
    case ticket_verdict::TicketMismatch:
    case ticket_verdict::TicketOutcomeUnknown:
    case ticket_verdict::TicketOwnerGone:
        break;
    }
    return ticket_state::Unknown;
}

bool ticket_registry::isIssuedHere(const order_ticket& ticket) const
{
    return ticket.instance == m_instance && ticket.startNumber == m_startNumber
        && ticket.processNonce == m_processNonce;
}

bool ticket_registry::isExpired(milliseconds now, const ticket_record& record) const
{
    return now - record.mintTime >= m_limits.ticketLifetime;
}

ticket_registry::ticket_record* ticket_registry::findRecord(std::uint64_t sequence)
{
    if (sequence < m_firstSequence || sequence - m_firstSequence >= m_records.size())
        return nullptr;
    return &m_records[sequence - m_firstSequence];
}

/// Returns the state of a ticket, with Run for an unused one. Marks an unused ticket as void once it has
/// expired.
ticket_result ticket_registry::lookUp(milliseconds now, const order_ticket& ticket)
{
    if (!isIssuedHere(ticket))
        return { ticket_verdict::TicketOwnerGone, nullptr };
    dropExpiredResponses(now);
    auto* record = findRecord(ticket.sequence);
    if (!record)
        return { ticket_verdict::TicketOutcomeUnknown, nullptr };
    if (record->state == record_state::Unused && isExpired(now, *record))
        record->state = record_state::Void;
    switch (record->state) {
    case record_state::Unused:
        return { ticket_verdict::Run, nullptr };
    case record_state::Running:
        return { ticket_verdict::InProgress, nullptr };
    case record_state::Void:
        return { ticket_verdict::TicketExpired, nullptr };
    case record_state::Unknown:
        return { ticket_verdict::TicketOutcomeUnknown, nullptr };
    case record_state::Answered:
        break;
    }
    const auto kept = m_responses.find(ticket.sequence);
    if (kept == m_responses.end())
        return { ticket_verdict::AnswerDropped, nullptr };
    return { ticket_verdict::AnswerKept, kept->second.response };
}

/// Ends a running order and notifies its waiters. A response may also replace an unknown outcome.
void ticket_registry::endRun(milliseconds now, const order_ticket& ticket, record_state state)
{
    if (!isIssuedHere(ticket))
        return;
    auto* record = findRecord(ticket.sequence);
    const bool isLateResponse
        = record && record->state == record_state::Unknown && state == record_state::Answered;
    if (record && (record->state == record_state::Running || isLateResponse))
        record->state = state;
    const auto running = m_running.find(ticket.sequence);
    if (running == m_running.end())
        return;
    const auto waiters = std::move(running->second.waiters);
    m_running.erase(running);
    const auto result = lookUp(now, ticket);
    for (const auto& item : waiters)
        item.notify(result);
}

void ticket_registry::storeResponse(milliseconds now, std::uint64_t sequence, order_response response)
{
    const auto bytes = response.getMemoryBytes();
    if (bytes > m_limits.maxResponseBytes)
        return;
    while (m_responseBytes + bytes > m_limits.maxResponseBytes)
        dropOldestResponse();
    m_responses[sequence] = { std::make_shared<const order_response>(std::move(response)), bytes };
    m_responseExpiries.push_back({ now + m_limits.responseLifetime, sequence });
    m_responseBytes += bytes;
}

void ticket_registry::dropOldestResponse()
{
    const auto kept = m_responses.find(m_responseExpiries.front().sequence);
    m_responseBytes -= kept->second.bytes;
    m_responses.erase(kept);
    m_responseExpiries.pop_front();
}

void ticket_registry::dropExpiredResponses(milliseconds now)
{
    while (!m_responseExpiries.empty() && m_responseExpiries.front().expiresAt <= now)
        dropOldestResponse();
}

/// Evicts the oldest ticket if the registry is full. A ticket that is running or not yet expired is never
/// evicted.
/// @return whether there is room for another ticket.
bool ticket_registry::ensureCapacity(milliseconds now)
{
    if (m_records.size() < m_limits.maxTickets)
        return true;
    const auto& oldest = m_records.front();
    if (oldest.state == record_state::Running || !isExpired(now, oldest))
        return false;
    m_records.pop_front();
    ++m_firstSequence;
    return true;
}

} // namespace fuchsiagauge
