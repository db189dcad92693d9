#include "node/attempt.h"

#include <utility>

namespace fuchsiagauge {
namespace {

    attempt_end classifyEnd(error_kind kind)
    {
        switch (kind) {
        case error_kind::TargetUnreachable:
            return attempt_end::ConnectFailed;
        case error_kind::ConnectionLost:
            return attempt_end::ConnectionLost;
        case error_kind::AnswerTimeout:
            return attempt_end::AnswerTimeout;
        case error_kind::BrokenAnswer:
            return attempt_end::BrokenAnswer;
        default:
            return attempt_end::NotSent;
        }
    }

} // namespace

attempt_response::attempt_response(response_head head, std::string body, std::unique_ptr<exchange> bodyStream,
    std::function<void(bool)> onFinish)
    : m_head(std::move(head))
    , m_body(std::move(body))
    , m_bodyStream(std::move(bodyStream))
    , m_onFinish(std::move(onFinish))
{
}

attempt_response::~attempt_response() { finish(false); }

void attempt_response::finish(bool isComplete)
{
    const auto hook = std::exchange(m_onFinish, nullptr);
    if (hook)
        hook(isComplete);
}

attempt_result attempt_result::makeFailure(error reason, std::optional<int> unspentRetries)
{
    attempt_result result;
    result.report.end = classifyEnd(reason.kind);
    result.report.kind = reason.kind;
    result.failure = std::move(reason);
    result.unspentRetries = unspentRetries;
    return result;
}

attempt_result attempt_result::makeRefusal(error reason, run_outcome outcome, int unspentRetries)
{
    attempt_result result;
    result.report.end = attempt_end::Answered;
    result.report.kind = reason.kind;
    result.report.outcome = outcome;
    result.failure = std::move(reason);
    result.unspentRetries = unspentRetries;
    return result;
}

std::unique_ptr<attempt_response> readResponse(std::unique_ptr<exchange> call, response_head head,
    std::function<void(bool)> onFinish, boost::asio::yield_context yield)
{
    const bool isSmall = head.contentLength && *head.contentLength <= maxBufferedResponseBytes;
    if (!isSmall)
        return std::make_unique<attempt_response>(
            std::move(head), std::string(), std::move(call), std::move(onFinish));
    std::string body(*head.contentLength, '\0');
    std::size_t length = 0;
    while (length < body.size()) {
        const auto count = call->readSome(&body[length], body.size() - length, yield);
        if (!count) {
            const auto reason = copyLastError();
            if (onFinish)
                onFinish(false);
            fail(reason.kind, reason.detail);
            return nullptr;
        }
        if (*count == 0)
            break;
        length += *count;
    }
    body.resize(length);
    return std::make_unique<attempt_response>(std::move(head), std::move(body), nullptr, std::move(onFinish));
}

} // namespace fuchsiagauge
