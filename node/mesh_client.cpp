#include "node/mesh_client.h"

#include "transport/coroutine.h"

#include <algorithm>

namespace fuchsiagauge {
namespace {

    constexpr milliseconds maxConnectTimeout { 1000 };
    constexpr int firstServerErrorStatus = 500;
    constexpr double estimatedRequestHeadBytes = 400;

    /// @return whether a refusal of this kind does not count as a failure of the instance.
    bool isRefusalByHealthyInstance(error_kind kind)
    {
        return kind != error_kind::TargetUnreachable && kind != error_kind::ConnectionLost
            && kind != error_kind::AnswerTimeout && kind != error_kind::BrokenAnswer
            && kind != error_kind::Internal;
    }

} // namespace

mesh_client::mesh_client(node_context& nodeContext)
    : m_nodeContext(nodeContext)
    , m_addressTranslations(address_translations::parse(nodeContext.config.getTextList("fleet.routes"))
                                .value_or(address_translations()))
{
}

attempt_result mesh_client::call(const instance_view& instance, const call_request& request,
    const call_context& context, milliseconds expiresAt, const std::string& ticket, cancel_scope& scope,
    boost::asio::yield_context yield)
{
    const auto remote = findMeshAddress(instance);
    if (!remote)
        return attempt_result::makeFailure(
            { error_kind::TargetUnreachable, instance.id + " has no mesh address" }, context.retryAllowance);
    if (!reserveLinkBudget(instance, request, context, yield))
        return attempt_result::makeFailure(getLastError(), context.retryAllowance);
    const auto startedAt = m_nodeContext.now();
    call_request copy = request;
    copy.fields.erasePrefix(header::prefix);
    copy.fields.set(header::context, formatCallContext(context, m_nodeContext.keys));
    copy.fields.set(regionHeader, m_nodeContext.identity.region);
    if (!ticket.empty())
        copy.fields.set(header::ticket, ticket);
    m_nodeContext.routing->onSend(instance.id, startedAt);
    auto outgoing = std::make_unique<exchange>(m_nodeContext.pools.get(*remote));
    const cancel_registration registration(scope, [sent = outgoing.get()] { sent->cancel(); });
    const auto timeout = expiresAt - startedAt;
    auto head = outgoing->start(copy, std::min(timeout, maxConnectTimeout), timeout, yield);
    if (!head)
        return handleFailure(instance, context, getLastError());
    return handleAnswer(instance, std::move(outgoing), std::move(*head), context, startedAt, yield);
}

std::optional<address> mesh_client::findMeshAddress(const instance_view& instance) const
{
    return parseAddress(m_addressTranslations.translate(instance.meshAddress));
}

bool mesh_client::reserveLinkBudget(const instance_view& instance, const call_request& request,
    const call_context& context, boost::asio::yield_context yield)
{
    if (instance.region == m_nodeContext.identity.region)
        return true;
    const double bytes = estimatedRequestHeadBytes + static_cast<double>(request.body.size());
    const auto delay = m_nodeContext.link.reserve(m_nodeContext.now(), bytes, false);
    if (!delay)
        return false;
    m_nodeContext.counters.getClass(context.className).linkBytes.add(static_cast<std::uint64_t>(bytes));
    if (*delay > milliseconds(0))
        sleepFor(m_nodeContext.io, *delay, yield);
    return true;
}

attempt_result mesh_client::handleFailure(
    const instance_view& instance, const call_context& context, error reason)
{
    m_nodeContext.routing->onFailure(instance.id, m_nodeContext.now(), reason.kind);
    const bool wasSent = getErrorResponse(reason.kind).outcome != run_outcome::NotRun
        || reason.kind == error_kind::Cancelled;
    const auto unspentRetries = wasSent ? std::nullopt : std::make_optional(context.retryAllowance);
    return attempt_result::makeFailure(std::move(reason), unspentRetries);
}

attempt_result mesh_client::handleAnswer(const instance_view& instance, std::unique_ptr<exchange> call,
    response_head head, const call_context& context, milliseconds startedAt, boost::asio::yield_context yield)
{
    const auto report = parseNodeReport(head.fields.get(header::report));
    if (!report || head.fields.get(header::requestId) != context.attemptId)
        return handleFailure(instance, context,
            { error_kind::BrokenAnswer, instance.id + ": not the answer to this attempt" });
    if (m_nodeContext.onRevisionSeen)
        m_nodeContext.onRevisionSeen(instance.id, report->revision);
    if (m_nodeContext.onStartNumberSeen)
        m_nodeContext.onStartNumberSeen(instance.id, report->startNumber, report->isLeaving);
    const auto refusal = findErrorKind(head.fields.get(header::error));
    const auto latency = m_nodeContext.now() - startedAt;
    if (report->isLeaving)
        m_nodeContext.routing->onLeaving(instance.id);
    if (refusal) {
        m_nodeContext.routing->onAnswer(
            instance.id, m_nodeContext.now(), *report, latency, isRefusalByHealthyInstance(*refusal));
        const auto outcome = findOutcome(head.fields.get(header::runOutcome)).value_or(run_outcome::Unknown);
        return attempt_result::makeRefusal(
            { *refusal, instance.id + " answered " + getErrorResponse(*refusal).name }, outcome,
            report->unspentRetries);
    }
    const bool isFailure = head.status >= firstServerErrorStatus;
    const bool isDownstreamShed = isFailure && head.fields.find(header::shedDownstream);
    m_nodeContext.routing->onAnswer(
        instance.id, m_nodeContext.now(), *report, latency, !isFailure || isDownstreamShed);
    auto answer = readAnswer(std::move(call), std::move(head), nullptr, yield);
    if (!answer)
        return attempt_result::makeFailure(getLastError(), std::nullopt);
    attempt_result result;
    result.answer = std::move(answer);
    result.report.end = attempt_end::Answered;
    result.report.outcome = run_outcome::Answered;
    result.isDownstreamShed = isDownstreamShed;
    result.unspentRetries = report->unspentRetries;
    return result;
}

} // namespace fuchsiagauge
