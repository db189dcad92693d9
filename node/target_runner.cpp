#include "node/target_runner.h"

#include "transport/coroutine.h"

namespace fuchsiagauge {
namespace {

    constexpr milliseconds connectTimeout { 1000 };
    constexpr int firstServerErrorStatus = 500;

    call_request makeTargetRequest(
        const call_request& request, const call_context& context, const fleet_keys& keys)
    {
        call_request copy = request;
        copy.fields.erasePrefix(header::prefix);
        copy.fields.set(header::context, formatCallContext(context, keys));
        copy.fields.set(header::requestId, context.requestId);
        return copy;
    }

    /// @return whether a response echoes the id of another request; targets need not echo request ids.
    bool isResponseToOtherRequest(const response_head& head, const call_context& context)
    {
        const auto* echoed = head.fields.find(header::requestId);
        return echoed && *echoed != context.requestId;
    }

} // namespace

target_runner::target_runner(node_context& nodeContext)
    : m_nodeContext(nodeContext)
    , m_targetAddress(*parseAddress(nodeContext.config.getText("target.address")))
{
}

attempt_result target_runner::run(const call_request& request, const call_context& context,
    milliseconds expiresAt, cancel_scope& scope, boost::asio::yield_context yield)
{
    auto& counts = m_nodeContext.counters.getClass(context.className);
    counts.offered.add();
    const auto startedAt = m_nodeContext.now();
    const auto refusal = waitForAdmission(context, expiresAt, scope, yield);
    if (refusal) {
        m_nodeContext.counters.countFailure(context.className, *refusal);
        return attempt_result::makeFailure(
            { *refusal, "refused before the hand-over" }, context.retryAllowance);
    }
    auto result = sendToTarget(request, context, expiresAt, scope, yield);
    const auto now = m_nodeContext.now();
    counts.latency.record(now - startedAt, now);
    if (result.response)
        counts.answered.add();
    else
        m_nodeContext.counters.countFailure(context.className, result.failure.kind);
    return result;
}

std::optional<error_kind> target_runner::waitForAdmission(const call_context& context, milliseconds expiresAt,
    cancel_scope& scope, boost::asio::yield_context yield)
{
    const auto priority = m_nodeContext.getPreset().getClass(context.className).priority;
    const admission_request request { context.attemptId, getAdmissionRank(priority, context.requestId),
        expiresAt };
    const auto waitPoint = std::make_shared<coroutine_latch>(m_nodeContext.io);
    std::optional<error_kind> refusal;
    m_nodeContext.admission->submit(
        m_nodeContext.now(), request, [&refusal, waitPoint](std::optional<error_kind> decision) {
            refusal = decision;
            waitPoint->release();
        });
    const cancel_registration registration(
        scope, [this, &context] { m_nodeContext.admission->cancel(context.attemptId, m_nodeContext.now()); });
    waitPoint->wait(yield);
    if (!refusal && scope.isCancelled()) {
        m_nodeContext.admission->finish(context.attemptId, m_nodeContext.now(), true);
        return error_kind::Cancelled;
    }
    return refusal;
}

attempt_result target_runner::sendToTarget(const call_request& request, const call_context& context,
    milliseconds expiresAt, cancel_scope& scope, boost::asio::yield_context yield)
{
    m_nodeContext.inFlightAttempts.add(context, expiresAt);
    m_nodeContext.retries->open(context.attemptId, context.retryAllowance);
    auto call = std::make_unique<exchange>(m_nodeContext.pools.get(m_targetAddress));
    const auto removeAttempt = [this, &context] {
        m_nodeContext.inFlightAttempts.remove(context.attemptId);
        return m_nodeContext.retries->close(context.attemptId);
    };
    const auto releaseSlot = [nodeContext = &m_nodeContext, id = context.attemptId](bool isSuccess) {
        nodeContext->admission->finish(id, nodeContext->now(), isSuccess);
    };
    const cancel_registration registration(scope, [targetCall = call.get()] { targetCall->cancel(); });
    const auto head = call->start(makeTargetRequest(request, context, m_nodeContext.keys), connectTimeout,
        expiresAt - m_nodeContext.now(), yield);
    if (!head || isResponseToOtherRequest(*head, context)) {
        auto reason = head ? error { error_kind::BrokenAnswer, "the answer belongs to another request" }
                           : getLastError();
        const bool wasCancelled = reason.kind == error_kind::Cancelled;
        releaseSlot(wasCancelled);
        return attempt_result::makeFailure(std::move(reason), removeAttempt());
    }
    const bool isSuccess = head->status < firstServerErrorStatus;
    auto response = readResponse(
        std::move(call), *head,
        [releaseSlot, isSuccess](bool isComplete) { releaseSlot(isSuccess && isComplete); }, yield);
    if (!response) {
        auto reason = copyLastError();
        return attempt_result::makeFailure(std::move(reason), removeAttempt());
    }
    attempt_result result;
    result.response = std::move(response);
    result.report.end = attempt_end::Answered;
    result.report.outcome = run_outcome::Answered;
    const auto attempt = m_nodeContext.inFlightAttempts.find(context.attemptId);
    result.isDownstreamShed = !isSuccess && attempt && attempt->isDownstreamShed;
    result.unspentRetries = removeAttempt();
    return result;
}

} // namespace fuchsiagauge
