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

    bool isStrongEtag(const std::string& etag) { return etag.size() > 2 && etag.front() == '"'; }

    /// @return whether a response to a range request continues the first response at `firstByte`.
    bool isContinuationOf(
        const response_head& first, const response_head& continuation, std::uint64_t firstByte)
    {
        const auto total = *first.contentLength;
        const auto expected = "bytes " + std::to_string(firstByte) + '-' + std::to_string(total - 1) + '/'
            + std::to_string(total);
        return continuation.status == partialContentStatus
            && continuation.fields.get("content-range") == expected
            && continuation.fields.get("etag") == first.fields.get("etag")
            && continuation.contentLength == total - firstByte;
    }

} // namespace

void sendRequestError(response_writer& writer, const error& reason, const std::string& requestId,
    boost::asio::yield_context yield)
{
    header_fields fields;
    fields.set(header::requestId, requestId);
    sendErrorResponse(writer, reason.kind, reason.detail, fields, yield);
}

call_dispatcher::call_dispatcher(node_context& nodeContext, target_runner& runner, mesh_client& meshClient)
    : m_nodeContext(nodeContext)
    , m_runner(runner)
    , m_meshClient(meshClient)
{
}

std::optional<error_kind> call_dispatcher::dispatch(const call_request& request, const dispatch_plan& plan,
    response_writer& writer, cancel_scope& scope, boost::asio::yield_context yield)
{
    auto result = runAttempts(request, plan, true, scope, yield);
    if (!result.response) {
        m_nodeContext.counters.countError(result.failure.kind);
        if (!scope.isCancelled())
            sendRequestError(writer, result.failure, plan.context.requestId, yield);
        return result.failure.kind;
    }
    auto& head = result.response->getHead();
    head.fields.erasePrefix(header::prefix);
    head.fields.set(header::runOutcome, getOutcomeName(run_outcome::Answered));
    head.fields.set(header::requestId, plan.context.requestId);
    const auto resume = [&](std::uint64_t firstByte) {
        return resumeResponse(request, plan, head, firstByte, scope, yield);
    };
    relayResponse(*result.response, writer, resume, scope, yield);
    return result.isDownstreamShed ? std::make_optional(error_kind::Shed) : std::nullopt;
}

attempt_result call_dispatcher::runAttempts(const call_request& request, const dispatch_plan& plan,
    bool isFirstAttemptFree, cancel_scope& scope, boost::asio::yield_context yield)
{
    std::vector<std::string> tried;
    std::optional<attempt_result> lastResult;
    request_facts facts;
    facts.isAtMostOnce = plan.requestClass.isAtMostOnce;
    facts.isIdempotent = plan.requestClass.isIdempotent && isSafeMethod(request.method);
    while (true) {
        const auto instance = chooseNextInstance(plan, tried, facts);
        if (!instance && !lastResult)
            return attempt_result::makeFailure(getLastError(), std::nullopt);
        const auto grantedRetries
            = instance ? beginAttempt(plan, lastResult || !isFirstAttemptFree) : std::nullopt;
        if (!grantedRetries && !lastResult)
            return attempt_result::makeFailure({ error_kind::NoTarget, "no retry is left" }, std::nullopt);
        if (!grantedRetries)
            return std::move(*lastResult);
        auto result = makeAttempt(*instance, request, plan, *grantedRetries, scope, yield);
        m_nodeContext.retries->endAttempt(plan.context.attemptId, *grantedRetries, result.unspentRetries);
        const bool mayTryAgain = evaluateResult(result, facts, plan) && !scope.isCancelled();
        const bool isWorse = lastResult && lastResult->response && !result.response;
        if (!isWorse)
            lastResult = std::move(result);
        tried.push_back(*instance);
        const bool isLast = static_cast<int>(tried.size()) >= m_nodeContext.attemptsPerCall;
        if (!mayTryAgain || isLast)
            return std::move(*lastResult);
    }
}

/// Chooses an instance that was not tried yet. If none is left and the outcome of an earlier attempt is
/// unknown, a tried instance may be chosen again.
std::optional<std::string> call_dispatcher::chooseNextInstance(
    const dispatch_plan& plan, const std::vector<std::string>& tried, const request_facts& facts)
{
    auto instance = chooseInstance(plan, tried);
    const bool isNoneLeft = !instance && !tried.empty() && getLastError().kind == error_kind::NoTarget;
    if (isNoneLeft && facts.earlierUnknownKind)
        return chooseInstance(plan, {});
    return instance;
}

/// Sets the error kind that the caller gets if no further attempt follows, and records an unknown outcome.
/// @return whether another attempt may be made.
bool call_dispatcher::evaluateResult(
    attempt_result& result, request_facts& facts, const dispatch_plan& plan) const
{
    const bool isInTime = m_nodeContext.now() < plan.expiresAt;
    if (result.response) {
        const bool mayRetry = mayRetryAnswered(facts, result.isDownstreamShed);
        return isInTime && mayRetry && isServerFailure(result.response->getHead().status);
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
    const auto& self = m_nodeContext.identity.instance;
    const bool isLocalTried = std::find(excluded.begin(), excluded.end(), self) != excluded.end();
    if (plan.mayRunLocally && !isLocalTried && isLocalTargetFree())
        return self;
    routing_request request;
    request.service = plan.service;
    request.className = plan.requestClass.name;
    request.rank = getAdmissionRank(plan.requestClass.priority, plan.context.requestId);
    request.mayCrossRegions = plan.requestClass.mayCrossRegions;
    request.excluded = excluded;
    request.mayProbe = !plan.requestClass.isAtMostOnce;
    auto chosen
        = m_nodeContext.routing->choose(m_nodeContext.now(), request, m_nodeContext.sharedState.fleet.get());
    if (!chosen && plan.mayRunLocally && !isLocalTried)
        return self;
    return chosen;
}

bool call_dispatcher::isLocalTargetFree() const
{
    const auto& status = m_nodeContext.sharedState.target.get();
    const auto& admission = *m_nodeContext.admission;
    return !status.isLeaving && status.isReachable
        && m_nodeContext.routing->isUsable(m_nodeContext.identity.instance, m_nodeContext.now())
        && admission.getQueued() == 0 && admission.getInFlight() < admission.getLimit();
}

std::optional<int> call_dispatcher::beginAttempt(const dispatch_plan& plan, bool isRetry)
{
    if (!isRetry)
        m_nodeContext.ratio.onFirstAttempt(plan.service, m_nodeContext.now());
    else if (m_nodeContext.hasRetryRatio
        && !m_nodeContext.ratio.tryTakeRetry(plan.service, m_nodeContext.now()))
        return std::nullopt;
    const auto grantedRetries = m_nodeContext.retries->beginAttempt(plan.context.attemptId, isRetry);
    if (!grantedRetries)
        return std::nullopt;
    m_nodeContext.counters.countAttempt(isRetry);
    return grantedRetries;
}

attempt_result call_dispatcher::makeAttempt(const std::string& instance, const call_request& request,
    const dispatch_plan& plan, int grantedRetries, cancel_scope& scope, boost::asio::yield_context yield)
{
    auto context = plan.context;
    context.attemptId = m_nodeContext.ids.makeAttemptId();
    context.retryAllowance = grantedRetries;
    context.revision = m_nodeContext.sharedState.configuration.get().revision;
    context.remaining = plan.expiresAt - m_nodeContext.now();
    ++context.depth;
    if (context.remaining <= milliseconds(0))
        return attempt_result::makeFailure(
            { error_kind::DeadlineExceeded, "the deadline has passed" }, grantedRetries);
    if (plan.mayRunLocally && instance == m_nodeContext.identity.instance)
        return runLocally(request, context, plan, scope, yield);
    const auto& instances = m_nodeContext.sharedState.fleet.get().instances;
    const auto found = instances.find(instance);
    if (found == instances.end())
        return attempt_result::makeFailure(
            { error_kind::NoTarget, instance + " is not known" }, grantedRetries);
    const instance_view view = found->second;
    return m_meshClient.call(view, request, context, plan.expiresAt, {}, scope, yield);
}

attempt_result call_dispatcher::runLocally(const call_request& request, const call_context& context,
    const dispatch_plan& plan, cancel_scope& scope, boost::asio::yield_context yield)
{
    const auto& self = m_nodeContext.identity.instance;
    const auto startedAt = m_nodeContext.now();
    m_nodeContext.routing->onSend(self, startedAt);
    auto result = m_runner.run(request, context, plan.expiresAt, scope, yield);
    const auto now = m_nodeContext.now();
    const bool isOutcomeUnknown
        = !result.response && getErrorResponse(result.failure.kind).outcome == run_outcome::Unknown;
    if (isOutcomeUnknown || result.failure.kind == error_kind::TargetUnreachable) {
        m_nodeContext.routing->onFailure(self, now, result.failure.kind);
        return result;
    }
    const bool isSuccess
        = !result.response || result.isDownstreamShed || !isServerFailure(result.response->getHead().status);
    m_nodeContext.routing->onResponse(
        self, now, makeSelfReport(m_nodeContext, 0), now - startedAt, isSuccess);
    return result;
}

std::unique_ptr<attempt_response> call_dispatcher::resumeResponse(const call_request& request,
    const dispatch_plan& plan, const response_head& first, std::uint64_t firstByte, cancel_scope& scope,
    boost::asio::yield_context yield)
{
    const auto etag = first.fields.get("etag");
    const bool isResumable = request.method == "GET" && !request.fields.find("range") && isStrongEtag(etag);
    if (!isResumable || m_nodeContext.now() >= plan.expiresAt)
        return nullptr;
    call_request rangeRequest = request;
    rangeRequest.fields.set("range", "bytes=" + std::to_string(firstByte) + '-');
    rangeRequest.fields.set("if-range", etag);
    auto result = runAttempts(rangeRequest, plan, false, scope, yield);
    if (!result.response || !isContinuationOf(first, result.response->getHead(), firstByte))
        return nullptr;
    m_nodeContext.counters.countResumedResponse();
    return std::move(result.response);
}

} // namespace fuchsiagauge
