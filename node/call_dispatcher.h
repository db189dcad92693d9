#pragma once

#include "node/answer_relay.h"
#include "node/remote_caller.h"
#include "node/target_runner.h"

namespace fuchsiagauge {

/// A call that needs an instance of a service.
struct dispatch_plan {
    std::string service;
    request_class requestClass;
    call_context context; ///< Request id, class and depth; the attempt id names the work in the retry ledger.
    milliseconds expiresAt; ///< Instant of the deadline.
    bool mayRunHere = false; ///< Whether the local target is one of the instances, and is preferred.
};

/// Makes the attempts for one call: chooses instances, retries within the allowance, resumes large answers.
class call_dispatcher {
public:
    call_dispatcher(node_parts& parts, target_runner& runner, remote_caller& caller);

    /// Serves a call and writes its answer, or the error that it ended with.
    /// @param request the call.
    /// @param plan how it is served; its work must be open in the retry ledger.
    /// @param writer where the answer goes.
    /// @param scope gives the call up.
    /// @return why the call failed, Shed also for an answer that failed by a refusal further down; else
    /// nothing.
    std::optional<error_kind> dispatch(const call_request& request, const dispatch_plan& plan,
        response_writer& writer, cancel_scope& scope, boost::asio::yield_context yield);

    /// Chooses an instance.
    /// @param excluded instances already tried.
    /// @return the instance id, or nothing with NoTarget or Shed.
    std::optional<std::string> chooseInstance(
        const dispatch_plan& plan, const std::vector<std::string>& excluded);

private:
    attempt_result runAttempts(const call_request& request, const dispatch_plan& plan, bool isFirstFree,
        cancel_scope& scope, boost::asio::yield_context yield);
    attempt_result makeAttempt(const std::string& instance, const call_request& request,
        const dispatch_plan& plan, int grantedRetries, cancel_scope& scope, boost::asio::yield_context yield);
    attempt_result runHere(const call_request& request, const call_context& context,
        const dispatch_plan& plan, cancel_scope& scope, boost::asio::yield_context yield);
    std::optional<int> beginAttempt(const dispatch_plan& plan, bool isRetry);
    std::optional<std::string> chooseNextInstance(
        const dispatch_plan& plan, const std::vector<std::string>& tried, const request_facts& facts);
    bool decide(attempt_result& result, request_facts& facts, const dispatch_plan& plan) const;
    bool isLocalTargetFree() const;
    std::unique_ptr<attempt_answer> resumeAnswer(const call_request& request, const dispatch_plan& plan,
        const response_head& first, std::uint64_t firstByte, cancel_scope& scope,
        boost::asio::yield_context yield);

    node_parts& m_parts;
    target_runner& m_runner;
    remote_caller& m_caller;
};

/// Answers with an error kind on behalf of a request.
void sendRequestError(response_writer& writer, const error& reason, const std::string& requestId,
    boost::asio::yield_context yield);

} // namespace fuchsiagauge
