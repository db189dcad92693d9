#include "mesh/local_target.h"

#include <algorithm>
#include <utility>

namespace fuchsiagauge {
namespace {

    /// A request that runs at most once is not sent on a connection that has been idle for longer: the
    /// instance may be closing it.
    constexpr milliseconds maxIdleForUnsafe { 1000 };
    constexpr milliseconds connectTimeout { 300 }; ///< The instance is on the same VM.
    constexpr milliseconds idleTimeout { 5000 }; ///< Used where the instance states none.

    constexpr int gatewayTimeoutStatus = 504;
    constexpr int maxAsks
        = 6; ///< Of one request; one that refuses half of them runs all but one in a hundred.
    constexpr milliseconds shortestAsk { 5 }; ///< With less time left the instance isn't asked again.

    pool_limits makePoolLimits()
    {
        pool_limits limits;
        limits.connectTimeout = connectTimeout;
        limits.idleTimeout = idleTimeout;
        return limits;
    }

    /// A call that has been sent before is a repeat for its own sake, whatever it was made for.
    repeat_priority getOwnClaim(const peer_call& call)
    {
        if (call.depth == 0)
            return repeat_priority::Entry;
        return call.priority == 0 ? repeat_priority::ImportantCall : repeat_priority::OtherCall;
    }

} // namespace

local_target::local_target(boost::asio::io_context& io, clock time, address target,
    const target_protocol& protocol, repeat_limits limits, ask_again_hook onAskAgain)
    : m_time(std::move(time))
    , m_protocol(protocol)
    , m_repeats(limits)
    , m_onAskAgain(std::move(onAskAgain))
    , m_pool(io, m_time, std::move(target), makePoolLimits())
{
}

std::uint64_t local_target::run(const call_request& request, const peer_call& call, attempt_hook onEnd)
{
    const auto now = m_time.now();
    const auto id = ++m_lastId;
    running item;
    item.request = request;
    item.call = call;
    item.expiresAt = now + call.timeLeft;
    item.onEnd = std::move(onEnd);
    m_runs.emplace(id, std::move(item));
    if (call.depth == 0 && !m_entry.isAdmitted(call.priority, static_cast<double>(call.rank) / rankCount)) {
        refuse(id, attempt_outcome::Shed);
        return id;
    }
    if (!isWithinBudget(call, now)) {
        refuse(id, attempt_outcome::OverBudget);
        return id;
    }
    m_gate.submit(now, { id, call.priority, call.depth, call.rank, now + call.startWithin },
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

bool local_target::isWithinBudget(const peer_call& call, milliseconds now)
{
    switch (call.repeat) {
    case repeat_kind::None:
        return true;
    case repeat_kind::Own:
        return m_repeats.isRepeatAllowed(now, getOwnClaim(call));
    case repeat_kind::Inherited:
        break;
    }
    return m_repeats.isRepeatAllowed(now, repeat_priority::Inherited);
}

bool local_target::cancel(std::uint64_t id)
{
    const auto found = m_runs.find(id);
    if (found == m_runs.end())
        return false;
    const auto given = take(found);
    if (given.asks == 0) {
        m_gate.cancel(id);
        return false;
    }
    outgoing_pool::cancel(given.sent);
    m_gate.finish(m_time.now(), std::nullopt);
    return true;
}

std::optional<parent_run> local_target::findRun(const std::string& requestId) const
{
    const auto found = m_startedByRequest.find(requestId);
    if (found == m_startedByRequest.end())
        return std::nullopt;
    const auto& run = m_runs.at(found->second);
    return parent_run { run.call.priority, run.call.depth, run.call.rank,
        run.call.repeat != repeat_kind::None, run.expiresAt };
}

void local_target::noteFailureBelow(const std::string& requestId, failure_below failure)
{
    const auto found = m_startedByRequest.find(requestId);
    if (found == m_startedByRequest.end())
        return;
    auto& known = m_runs.at(found->second).below;
    known = std::max(known, failure);
}

/// Takes a request out of the lists.
local_target::running local_target::take(std::unordered_map<std::uint64_t, running>::iterator position)
{
    auto run = std::move(position->second);
    const auto named = m_startedByRequest.find(run.call.requestId);
    if (named != m_startedByRequest.end() && named->second == position->first)
        m_startedByRequest.erase(named);
    m_runs.erase(position);
    return run;
}

void local_target::tick()
{
    m_gate.tick(m_time.now());
    m_entry.tick(m_time.now());
    m_pool.tick();
}

void local_target::setSlots(int slots) { m_gate.setSlots(slots, m_time.now()); }

void local_target::setLeaving(bool isLeaving) { m_gate.setClosed(isLeaving); }

void local_target::forgetConnections() { m_pool.closeIdle(); }

void local_target::start(std::uint64_t id)
{
    const auto found = m_runs.find(id);
    if (found == m_runs.end())
        return;
    auto& item = found->second;
    const auto now = m_time.now();
    item.startedAt = now;
    m_startedByRequest[item.call.requestId] = id;
    if (item.call.repeat == repeat_kind::None)
        m_repeats.onFirstArrival(now);
    else
        m_repeats.onRepeat(now);
    ask(id, item);
}

/// Sends a request that holds a slot to the instance.
void local_target::ask(std::uint64_t id, running& item)
{
    const auto now = m_time.now();
    ++item.asks;
    outgoing_request outgoing;
    outgoing.request = std::move(item.request);
    outgoing.expiresAt = item.expiresAt;
    const auto timeLeft = std::max(milliseconds(1), item.expiresAt - now);
    m_protocol.addTargetFields(
        { item.call.instance, timeLeft, item.call.callerService }, outgoing.request.fields);
    if (!item.call.isIdempotent)
        outgoing.maxIdle = maxIdleForUnsafe;
    outgoing.isOwnAnswer = [this, requestId = item.call.requestId](
                               const answer_head& head) { return m_protocol.isOwnAnswer(head, requestId); };
    item.sent = m_pool.send(
        std::move(outgoing), [this, id](outgoing_result result) { finish(id, std::move(result)); });
}

void local_target::refuse(std::uint64_t id, attempt_outcome why)
{
    const auto found = m_runs.find(id);
    if (found == m_runs.end())
        return;
    const auto onEnd = take(found).onEnd;
    attempt_result result;
    result.outcome = why;
    result.load = m_gate.getReport();
    result.hasLoad = true;
    onEnd(std::move(result));
}

void local_target::finish(std::uint64_t id, outgoing_result outgoing)
{
    const auto found = m_runs.find(id);
    if (found == m_runs.end())
        return;
    if (mayAskAgain(found->second, outgoing)) {
        auto& item = found->second;
        m_repeats.onRepeat(m_time.now());
        m_onAskAgain(item.call.requestId);
        item.request = std::move(outgoing.request);
        m_protocol.cleanClientFields(item.request.fields);
        ask(id, item);
        return;
    }
    const auto now = m_time.now();
    const auto run = take(found);
    const auto heldFor = now - run.startedAt;
    auto result = readResult(std::move(outgoing));
    result.below = run.below;
    const bool isSample
        = result.outcome == attempt_outcome::Answered || result.outcome == attempt_outcome::TimedOut;
    m_gate.finish(now, isSample ? std::optional(heldFor) : std::nullopt);
    result.load = m_gate.getReport();
    result.hasLoad = true;
    noteEntryEnd(run.call, result);
    run.onEnd(std::move(result));
}

/// Decides whether a request that the instance refused goes to it once more. An instance that refuses though
/// it has free slots may well run the same request a moment later, and asking it again crosses no link.
bool local_target::mayAskAgain(const running& item, const outgoing_result& outgoing)
{
    if (!outgoing.isAnswered || item.asks >= maxAsks || m_gate.isClosed())
        return false;
    const auto verdict = m_protocol.readAnswer(outgoing.head);
    if (!verdict.isRejected || verdict.isMisdirected || verdict.isFull)
        return false;
    const auto now = m_time.now();
    return item.expiresAt - now >= shortestAsk && m_repeats.isRepeatAllowed(now, getOwnClaim(item.call));
}

void local_target::noteEntryEnd(const peer_call& call, const attempt_result& result)
{
    if (call.depth > 0)
        return;
    const bool isAnswered = result.outcome == attempt_outcome::Answered;
    const bool isLate = result.outcome == attempt_outcome::TimedOut
        || (isAnswered && result.head.status == gatewayTimeoutStatus);
    if (isAnswered || isLate)
        m_entry.onEnd(call.priority, isLate || result.below == failure_below::NoRoom);
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
    const auto verdict = m_protocol.readAnswer(outgoing.head);
    if (verdict.slots > 0)
        m_gate.setSlots(verdict.slots, m_time.now());
    result.outcome = attempt_outcome::Answered;
    if (verdict.isMisdirected)
        result.outcome = attempt_outcome::Misdirected;
    else if (verdict.isRejected)
        result.outcome = attempt_outcome::Rejected;
    m_protocol.cleanAnswerFields(outgoing.head.fields);
    result.head = std::move(outgoing.head);
    result.body = std::move(outgoing.body);
    return result;
}

} // namespace fuchsiagauge
