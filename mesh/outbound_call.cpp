#include "mesh/outbound_call.h"

#include "core/text_fields.h"
#include "mesh/pace_header.h"
#include "policy/retry_schedule.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fuchsiagauge {
namespace {

    /// Share of the latency target and of the timeout that a request may wait in queues; the rest is left for
    /// running it.
    constexpr double maxQueueShare = 0.7;
    constexpr milliseconds minAttemptTime { 5 }; ///< With less time left, no attempt is started.
    /// Share of the parent's remaining time that one downstream call may lose: a parent makes about five
    /// calls one after the other.
    constexpr double callSlackShare = 0.2;
    constexpr int unauthorizedStatus = 401;
    constexpr int notFoundStatus = 404;
    constexpr int requestTimeoutStatus = 408;
    constexpr int misdirectedStatus = 421;
    constexpr int tooManyRequestsStatus = 429;
    constexpr int unavailableStatus = 503;
    constexpr int badGatewayStatus = 502;
    constexpr int gatewayTimeoutStatus = 504;
    constexpr int firstServerErrorStatus = 500;
    constexpr double retryAfterLatencyShare = 0.4; ///< Mean Retry-After as a share of the latency target.
    constexpr double maxRetryAfterS = 1; ///< After longer pauses most routes miss their latency target.
    constexpr double noRulesRetryAfterS = 0.3; ///< A starting node receives its routes within this time.
    constexpr double unprovedRulesRetryAfterS = 0.5; ///< Mean; other nodes may accept the key at once.
    /// Share of the requests taken by a stopping node that may last beyond its end.
    constexpr double maxCutOffShare = 0.05;
    constexpr double maxNonIdempotentCutOffShare = 0.01; ///< Their callers can't send them again.
    constexpr double msPerSecond = 1000;

    health_signal getHealthSignal(const attempt_result& result)
    {
        switch (result.outcome) {
        case attempt_outcome::Answered:
            if (result.head.status < firstServerErrorStatus)
                return health_signal::Success;
            return result.downstreamFailure == downstream_failure::None ? health_signal::Failure
                                                                        : health_signal::Cancelled;
        case attempt_outcome::NoRoom:
        case attempt_outcome::Shed:
            return health_signal::Refusal;
        case attempt_outcome::OverBudget:
            return health_signal::Cancelled;
        case attempt_outcome::Leaving:
            return health_signal::Leaving;
        case attempt_outcome::Unreachable:
            return health_signal::Unreachable;
        case attempt_outcome::Misdirected:
            return health_signal::Misdirected;
        case attempt_outcome::Rejected:
        case attempt_outcome::Lost:
        case attempt_outcome::TimedOut:
            break;
        }
        return health_signal::Failure;
    }

    /// @return whether clients take a status as the promise that the request has not run.
    bool promisesNotRun(int status)
    {
        return status == requestTimeoutStatus || status == misdirectedStatus
            || status == tooManyRequestsStatus || status == unavailableStatus;
    }

} // namespace

outbound_call::outbound_call(mesh_context& context, std::shared_ptr<incoming_call> incoming)
    : m_context(context)
    , m_incoming(std::move(incoming))
    , m_rules(context.rules)
    , m_rank(static_cast<int>(context.random() * rankCount))
{
}

void outbound_call::start()
{
    m_incoming->setDisconnectHook([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onClientDisconnect();
    });
    m_incoming->setCutOffHook([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->cutOff();
    });
    if (!selectRoute())
        return;
    if (m_organisation && m_organisation->ratePerSecond > 0)
        awaitQuota();
    else
        startAttempt();
}

/// Starts the first attempt once the request is within the limit of its organisation.
void outbound_call::awaitQuota()
{
    m_context.quota.admit(m_context.time.now(), m_organisation->name,
        [self = shared_from_this()](const quota_agent::decision& result) { self->onQuotaDecision(result); });
}

void outbound_call::onQuotaDecision(const quota_agent::decision& result)
{
    m_hasQuotaCredit = result.isAdmitted;
    if (m_isEnded) {
        giveBackQuota();
        return;
    }
    if (result.isAdmitted) {
        startAttempt();
        return;
    }
    respondWithError(tooManyRequestsStatus, "quota", "limit of organisation " + m_organisation->name,
        std::ceil(result.retryAfter.getCount()) / msPerSecond);
}

/// Returns the credit of a request that has not run and never will.
void outbound_call::giveBackQuota()
{
    if (std::exchange(m_hasQuotaCredit, false))
        m_context.quota.giveBack(m_context.time.now(), m_organisation->name);
}

bool outbound_call::selectRoute()
{
    auto& request = m_incoming->getRequest();
    m_clientInfo = m_context.protocol.parseClientFields(request.fields);
    m_expiresAt = m_incoming->getArrivalTime() + m_clientInfo.timeLeft.value_or(milliseconds(1e9));
    if (!m_rules || m_rules->version == 0) {
        respondWithError(unavailableStatus, "no-rules", "no traffic rules received yet", noRulesRetryAfterS);
        return false;
    }
    m_route = m_rules->findRoute(m_clientInfo.host, request.getPath());
    if (!m_route) {
        if (m_context.usesKeys() && m_clientInfo.organisationKey && !mayUseKeys())
            return false;
        respondWithError(notFoundStatus, "no-route",
            "no matching route in rules version " + std::to_string(m_rules->version), std::nullopt);
        return false;
    }
    m_expiresAt = std::min(m_expiresAt, m_incoming->getArrivalTime() + m_route->timeout);
    m_service = m_context.splitter.choose(*m_route);
    m_history = attempt_history(m_route->maxInstances, m_route->isIdempotent);
    inheritFromParent();
    if (!identifyOrganisation())
        return false;
    m_context.protocol.sanitizeClientFields(request.fields);
    return true;
}

/// Finds the organisation whose key the request has and removes the key from the request. A key that no
/// organisation holds is refused even if the rules require none: it may have been revoked with all others.
/// @return whether the request may go on; if not, it has been answered.
bool outbound_call::identifyOrganisation()
{
    if (!m_context.usesKeys())
        return true;
    m_context.protocol.removeOrganisationFields(m_incoming->getRequest().fields);
    const auto key = std::exchange(m_clientInfo.organisationKey, std::nullopt);
    if (m_route->isAnonymous || (!key && (m_parent || !m_rules->requiresKeys())))
        return true;
    if (!key && !m_clientInfo.parentId.empty()) {
        respondWithError(unavailableStatus, "no-parent",
            "a call without a key whose parent request is not running here",
            getRetryAfterS(attempt_outcome::NoRoom));
        return false;
    }
    if (key && !mayUseKeys())
        return false;
    m_organisation = key ? m_rules->findOrganisation(*key) : nullptr;
    if (m_organisation)
        return true;
    respondWithError(unauthorizedStatus, key ? "unknown-key" : "no-key",
        key ? "no organisation holds the key" : "the route asks for a key", std::nullopt);
    return false;
}

/// Refuses a request with a key if the rules are not proved current: the key may have been revoked, or
/// published, since.
/// @return whether the request may go on; if not, it has been answered.
bool outbound_call::mayUseKeys()
{
    if (m_context.mayUseKeys())
        return true;
    respondWithError(unavailableStatus, "unproved-rules", "the rules are not proved current",
        unprovedRulesRetryAfterS * (0.5 + m_context.random()));
    return false;
}

/// @return the priority of the request: that of the organisation first, then that of the route.
int outbound_call::getPriority() const
{
    if (m_parent)
        return m_parent->priority;
    if (!m_rules->requiresKeys())
        return m_route->priority;
    const auto organisationPriority = m_organisation ? m_organisation->priority : std::nullopt;
    return combinePriorities(organisationPriority, m_route->priority);
}

/// Looks up the request that the local instance makes this call for. The call inherits its priority and
/// expires with it at the latest.
void outbound_call::inheritFromParent()
{
    if (m_clientInfo.parentId.empty())
        return;
    m_parent = m_context.target.findRunningRequest(m_clientInfo.parentId);
    if (!m_parent)
        return;
    m_expiresAt = std::min(m_expiresAt, m_parent->expiresAt);
}

milliseconds outbound_call::getStartDeadline() const
{
    const auto byLatencyTarget = m_incoming->getArrivalTime() + m_route->latencyTarget * maxQueueShare;
    const auto byExpiry
        = m_incoming->getArrivalTime() + (m_expiresAt - m_incoming->getArrivalTime()) * maxQueueShare;
    return std::min(byLatencyTarget, byExpiry);
}

void outbound_call::startAttempt()
{
    const auto now = m_context.time.now();
    if (m_expiresAt - now < minAttemptTime) {
        attempt_result expired;
        expired.outcome = attempt_outcome::NoRoom;
        expired.detail = "not enough time left for an attempt";
        endAttempts(expired);
        return;
    }
    const auto* chosen = chooseInstance(now);
    if (!chosen) {
        attempt_result noInstance;
        noInstance.outcome = attempt_outcome::Unreachable;
        noInstance.detail = getLastError().detail;
        endAttempts(noInstance);
        return;
    }
    if (!isLikelyToEndInTime(*chosen, now)) {
        attempt_result stopping;
        stopping.outcome = attempt_outcome::Leaving;
        stopping.detail = "this node is likely to stop before the request ends";
        endAttempts(stopping);
        return;
    }
    sendAttempt(*chosen);
}

/// @return whether the request is likely to end before this node cuts it off.
bool outbound_call::isLikelyToEndInTime(const instance_directory::entry& chosen, milliseconds now) const
{
    if (!m_context.endsAt || m_expiresAt <= *m_context.endsAt)
        return true;
    const auto left = *m_context.endsAt - now;
    return m_context.picker.getExcessProbability(chosen.record.id, m_route->name, left)
        <= (m_route->isIdempotent ? maxCutOffShare : maxNonIdempotentCutOffShare);
}

const instance_directory::entry* outbound_call::chooseInstance(milliseconds now)
{
    const auto* requiredInstance = m_context.directory.find(m_history.getRequiredInstance());
    if (requiredInstance && !requiredInstance->isLeaving())
        return requiredInstance;
    return m_context.picker.choose(now, makePickRequest(now), m_context.directory);
}

pick_request outbound_call::makePickRequest(milliseconds now) const
{
    return { m_service, m_route->name, m_route->latencyTarget, getLatencySlack(now), m_route->isIdempotent,
        m_history.getTriedInstances() };
}

/// @return how much delay the request can tolerate. A downstream call gets only a share of its parent's
/// remaining time, since it is one of several calls.
milliseconds outbound_call::getLatencySlack(milliseconds now) const
{
    if (!m_parent)
        return m_route->latencyTarget;
    return std::min(m_route->latencyTarget, (m_expiresAt - now) * callSlackShare);
}

void outbound_call::sendAttempt(const instance_directory::entry& chosen)
{
    const auto now = m_context.time.now();
    m_instance = chosen.record.id;
    const auto number = ++m_attemptCount;
    m_attempt = attempt { number, m_instance, chosen.record.startedAtMs, now, {}, 0, false };
    m_history.onSend(m_instance);
    m_context.picker.onSend(m_instance, now);
    peer_call call;
    call.priority = getPriority();
    call.depth = m_parent ? m_parent->depth + 1 : 0;
    call.rank = m_parent ? m_parent->rank : m_rank;
    call.retryKind = getRetryKind();
    call.startWithin = std::max(milliseconds(), getStartDeadline() - now);
    call.timeLeft = m_expiresAt - now;
    call.isIdempotent = m_route->isIdempotent;
    call.instance = m_instance;
    call.rateLimit = m_context.picker.getRateLimit(m_instance);
    call.fillHint = m_context.picker.makeFillHint(now, makePickRequest(now), chosen, m_context.directory);
    call.callerService = m_context.config.service;
    call.requestId = m_clientInfo.requestId;
    call.route = m_route->name;
    if (m_organisation) {
        call.organisation = m_organisation->name;
    } else if (m_parent) {
        call.organisation = m_parent->organisation;
        call.isOrganisationInherited = true;
    }
    recordSpillover(chosen);
    if (chosen.record.target != m_context.config.target) {
        sendToPeer(chosen, call);
        return;
    }
    const auto runId = m_context.target.run(
        m_incoming->getRequest(), call, [self = shared_from_this(), number](const attempt_result& result) {
            self->onAttemptEnd(number, result);
        });
    // The attempt may have ended before run() has returned.
    if (m_attempt && m_attempt->number == number)
        m_attempt->localRunId = runId;
}

retry_kind outbound_call::getRetryKind() const
{
    if (m_history.wasReceived())
        return retry_kind::Own;
    return m_parent && m_parent->isRetry ? retry_kind::Inherited : retry_kind::None;
}

/// Counts and logs a request that is sent to another availability zone or region.
void outbound_call::recordSpillover(const instance_directory::entry& chosen)
{
    const auto& location = m_context.config.location;
    if (chosen.record.zone == location.zone)
        return;
    const bool isSameRegion = location.isSameRegion(chosen.record.zone, location.zone);
    (isSameRegion ? m_context.counters.zoneSpillovers : m_context.counters.regionSpillovers).add();
    if (!m_context.log.shouldWrite(event_kind::RequestSpilled))
        return;
    m_context.log.write(event_kind::RequestSpilled, m_clientInfo.requestId,
        { { "route", m_route->name }, { "service", m_service }, { "instance", m_instance },
            { "from", location.zone }, { "to", chosen.record.zone },
            { "attempt", static_cast<double>(m_history.getTriedInstances().size()) } });
}

void outbound_call::sendToPeer(const instance_directory::entry& chosen, const peer_call& call)
{
    outgoing_request outgoing;
    outgoing.request = m_incoming->getRequest();
    outgoing.request.fields.add(peer_header::call, formatPeerCall(call));
    if (call.rateLimit)
        outgoing.request.fields.add(peer_header::rateLimit, formatRateLimit(*call.rateLimit));
    if (call.fillHint)
        outgoing.request.fields.add(fillHintHeader, formatFillHint(*call.fillHint));
    if (!call.organisation.empty())
        outgoing.request.fields.add(peer_header::organisation, formatPeerOrganisation(call));
    outgoing.expiresAt = m_expiresAt;
    const address peer { chosen.record.target.host, m_context.config.peersListener.port };
    m_attempt->peerRequest = m_context.peerPools.get(peer).send(
        std::move(outgoing), [self = shared_from_this(), number = m_attempt->number](outgoing_result result) {
            self->onAttemptEnd(number, self->readPeerResult(std::move(result)));
        });
}

attempt_result outbound_call::readPeerResult(outgoing_result outgoing) const
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
    const auto* value = outgoing.head.fields.find(peer_header::reply);
    const auto reply = value ? parsePeerReply(*value) : std::nullopt;
    if (!reply) {
        result.detail = "the reply envelope of the instance's node is missing or invalid";
        return result;
    }
    result.outcome = reply->outcome;
    result.load = { reply->busy, reply->waiting, reply->slots, reply->serviceTime,
        parseRejectedShare(outgoing.head.fields.find(peer_header::rejectedShare)),
        parseRateLimit(outgoing.head.fields.find(peer_header::rateLimit)),
        parseFullSlots(outgoing.head.fields.find(fullSlotsHeader)),
        parsePace(outgoing.head.fields.find(peer_header::pace)) };
    result.hasLoad = true;
    result.isInstanceLeaving = outgoing.head.fields.find(peer_header::leaving) != nullptr;
    result.downstreamFailure = reply->downstreamFailure;
    outgoing.head.fields.erase(peer_header::reply);
    outgoing.head.fields.erase(peer_header::rejectedShare);
    outgoing.head.fields.erase(peer_header::rateLimit);
    outgoing.head.fields.erase(peer_header::pace);
    outgoing.head.fields.erase(fullSlotsHeader);
    result.capacities = parseCapacities(outgoing.head.fields.find(peer_header::capacity));
    outgoing.head.fields.erase(peer_header::leaving);
    outgoing.head.fields.erase(peer_header::capacity);
    result.head = std::move(outgoing.head);
    if (result.outcome == attempt_outcome::Answered)
        result.body = std::move(outgoing.body);
    else
        result.detail = std::move(outgoing.body);
    return result;
}

void outbound_call::onAttemptEnd(std::uint64_t number, const attempt_result& result)
{
    const bool isLatest = m_attempt && m_attempt->number == number;
    auto& open = isLatest ? m_attempt : m_unresponsiveAttempt;
    if (!open || open->number != number)
        return;
    auto ended = std::move(*open);
    open.reset();
    recordAttempt(ended, result);
    if (m_isEnded)
        return;
    m_instance = ended.instance;
    const bool isAnswered = result.outcome == attempt_outcome::Answered;
    if (isAnswered && !m_route->isIdempotent && promisesNotRun(result.head.status)) {
        attempt_result unconfirmed;
        unconfirmed.detail = "the instance refused the request without stating that it has not run";
        m_possibleRunResult = unconfirmed;
        finish(unconfirmed);
        return;
    }
    if (isAnswered && result.head.status < firstServerErrorStatus) {
        cancelAttempt(m_unresponsiveAttempt, health_signal::TimedOut);
        cancelAttempt(m_attempt, health_signal::Cancelled);
        respond(result);
        return;
    }
    if (!hasNotRun(result.outcome))
        m_possibleRunResult = result;
    if (m_attempt)
        return;
    if (prepareRetry(ended, result))
        startAttempt();
    else
        endAttempts(result);
}

/// Ends the request, unless its first instance may still respond and no other one has.
void outbound_call::endAttempts(const attempt_result& last)
{
    if (!m_unresponsiveAttempt || last.outcome == attempt_outcome::Answered) {
        cancelAttempt(m_unresponsiveAttempt, health_signal::TimedOut);
        finish(last);
        return;
    }
    m_attempt = std::move(m_unresponsiveAttempt);
    m_unresponsiveAttempt.reset();
    m_instance = m_attempt->instance;
}

/// Ends the request after its last attempt. If the last attempt did not run the request but an earlier one
/// may have, the result of the earlier one is used.
void outbound_call::finish(const attempt_result& last)
{
    const auto finalResult = m_possibleRunResult && hasNotRun(last.outcome) ? *m_possibleRunResult : last;
    if (finalResult.outcome == attempt_outcome::Answered)
        respond(finalResult);
    else
        failRequest(finalResult);
}

void outbound_call::recordAttempt(const attempt& ended, const attempt_result& result)
{
    const auto now = m_context.time.now();
    if (result.hasLoad)
        m_context.picker.onReport(ended.instance, now, result.load);
    if (m_parent)
        m_context.target.recordDownstreamReply(m_clientInfo.parentId, m_service, result);
    if (result.isInstanceLeaving)
        m_context.directory.markLeaving(ended.instance, ended.instanceStartedAtMs, now);
    const auto signal = getHealthSignal(result);
    m_context.picker.onEnd(ended.instance, now, signal);
    const bool hasFreeSlots
        = result.hasLoad && result.load.waiting == 0 && result.load.busy < result.load.slots;
    if (signal == health_signal::Success && hasFreeSlots)
        m_context.picker.onRunTime(ended.instance, m_route->name, now - ended.sentAt);
    const bool isAvoided = signal == health_signal::Unreachable || signal == health_signal::Leaving
        || signal == health_signal::Misdirected;
    if (isAvoided) {
        m_context.log.write(event_kind::InstanceAvoided, m_clientInfo.requestId,
            { { "instance", ended.instance },
                { "reason", std::string(getAttemptOutcomeName(result.outcome)) },
                { "detail", result.detail } });
    }
    m_context.counters.countAttempt(ended.instance, result.outcome);
    if (!result.bottleneck.empty())
        m_context.counters.countTreeShed(result.bottleneck);
    if (signal == health_signal::Misdirected && m_context.onStaleInstance)
        m_context.onStaleInstance();
}

/// Decides whether another attempt follows, and records the retry. The fleet-wide retry budget is not checked
/// here but by the node of the next instance.
bool outbound_call::prepareRetry(attempt& ended, const attempt_result& result)
{
    if (!std::exchange(ended.isInHistory, true))
        m_history.onEnd(result.outcome);
    const bool hasTime = m_expiresAt - m_context.time.now() >= minAttemptTime;
    if (!hasTime || !m_history.mayRetry(result.outcome, result.downstreamFailure) || !canParentComplete())
        return false;
    if (isReceivedByInstance(result.outcome))
        recordRetry(ended, result);
    return true;
}

/// @return whether the request that this call is made for can still complete, so that a retry is of use.
bool outbound_call::canParentComplete() const
{
    if (!m_parent || !m_context.config.usesCallTrees)
        return true;
    const auto parent = m_context.target.findRunningRequest(m_clientInfo.parentId);
    return parent && parent->downstreamFailure != downstream_failure::NoRoom;
}

void outbound_call::recordRetry(const attempt& ended, const attempt_result& result)
{
    m_context.counters.retries.add();
    const int status = result.outcome == attempt_outcome::Answered ? result.head.status : 0;
    m_context.log.write(event_kind::RequestRepeated, m_clientInfo.requestId,
        { { "route", m_route->name }, { "instance", ended.instance },
            { "outcome", std::string(getAttemptOutcomeName(result.outcome)) },
            { "status", static_cast<double>(status) }, { "detail", result.detail } });
}

void outbound_call::respond(const attempt_result& result)
{
    const auto now = m_context.time.now();
    const auto latency = now - m_incoming->getArrivalTime();
    m_context.counters.countRequest(m_route->name, result.head.status, {}, latency, now);
    const auto kind = result.head.status >= firstServerErrorStatus ? event_kind::RequestFailed
                                                                   : event_kind::RequestServed;
    if (m_context.log.shouldWrite(kind)) {
        m_context.log.write(kind, m_clientInfo.requestId,
            { { "route", m_route->name }, { "service", m_service }, { "instance", m_instance },
                { "reason",
                    std::string(result.downstreamFailure == downstream_failure::None
                            ? "instance"
                            : "failed further down") },
                { "status", static_cast<double>(result.head.status) }, { "ms", latency.getCount() },
                { "attempts", static_cast<double>(m_history.getTriedInstances().size()) } });
    }
    if (result.head.status >= firstServerErrorStatus)
        recordDownstreamFailure(std::max(result.downstreamFailure, downstream_failure::Failed));
    markEnded();
    m_incoming->respond(result.head, result.body);
}

/// Records with the parent request that this call failed, so that a failure of the parent is not attributed
/// to the instance that runs it.
void outbound_call::recordDownstreamFailure(downstream_failure failure)
{
    if (m_parent && failure != downstream_failure::None)
        m_context.target.recordDownstreamFailure(m_clientInfo.parentId, failure);
}

/// Ends the request without a response of an instance. It is refused with status 503, as not run, only if no
/// instance can have run it.
void outbound_call::failRequest(const attempt_result& last)
{
    const std::string reason = getAttemptOutcomeName(last.outcome);
    if (!m_possibleRunResult) {
        giveBackQuota();
        const bool isRejected
            = last.outcome == attempt_outcome::Rejected || last.outcome == attempt_outcome::OverBudget;
        recordDownstreamFailure(isRejected ? downstream_failure::Rejected : downstream_failure::NoRoom);
        respondWithError(unavailableStatus, reason, last.detail, getRetryAfterS(last.outcome));
        return;
    }
    recordDownstreamFailure(downstream_failure::Failed);
    const bool isTimeout = last.outcome == attempt_outcome::TimedOut;
    respondWithError(isTimeout ? gatewayTimeoutStatus : badGatewayStatus, reason, last.detail, std::nullopt);
}

void outbound_call::respondWithError(
    int status, const std::string& reason, const std::string& detail, std::optional<double> retryAfterS)
{
    const auto now = m_context.time.now();
    const auto latency = now - m_incoming->getArrivalTime();
    const auto routeName = m_route ? m_route->name : std::string();
    m_context.counters.countRequest(routeName, status, reason, latency, now);
    const auto kind = status == badGatewayStatus || status == gatewayTimeoutStatus
        ? event_kind::RequestFailed
        : event_kind::RequestRefused;
    m_context.log.write(kind, m_clientInfo.requestId,
        { { "route", routeName }, { "service", m_service }, { "instance", m_instance }, { "reason", reason },
            { "detail", detail }, { "status", static_cast<double>(status) }, { "ms", latency.getCount() },
            { "attempts", static_cast<double>(m_history.getTriedInstances().size()) },
            { "left_ms", (m_expiresAt - now).getCount() },
            { "rules", static_cast<double>(m_rules ? m_rules->version : 0) } });
    response_head head;
    head.status = status;
    head.fields.add("Content-Type", "application/json");
    if (retryAfterS)
        head.fields.add("Retry-After", formatSeconds(*retryAfterS));
    markEnded();
    m_incoming->respond(head, "{\"error\":\"" + reason + "\"}\n");
}

/// Spreads client retries over a part of the latency target, so that they don't come all at once and most of
/// them still meet the target. Shed requests get a longer pause: the downstream services are overloaded, and
/// most requests that come back before they recover would fail.
double outbound_call::getRetryAfterS(attempt_outcome last) const
{
    const auto now = m_context.time.now();
    if (m_context.endsAt)
        return stoppingRetryAfterS;
    if (last == attempt_outcome::Shed && m_clientInfo.timeLeft) {
        const auto spent = now - m_incoming->getArrivalTime();
        const auto runTime = m_context.target.getCallTrees().getDemand().getRunTime(m_route->name);
        const bool isRunTimeKnown = runTime > milliseconds();
        const auto aimLeft = isRunTimeKnown ? m_route->latencyTarget - spent : milliseconds();
        const auto pause
            = scheduleRetry({ *m_clientInfo.timeLeft - spent, aimLeft, runTime }, m_context.random());
        return pause.getCount() / msPerSecond;
    }
    const auto wait = m_context.picker.estimateWait(now, m_service, m_context.directory);
    const auto pause = m_route->latencyTarget * (retryAfterLatencyShare * (0.5 + m_context.random())) + wait;
    return std::min(pause.getCount() / msPerSecond, maxRetryAfterS);
}

void outbound_call::tick(milliseconds now)
{
    if (m_isEnded)
        return;
    if (now < m_expiresAt) {
        failOverFromUnresponsiveInstance(now);
        return;
    }
    attempt_result expired;
    expired.outcome = attempt_outcome::TimedOut;
    expired.detail = "the request timed out";
    if (cancelAttempts(health_signal::TimedOut))
        m_possibleRunResult = expired;
    failRequest(expired);
}

void outbound_call::cutOff()
{
    if (m_isEnded)
        return;
    attempt_result result;
    result.outcome = attempt_outcome::Leaving;
    result.detail = "this node stops before the request ends";
    if (cancelAttempts(health_signal::Cancelled)) {
        result.outcome = attempt_outcome::Lost;
        m_possibleRunResult = result;
    }
    finish(result);
}

/// Tries another instance with an idempotent request whose current instance has stopped responding. The
/// attempt there stays open until another one has answered.
void outbound_call::failOverFromUnresponsiveInstance(milliseconds now)
{
    if (!m_attempt || m_unresponsiveAttempt || !m_route->isIdempotent
        || !m_context.picker.isUnresponsive(m_attempt->instance, now, m_attempt->sentAt))
        return;
    if (!m_context.picker.hasHealthyCandidate(now, makePickRequest(now), m_context.directory))
        return;
    attempt_result timedOut;
    timedOut.outcome = attempt_outcome::TimedOut;
    timedOut.detail = "the instance or its node has stopped responding";
    if (!prepareRetry(*m_attempt, timedOut))
        return;
    m_possibleRunResult = timedOut;
    m_unresponsiveAttempt = std::move(m_attempt);
    m_attempt.reset();
    startAttempt();
}

/// Cancels the open attempts after the client has disconnected.
void outbound_call::onClientDisconnect()
{
    if (m_isEnded)
        return;
    const auto now = m_context.time.now();
    if (!cancelAttempts(health_signal::Cancelled) && !m_possibleRunResult)
        giveBackQuota();
    const auto latency = now - m_incoming->getArrivalTime();
    m_context.counters.countRequest(m_route ? m_route->name : std::string(), 0, "client-left", latency, now);
    m_context.log.write(event_kind::RequestCancelled, m_clientInfo.requestId,
        { { "route", m_route ? m_route->name : std::string() }, { "instance", m_instance },
            { "ms", latency.getCount() } });
    markEnded();
}

/// Cancels an attempt if it is open.
/// @return whether an instance may have seen the request.
bool outbound_call::cancelAttempt(std::optional<attempt>& cancelled, health_signal signal)
{
    if (!cancelled)
        return false;
    const auto ended = std::move(*cancelled);
    cancelled.reset();
    m_context.picker.onEnd(ended.instance, m_context.time.now(), signal);
    if (signal == health_signal::TimedOut)
        m_context.counters.countAttempt(ended.instance, attempt_outcome::TimedOut);
    if (ended.localRunId != 0)
        return m_context.target.cancel(ended.localRunId);
    pooled_http_client::cancel(ended.peerRequest);
    return true;
}

/// @return whether an instance may have seen the request.
bool outbound_call::cancelAttempts(health_signal signal)
{
    const bool mayHaveBeenSeen = cancelAttempt(m_unresponsiveAttempt, signal);
    return cancelAttempt(m_attempt, signal) || mayHaveBeenSeen;
}

void outbound_call::markEnded() { m_isEnded = true; }

} // namespace fuchsiagauge
