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

    /// A target that echoes request ids must echo the right one.
    bool isForeignAnswer(const response_head& head, const call_context& context)
    {
        const auto* echoed = head.fields.find(header::requestId);
        return echoed && *echoed != context.requestId;
    }

} // namespace

target_runner::target_runner(node_parts& parts)
    : m_parts(parts)
    , m_target(*parseAddress(parts.config.getText("target.address")))
{
}

attempt_result target_runner::run(const call_request& request, const call_context& context,
    milliseconds expiresAt, cancel_scope& scope, boost::asio::yield_context yield)
{
    auto& counts = m_parts.counters.getClass(context.className);
    counts.offered.add();
    const auto startedAt = m_parts.now();
    const auto refusal = waitForAdmission(context, expiresAt, scope, yield);
    if (refusal) {
        m_parts.counters.countFailure(context.className, *refusal);
        return attempt_result::makeFailure(
            { *refusal, "refused before the hand-over" }, context.retryAllowance);
    }
    auto result = handOver(request, context, expiresAt, scope, yield);
    const auto now = m_parts.now();
    counts.latency.record(now - startedAt, now);
    if (result.answer)
        counts.answered.add();
    else
        m_parts.counters.countFailure(context.className, result.failure.kind);
    return result;
}

std::optional<error_kind> target_runner::waitForAdmission(const call_context& context, milliseconds expiresAt,
    cancel_scope& scope, boost::asio::yield_context yield)
{
    const auto priority = m_parts.getPreset().getClass(context.className).priority;
    const admission_request request { context.attemptId, getAdmissionRank(priority, context.requestId),
        expiresAt };
    const auto waiting = std::make_shared<coroutine_latch>(m_parts.io);
    std::optional<error_kind> refusal;
    m_parts.admission->submit(
        m_parts.now(), request, [&refusal, waiting](std::optional<error_kind> decision) {
            refusal = decision;
            waiting->release();
        });
    const cancel_registration registration(
        scope, [this, &context] { m_parts.admission->cancel(context.attemptId, m_parts.now()); });
    waiting->wait(yield);
    if (!refusal && scope.isCancelled()) {
        m_parts.admission->finish(context.attemptId, m_parts.now(), true);
        return error_kind::Cancelled;
    }
    return refusal;
}

attempt_result target_runner::handOver(const call_request& request, const call_context& context,
    milliseconds expiresAt, cancel_scope& scope, boost::asio::yield_context yield)
{
    m_parts.work.open(context, expiresAt);
    m_parts.retries->open(context.attemptId, context.retryAllowance);
    auto call = std::make_unique<exchange>(m_parts.pools.get(m_target));
    const auto closeWork = [this, &context] {
        m_parts.work.close(context.attemptId);
        return m_parts.retries->close(context.attemptId);
    };
    const auto releaseSlot = [parts = &m_parts, id = context.attemptId](
                                 bool isSuccess) { parts->admission->finish(id, parts->now(), isSuccess); };
    const cancel_registration registration(scope, [handedOver = call.get()] { handedOver->cancel(); });
    const auto head = call->start(
        makeTargetRequest(request, context, m_parts.keys), connectTimeout, expiresAt - m_parts.now(), yield);
    if (!head || isForeignAnswer(*head, context)) {
        auto reason = head ? error { error_kind::BrokenAnswer, "the answer belongs to another request" }
                           : getLastError();
        const bool wasGivenUp = reason.kind == error_kind::Cancelled;
        releaseSlot(wasGivenUp);
        return attempt_result::makeFailure(std::move(reason), closeWork());
    }
    const bool isSuccess = head->status < firstServerErrorStatus;
    auto answer = readAnswer(
        std::move(call), *head,
        [releaseSlot, isSuccess](bool isComplete) { releaseSlot(isSuccess && isComplete); }, yield);
    if (!answer) {
        auto reason = copyLastError();
        return attempt_result::makeFailure(std::move(reason), closeWork());
    }
    attempt_result result;
    result.answer = std::move(answer);
    result.report.end = attempt_end::Answered;
    result.report.outcome = run_outcome::Answered;
    const auto work = m_parts.work.find(context.attemptId);
    result.isShedBelow = !isSuccess && work && work->isShedBelow;
    result.unspent = closeWork();
    return result;
}

} // namespace fuchsiagauge
