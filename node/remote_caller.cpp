#include "node/remote_caller.h"

#include "transport/coroutine.h"

#include <algorithm>

namespace fuchsiagauge {
namespace {

    constexpr milliseconds maxConnectTimeout { 1000 };
    constexpr int firstServerErrorStatus = 500;
    constexpr double requestHeadBytes = 400;

    /// Refusals that say nothing against the instance itself.
    bool isPoliteRefusal(error_kind kind)
    {
        return kind != error_kind::TargetUnreachable && kind != error_kind::ConnectionLost
            && kind != error_kind::AnswerTimeout && kind != error_kind::BrokenAnswer
            && kind != error_kind::Internal;
    }

} // namespace

remote_caller::remote_caller(node_parts& parts)
    : m_parts(parts)
    , m_addressTranslations(address_translations::parse(parts.config.getTextList("fleet.routes"))
                                .value_or(address_translations()))
{
}

attempt_result remote_caller::call(const instance_view& instance, const call_request& request,
    const call_context& context, milliseconds expiresAt, const std::string& ticket, cancel_scope& scope,
    boost::asio::yield_context yield)
{
    const auto remote = findRemote(instance);
    if (!remote)
        return attempt_result::makeFailure(
            { error_kind::TargetUnreachable, instance.id + " has no mesh address" }, context.retryAllowance);
    if (!reserveLink(instance, request, context, yield))
        return attempt_result::makeFailure(getLastError(), context.retryAllowance);
    const auto startedAt = m_parts.now();
    call_request copy = request;
    copy.fields.erasePrefix(header::prefix);
    copy.fields.set(header::context, formatCallContext(context, m_parts.keys));
    copy.fields.set(regionHeader, m_parts.identity.region);
    if (!ticket.empty())
        copy.fields.set(header::ticket, ticket);
    m_parts.routing->onSend(instance.id, startedAt);
    auto outgoing = std::make_unique<exchange>(m_parts.pools.get(*remote));
    const cancel_registration registration(scope, [sent = outgoing.get()] { sent->cancel(); });
    const auto timeout = expiresAt - startedAt;
    auto head = outgoing->start(copy, std::min(timeout, maxConnectTimeout), timeout, yield);
    if (!head)
        return takeFailure(instance, context, getLastError());
    return takeAnswer(instance, std::move(outgoing), std::move(*head), context, startedAt, yield);
}

std::optional<address> remote_caller::findRemote(const instance_view& instance) const
{
    return parseAddress(m_addressTranslations.translate(instance.meshAddress));
}

bool remote_caller::reserveLink(const instance_view& instance, const call_request& request,
    const call_context& context, boost::asio::yield_context yield)
{
    if (instance.region == m_parts.identity.region)
        return true;
    const double bytes = requestHeadBytes + static_cast<double>(request.body.size());
    const auto delay = m_parts.link.reserve(m_parts.now(), bytes, false);
    if (!delay)
        return false;
    m_parts.counters.getClass(context.className).linkBytes.add(static_cast<std::uint64_t>(bytes));
    if (*delay > milliseconds(0))
        sleepFor(m_parts.io, *delay, yield);
    return true;
}

attempt_result remote_caller::takeFailure(
    const instance_view& instance, const call_context& context, error why)
{
    m_parts.routing->onFailure(instance.id, m_parts.now(), why.kind);
    const bool wasSent
        = getErrorAnswer(why.kind).outcome != run_outcome::NotRun || why.kind == error_kind::Cancelled;
    const auto unspent = wasSent ? std::nullopt : std::make_optional(context.retryAllowance);
    return attempt_result::makeFailure(std::move(why), unspent);
}

attempt_result remote_caller::takeAnswer(const instance_view& instance, std::unique_ptr<exchange> call,
    answer_head head, const call_context& context, milliseconds startedAt, boost::asio::yield_context yield)
{
    const auto report = parseNodeReport(head.fields.get(header::report));
    if (!report || head.fields.get(header::requestId) != context.attemptId)
        return takeFailure(instance, context,
            { error_kind::BrokenAnswer, instance.id + ": not the answer to this attempt" });
    if (m_parts.onRevisionSeen)
        m_parts.onRevisionSeen(instance.id, report->revision);
    if (m_parts.onStartNumberSeen)
        m_parts.onStartNumberSeen(instance.id, report->startNumber, report->isLeaving);
    const auto refusal = findErrorKind(head.fields.get(header::error));
    const auto latency = m_parts.now() - startedAt;
    if (report->isLeaving)
        m_parts.routing->onLeaving(instance.id);
    if (refusal) {
        m_parts.routing->onAnswer(instance.id, m_parts.now(), *report, latency, isPoliteRefusal(*refusal));
        const auto outcome = findOutcome(head.fields.get(header::run)).value_or(run_outcome::Unknown);
        return attempt_result::makeRefusal(
            { *refusal, instance.id + " answered " + getErrorAnswer(*refusal).name }, outcome,
            report->unspentRetries);
    }
    const bool isFailure = head.status >= firstServerErrorStatus;
    const bool isShedBelow = isFailure && head.fields.find(header::shedBelow);
    m_parts.routing->onAnswer(instance.id, m_parts.now(), *report, latency, !isFailure || isShedBelow);
    auto answer = readAnswer(std::move(call), std::move(head), nullptr, yield);
    if (!answer)
        return attempt_result::makeFailure(getLastError(), std::nullopt);
    attempt_result result;
    result.answer = std::move(answer);
    result.report.end = attempt_end::Answered;
    result.report.outcome = run_outcome::Answered;
    result.isShedBelow = isShedBelow;
    result.unspent = report->unspentRetries;
    return result;
}

} // namespace fuchsiagauge
