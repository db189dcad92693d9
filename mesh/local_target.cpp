#include "mesh/local_target.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fuchsiagauge {
namespace {

    /// A non-idempotent request is not sent on a connection that has been idle for longer than this: the
    /// instance may be closing it, and the request could not be retried safely.
    constexpr milliseconds maxIdleForNonIdempotent { 1000 };
    constexpr milliseconds connectTimeout { 300 }; ///< Short, since the instance is on the same VM.
    constexpr milliseconds idleTimeout { 5000 }; ///< Used if the instance does not state one.

    constexpr int firstServerErrorStatus = 500;
    constexpr int gatewayTimeoutStatus = 504;
    /// Limits how often a request is sent to the local instance. With this limit, an instance that refuses
    /// half of the sends still runs all but about one in a hundred requests.
    constexpr int maxSends = 6;
    constexpr milliseconds minRetryTime { 5 }; ///< A request with less time left is not retried locally.

    pool_limits makePoolLimits(std::shared_ptr<receive_memory> memory)
    {
        pool_limits limits;
        limits.memory = std::move(memory);
        limits.connectTimeout = connectTimeout;
        limits.idleTimeout = idleTimeout;
        return limits;
    }

    /// Describes the response that shows that a request has not run, for the event log.
    std::string describeRefusal(const outgoing_result& outgoing)
    {
        return "status " + std::to_string(outgoing.head.status) + " after "
            + std::to_string(std::lround(outgoing.duration.getCount())) + " ms on a "
            + (outgoing.isConnectionReused ? "kept" : "new") + " connection";
    }

    /// @return the priority in the retry budget of a request that is itself retried, whether or not its
    /// parent is a retry.
    retry_priority getRetryPriority(const peer_call& call)
    {
        if (call.depth == 0)
            return retry_priority::Entry;
        return call.priority == 0 ? retry_priority::ImportantCall : retry_priority::OtherCall;
    }

} // namespace

local_target::local_target(boost::asio::io_context& io, clock time, std::string service, address target,
    const target_protocol& protocol, retry_limits limits, std::shared_ptr<receive_memory> memory,
    local_retry_hook onLocalRetry)
    : m_time(std::move(time))
    , m_protocol(protocol)
    , m_callTrees(std::move(service))
    , m_retryBudget(limits)
    , m_onLocalRetry(std::move(onLocalRetry))
    , m_pool(io, m_time, std::move(target), makePoolLimits(std::move(memory)))
{
}

std::uint64_t local_target::run(const call_request& request, const peer_call& call, attempt_hook onEnd)
{
    const auto now = m_time.now();
    const auto id = ++m_lastId;
    active_request active;
    active.request = request;
    active.call = call;
    active.expiresAt = now + call.timeLeft;
    active.onEnd = std::move(onEnd);
    m_activeRequests.emplace(id, std::move(active));
    if (!m_hasResponded && call.rateLimit)
        m_gate.setRateLimit(call.rateLimit, now);
    if (call.depth == 0 && !isAdmittedAtEntry(call, now)) {
        refuse(id, attempt_outcome::Shed);
        return id;
    }
    if (!isWithinRetryBudget(call, now)) {
        refuse(id, attempt_outcome::OverBudget);
        return id;
    }
    recordArrivalAtGate(call, now);
    m_gate.submit(now,
        { id, call.priority, call.depth, call.rank, now + call.startWithin, call.organisation,
            call.fillHint },
        [this, id](std::optional<error_kind> refusal) {
            if (refusal)
                refuse(id,
                    *refusal == error_kind::TargetLeaving ? attempt_outcome::Leaving
                                                          : attempt_outcome::NoRoom);
            else
                start(id);
        });
    return id;
}

/// Decides by the load of the services that the request's calls will reach, or, if it is not known, by how
/// many requests failed for lack of capacity.
bool local_target::isAdmittedAtEntry(const peer_call& call, milliseconds now)
{
    const double fraction = static_cast<double>(call.rank) / rankCount;
    const auto decision
        = m_usesCallTrees ? m_callTrees.isAdmitted(now, call.route, call.priority, fraction) : std::nullopt;
    return decision.value_or(m_entryAdmission.isAdmitted(call.priority, fraction));
}

/// Counts the work that a request asks of the instance. A rate limit makes it as scarce as slots.
void local_target::recordArrivalAtGate(const peer_call& call, milliseconds now)
{
    if (!m_usesCallTrees)
        return;
    const auto report = m_gate.getReport();
    m_callTrees.onArrival(
        now, call.priority, std::max(report.serviceTime, report.getStartTime(1) * report.slots));
}

bool local_target::isWithinRetryBudget(const peer_call& call, milliseconds now)
{
    switch (call.retryKind) {
    case retry_kind::None:
        return true;
    case retry_kind::Own:
        return m_retryBudget.isRetryAllowed(now, getRetryPriority(call));
    case retry_kind::Inherited:
        break;
    }
    return m_retryBudget.isRetryAllowed(now, retry_priority::Inherited);
}

bool local_target::cancel(std::uint64_t id)
{
    const auto found = m_activeRequests.find(id);
    if (found == m_activeRequests.end())
        return false;
    const auto active = extract(found);
    if (active.sendCount == 0) {
        m_gate.cancel(id);
        return false;
    }
    pooled_http_client::cancel(active.pendingSend);
    m_gate.finish(m_time.now(), std::nullopt, id);
    return true;
}

std::optional<parent_request> local_target::findRunningRequest(const std::string& requestId) const
{
    const auto found = m_runningIds.find(requestId);
    if (found == m_runningIds.end())
        return std::nullopt;
    const auto& active = m_activeRequests.at(found->second);
    return parent_request { active.call.priority, active.call.depth, active.call.rank,
        active.call.retryKind != retry_kind::None, active.expiresAt, active.call.organisation,
        active.downstreamFailure };
}

void local_target::recordDownstreamFailure(const std::string& requestId, downstream_failure failure)
{
    const auto found = m_runningIds.find(requestId);
    if (found == m_runningIds.end())
        return;
    auto& recorded = m_activeRequests.at(found->second).downstreamFailure;
    recorded = std::max(recorded, failure);
}

void local_target::recordDownstreamReply(
    const std::string& requestId, const std::string& service, const attempt_result& result)
{
    if (!m_usesCallTrees)
        return;
    const auto found = m_runningIds.find(requestId);
    if (found == m_runningIds.end() || !result.hasLoad)
        return;
    auto& active = m_activeRequests.at(found->second);
    const auto needs = m_callTrees.onReply(
        m_time.now(), active.call.priority, service, result.load.serviceTime, result.capacities);
    if (result.outcome == attempt_outcome::Answered)
        addNeeds(active.needs, needs);
}

/// Removes a request from all indexes.
local_target::active_request local_target::extract(
    std::unordered_map<std::uint64_t, active_request>::iterator position)
{
    auto active = std::move(position->second);
    const auto started = m_runningIds.find(active.call.requestId);
    if (started != m_runningIds.end() && started->second == position->first)
        m_runningIds.erase(started);
    m_activeRequests.erase(position);
    return active;
}

void local_target::tick()
{
    m_gate.tick(m_time.now());
    m_entryAdmission.tick(m_time.now());
    m_callTrees.tick(m_time.now());
    m_pool.tick();
}

void local_target::setSlots(int slots) { m_gate.setSlots(slots, m_time.now()); }

void local_target::setDraining(bool isDraining) { m_gate.setClosed(isDraining); }

void local_target::onInstanceReplaced()
{
    m_pool.closeIdle();
    m_hasResponded = false;
    m_slowdown = 1;
    m_isInstanceLeaving = false;
    m_gate.setRateLimit(std::nullopt, m_time.now());
}

void local_target::start(std::uint64_t id)
{
    const auto found = m_activeRequests.find(id);
    if (found == m_activeRequests.end())
        return;
    auto& active = found->second;
    const auto now = m_time.now();
    active.startedAt = now;
    m_runningIds[active.call.requestId] = id;
    if (active.call.retryKind == retry_kind::None)
        m_retryBudget.onFirstArrival(now);
    else
        m_retryBudget.onRetry(now, getRetryPriority(active.call));
    sendToInstance(id, active);
}

/// Sends a request to the instance. The request must hold a slot.
void local_target::sendToInstance(std::uint64_t id, active_request& active)
{
    const auto now = m_time.now();
    ++active.sendCount;
    outgoing_request outgoing;
    outgoing.request = std::move(active.request);
    outgoing.expiresAt = active.expiresAt;
    outgoing.id = active.call.requestId;
    const auto timeLeft = std::max(milliseconds(1), active.expiresAt - now);
    m_protocol.addTargetFields(
        { active.call.instance, timeLeft, active.call.callerService,
            active.call.isOrganisationInherited ? std::string() : active.call.organisation },
        outgoing.request.fields);
    if (!active.call.isIdempotent)
        outgoing.maxIdleTime = maxIdleForNonIdempotent;
    outgoing.matchResponse = [this, requestId = active.call.requestId](const response_head& head) {
        return m_protocol.matchResponse(head, requestId);
    };
    active.pendingSend = m_pool.send(
        std::move(outgoing), [this, id](outgoing_result result) { finish(id, std::move(result)); });
}

void local_target::refuse(std::uint64_t id, attempt_outcome outcome)
{
    const auto found = m_activeRequests.find(id);
    if (found == m_activeRequests.end())
        return;
    const auto refused = extract(found);
    attempt_result result;
    result.outcome = outcome;
    describeInstance(refused.call, result);
    if (outcome == attempt_outcome::NoRoom && result.load.isFilling())
        result.detail = std::string("the instance is ") + getFillStateName(getFillState()) + ": "
            + std::to_string(result.load.slots) + " of " + std::to_string(result.load.fullSlots)
            + " slots are usable";
    if (outcome == attempt_outcome::Shed) {
        result.bottleneck
            = m_callTrees.findBottleneck(m_time.now(), refused.call.route, refused.call.priority);
        if (!result.bottleneck.empty())
            result.detail = "too much work at service " + result.bottleneck;
    }
    refused.onEnd(std::move(result));
}

void local_target::finish(std::uint64_t id, outgoing_result outgoing)
{
    if (m_activeRequests.count(id) == 0)
        return;
    // May start or refuse other requests, so the request is looked up afterwards.
    recordArrival(outgoing);
    const auto found = m_activeRequests.find(id);
    if (found == m_activeRequests.end())
        return;
    if (mayRetryLocally(found->second, outgoing)) {
        auto& active = found->second;
        m_retryBudget.onRetry(m_time.now(), getRetryPriority(active.call));
        m_onLocalRetry(active.call.requestId, describeRefusal(outgoing));
        active.request = std::move(outgoing.request);
        m_protocol.sanitizeClientFields(active.request.fields);
        sendToInstance(id, active);
        return;
    }
    const auto now = m_time.now();
    const auto active = extract(found);
    const auto heldFor = now - active.startedAt;
    auto result = readResult(std::move(outgoing));
    result.downstreamFailure = active.downstreamFailure;
    recordOutcome(active, result);
    const bool isServiceTimeSample
        = result.outcome == attempt_outcome::Answered || result.outcome == attempt_outcome::TimedOut;
    m_gate.finish(now, isServiceTimeSample ? std::optional(heldFor) : std::nullopt, id);
    describeInstance(active.call, result);
    updateEntryAdmission(active.call, result);
    constexpr int firstErrorStatus = 400;
    if (m_usesCallTrees && result.outcome == attempt_outcome::Answered
        && result.head.status < firstErrorStatus)
        m_callTrees.onCompletion(active.call.route, active.needs, heldFor);
    active.onEnd(std::move(result));
}

slot_report local_target::getLoad() const
{
    auto report = m_gate.getReport();
    if (m_slowdown != 1)
        report.pace = { m_slowdown, m_time.now() - m_slowdownAt };
    return report;
}

/// Tells the gate how a request ended, as far as it shows how much the instance can take.
void local_target::recordOutcome(const active_request& active, const attempt_result& result)
{
    auto outcome = fill_outcome::Failed;
    if (result.outcome == attempt_outcome::Rejected || result.outcome == attempt_outcome::Misdirected)
        outcome = fill_outcome::Rejected;
    else if (result.outcome == attempt_outcome::Answered
        && (result.head.status < firstServerErrorStatus
            || result.downstreamFailure != downstream_failure::None))
        outcome = fill_outcome::Answered;
    const auto now = m_time.now();
    m_gate.recordOutcome(now, outcome, now - active.startedAt, active.call.fillHint);
}

/// Adds what is known of the instance to the result of an attempt.
void local_target::describeInstance(const peer_call& call, attempt_result& result) const
{
    result.load = getLoad();
    if (m_usesCallTrees)
        result.capacities
            = m_callTrees.getCapacities(m_time.now(), call.route, call.priority, result.load.slots);
    result.hasLoad = true;
    result.isInstanceLeaving = m_isInstanceLeaving;
}

/// Tells the gate whether the instance rejects requests although it has free slots, and which rate it allows.
void local_target::recordArrival(const outgoing_result& outgoing)
{
    if (!outgoing.isAnswered)
        return;
    const auto info = m_protocol.parseResponse(outgoing.head);
    if (info.isMisdirected)
        return;
    if (!info.isFull)
        m_gate.recordArrival(info.isRejected);
    recordStatements(info);
}

/// Records what the instance states about itself in a response.
void local_target::recordStatements(const target_response_info& info)
{
    m_hasResponded = true;
    m_slowdown = info.slowdown.value_or(1);
    m_slowdownAt = m_time.now();
    m_isInstanceLeaving = m_isInstanceLeaving || info.isLeaving;
    // A rejection without a limit does not show that the limit has ended.
    if (info.rateLimit || !info.isRejected)
        m_gate.setRateLimit(info.rateLimit, m_time.now());
}

/// Decides whether a request that the instance refused is sent to it again. An instance that refuses although
/// it has free slots may accept the same request a moment later, and a local retry uses no network link. If
/// so, the send is counted against the rate limit.
///
/// A non-idempotent request is sent to an instance only once: a late copy of its refusal could not be told
/// from the response to a second send, which may be running.
bool local_target::mayRetryLocally(const active_request& active, const outgoing_result& outgoing)
{
    if (!active.call.isIdempotent || !outgoing.isAnswered || active.sendCount >= maxSends
        || m_gate.isClosed())
        return false;
    const auto info = m_protocol.parseResponse(outgoing.head);
    if (!info.isRejected || info.isMisdirected || info.isFull)
        return false;
    const auto now = m_time.now();
    return active.expiresAt - now >= minRetryTime
        && m_retryBudget.isRetryAllowed(now, getRetryPriority(active.call)) && m_gate.tryCountResend(now);
}

void local_target::updateEntryAdmission(const peer_call& call, const attempt_result& result)
{
    if (call.depth > 0)
        return;
    const bool isAnswered = result.outcome == attempt_outcome::Answered;
    const bool isLate = result.outcome == attempt_outcome::TimedOut
        || (isAnswered && result.head.status == gatewayTimeoutStatus);
    if (isAnswered || isLate)
        m_entryAdmission.onEnd(
            call.priority, isLate || result.downstreamFailure == downstream_failure::NoRoom);
}

attempt_result local_target::readResult(outgoing_result outgoing)
{
    attempt_result result;
    if (!outgoing.isAnswered) {
        result.detail = outgoing.failure.detail;
        if (!outgoing.mayHaveArrived)
            result.outcome = attempt_outcome::Unreachable;
        else if (outgoing.failure.kind == error_kind::AnswerTimeout)
            result.outcome = attempt_outcome::TimedOut;
        return result;
    }
    const auto info = m_protocol.parseResponse(outgoing.head);
    if (info.slots > 0)
        m_gate.setSlots(info.slots, m_time.now());
    result.outcome = attempt_outcome::Answered;
    if (info.isMisdirected)
        result.outcome = attempt_outcome::Misdirected;
    else if (info.isRejected)
        result.outcome = attempt_outcome::Rejected;
    if (result.outcome != attempt_outcome::Answered)
        result.detail = describeRefusal(outgoing);
    m_protocol.sanitizeResponseFields(outgoing.head.fields);
    result.head = std::move(outgoing.head);
    result.body = std::move(outgoing.body);
    return result;
}

} // namespace fuchsiagauge
