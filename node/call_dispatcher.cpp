#include "node/call_dispatcher.h"

#include "node/self_report.h"

#include <algorithm>

namespace fuchsiagauge {
namespace {

    constexpr int firstServerErrorStatus = 500;
    constexpr int notImplementedStatus = 501;
    constexpr int partialContentStatus = 206;

    bool isServerFailure(int status)
    {
        return status >= firstServerErrorStatus && status != notImplementedStatus;
    }

    bool isSafeMethod(const std::string& method) { return method == "GET" || method == "HEAD"; }

    bool isStrongTag(const std::string& tag) { return tag.size() > 2 && tag.front() == '"'; }

    bool isRestOf(const answer_head& first, const answer_head& rest, std::uint64_t firstByte)
    {
        const auto total = *first.contentLength;
        const auto expected = "bytes " + std::to_string(firstByte) + '-' + std::to_string(total - 1) + '/'
            + std::to_string(total);
        return rest.status == partialContentStatus && rest.fields.get("content-range") == expected
            && rest.fields.get("etag") == first.fields.get("etag") && rest.contentLength == total - firstByte;
    }

} // namespace

void sendRequestError(answer_writer& writer, const error& reason, const std::string& requestId,
    boost::asio::yield_context yield)
{
    call_fields fields;
    fields.set(header::requestId, requestId);
    sendErrorAnswer(writer, reason.kind, reason.detail, fields, yield);
}

call_dispatcher::call_dispatcher(node_parts& parts, target_runner& runner, remote_caller& caller)
    : m_parts(parts)
    , m_runner(runner)
    , m_caller(caller)
{
}

std::optional<error_kind> call_dispatcher::dispatch(const call_request& request, const dispatch_plan& plan,
    answer_writer& writer, cancel_scope& scope, boost::asio::yield_context yield)
{
    auto end = runAttempts(request, plan, true, scope, yield);
    if (!end.answer) {
        m_parts.counters.countError(end.failure.kind);
        if (!scope.isCancelled())
            sendRequestError(writer, end.failure, plan.context.requestId, yield);
        return end.failure.kind;
    }
    auto& head = end.answer->getHead();
    head.fields.erasePrefix(header::prefix);
    head.fields.set(header::runOutcome, getOutcomeName(run_outcome::Answered));
    head.fields.set(header::requestId, plan.context.requestId);
    const auto resume
        = [&](std::uint64_t firstByte) { return resumeAnswer(request, plan, head, firstByte, scope, yield); };
    relayAnswer(*end.answer, writer, resume, scope, yield);
    return end.isShedBelow ? std::make_optional(error_kind::Shed) : std::nullopt;
}

attempt_result call_dispatcher::runAttempts(const call_request& request, const dispatch_plan& plan,
    bool isFirstFree, cancel_scope& scope, boost::asio::yield_context yield)
{
    std::vector<std::string> tried;
    std::optional<attempt_result> last;
    request_facts facts;
    facts.isAtMostOnce = plan.requestClass.isAtMostOnce;
    facts.isIdempotent = plan.requestClass.isIdempotent && isSafeMethod(request.method);
    while (true) {
        const auto instance = chooseNextInstance(plan, tried, facts);
        if (!instance && !last)
            return attempt_result::makeFailure(getLastError(), std::nullopt);
        const auto grantedRetries = instance ? beginAttempt(plan, last || !isFirstFree) : std::nullopt;
        if (!grantedRetries && !last)
            return attempt_result::makeFailure({ error_kind::NoTarget, "no retry is left" }, std::nullopt);
        if (!grantedRetries)
            return std::move(*last);
        auto result = makeAttempt(*instance, request, plan, *grantedRetries, scope, yield);
        m_parts.retries->endAttempt(plan.context.attemptId, *grantedRetries, result.unspent);
        const bool mayTryAgain = decide(result, facts, plan) && !scope.isCancelled();
        const bool isWorse = last && last->answer && !result.answer;
        if (!isWorse)
            last = std::move(result);
        tried.push_back(*instance);
        const bool isLast = static_cast<int>(tried.size()) >= m_parts.attemptsPerCall;
        if (!mayTryAgain || isLast)
            return std::move(*last);
    }
}

/// Chooses an instance that was not tried; after an unknown outcome the only one may be tried again.
std::optional<std::string> call_dispatcher::chooseNextInstance(
    const dispatch_plan& plan, const std::vector<std::string>& tried, const request_facts& facts)
{
    auto instance = chooseInstance(plan, tried);
    const bool isOnlyOne = !instance && !tried.empty() && getLastError().kind == error_kind::NoTarget;
    if (isOnlyOne && facts.earlierUnknownKind)
        return chooseInstance(plan, {});
    return instance;
}

/// Settles what the caller is told if this attempt is the last.
/// @return whether another attempt may be made.
bool call_dispatcher::decide(attempt_result& result, request_facts& facts, const dispatch_plan& plan) const
{
    const bool isInTime = m_parts.now() < plan.expiresAt;
    if (result.answer) {
        const bool mayRepeat = mayRetryAnswered(facts, result.isShedBelow);
        return isInTime && mayRepeat && isServerFailure(result.answer->getHead().status);
    }
    const auto decision = decideAfterRemoteAttempt(result.report, facts);
    result.failure.kind = decision.kind;
    if (decision.outcome == run_outcome::Unknown)
        facts.earlierUnknownKind = decision.kind;
    return isInTime && decision.next == next_attempt::AnotherInstance;
}

std::optional<std::string> call_dispatcher::chooseInstance(
    const dispatch_plan& plan, const std::vector<std::string>& excluded)
{
    const auto& self = m_parts.identity.instance;
    const bool isTried = std::find(excluded.begin(), excluded.end(), self) != excluded.end();
    if (plan.mayRunHere && !isTried && isLocalTargetFree())
        return self;
    routing_request request;
    request.service = plan.service;
    request.className = plan.requestClass.name;
    request.rank = getAdmissionRank(plan.requestClass.priority, plan.context.requestId);
    request.mayCrossRegions = plan.requestClass.mayCrossRegions;
    request.excluded = excluded;
    request.mayProbe = !plan.requestClass.isAtMostOnce;
    auto chosen = m_parts.routing->choose(m_parts.now(), request, m_parts.sharedState.fleet.get());
    if (!chosen && plan.mayRunHere && !isTried)
        return self;
    return chosen;
}

bool call_dispatcher::isLocalTargetFree() const
{
    const auto& status = m_parts.sharedState.target.get();
    const auto& admission = *m_parts.admission;
    return !status.isLeaving && status.isReachable
        && m_parts.routing->isUsable(m_parts.identity.instance, m_parts.now()) && admission.getQueued() == 0
        && admission.getInFlight() < admission.getLimit();
}

std::optional<int> call_dispatcher::beginAttempt(const dispatch_plan& plan, bool isRetry)
{
    if (!isRetry)
        m_parts.ratio.onFirstAttempt(plan.service, m_parts.now());
    else if (m_parts.hasRetryRatio && !m_parts.ratio.takeRetry(plan.service, m_parts.now()))
        return std::nullopt;
    const auto grantedRetries = m_parts.retries->beginAttempt(plan.context.attemptId, isRetry);
    if (!grantedRetries)
        return std::nullopt;
    m_parts.counters.countAttempt(isRetry);
    return grantedRetries;
}

attempt_result call_dispatcher::makeAttempt(const std::string& instance, const call_request& request,
    const dispatch_plan& plan, int grantedRetries, cancel_scope& scope, boost::asio::yield_context yield)
{
    auto context = plan.context;
    context.attemptId = m_parts.ids.makeAttemptId();
    context.retryAllowance = grantedRetries;
    context.revision = m_parts.sharedState.configuration.get().revision;
    context.remaining = plan.expiresAt - m_parts.now();
    ++context.depth;
    if (context.remaining <= milliseconds(0))
        return attempt_result::makeFailure(
            { error_kind::DeadlineExceeded, "the deadline has passed" }, grantedRetries);
    if (plan.mayRunHere && instance == m_parts.identity.instance)
        return runHere(request, context, plan, scope, yield);
    const auto& instances = m_parts.sharedState.fleet.get().instances;
    const auto found = instances.find(instance);
    if (found == instances.end())
        return attempt_result::makeFailure(
            { error_kind::NoTarget, instance + " is not known" }, grantedRetries);
    const instance_view view = found->second;
    return m_caller.call(view, request, context, plan.expiresAt, {}, scope, yield);
}

attempt_result call_dispatcher::runHere(const call_request& request, const call_context& context,
    const dispatch_plan& plan, cancel_scope& scope, boost::asio::yield_context yield)
{
    const auto& self = m_parts.identity.instance;
    const auto startedAt = m_parts.now();
    m_parts.routing->onSend(self, startedAt);
    auto end = m_runner.run(request, context, plan.expiresAt, scope, yield);
    const auto now = m_parts.now();
    const bool isLost = !end.answer && getErrorResponse(end.failure.kind).outcome == run_outcome::Unknown;
    if (isLost || end.failure.kind == error_kind::TargetUnreachable) {
        m_parts.routing->onFailure(self, now, end.failure.kind);
        return end;
    }
    const bool isSuccess = !end.answer || end.isShedBelow || !isServerFailure(end.answer->getHead().status);
    m_parts.routing->onAnswer(self, now, makeSelfReport(m_parts, 0), now - startedAt, isSuccess);
    return end;
}

std::unique_ptr<attempt_answer> call_dispatcher::resumeAnswer(const call_request& request,
    const dispatch_plan& plan, const answer_head& first, std::uint64_t firstByte, cancel_scope& scope,
    boost::asio::yield_context yield)
{
    const auto tag = first.fields.get("etag");
    const bool isResumable = request.method == "GET" && !request.fields.find("range") && isStrongTag(tag);
    if (!isResumable || m_parts.now() >= plan.expiresAt)
        return nullptr;
    call_request rest = request;
    rest.fields.set("range", "bytes=" + std::to_string(firstByte) + '-');
    rest.fields.set("if-range", tag);
    auto end = runAttempts(rest, plan, false, scope, yield);
    if (!end.answer || !isRestOf(first, end.answer->getHead(), firstByte))
        return nullptr;
    m_parts.counters.countResume();
    return std::move(end.answer);
}

} // namespace fuchsiagauge
