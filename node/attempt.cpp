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

attempt_answer::attempt_answer(
    response_head head, std::string body, std::unique_ptr<exchange> rest, std::function<void(bool)> onEnd)
    : m_head(std::move(head))
    , m_body(std::move(body))
    , m_rest(std::move(rest))
    , m_onEnd(std::move(onEnd))
{
}

attempt_answer::~attempt_answer() { end(false); }

void attempt_answer::end(bool isComplete)
{
    const auto hook = std::exchange(m_onEnd, nullptr);
    if (hook)
        hook(isComplete);
}

attempt_result attempt_result::makeFailure(error why, std::optional<int> unspent)
{
    attempt_result result;
    result.report.end = classifyEnd(why.kind);
    result.report.kind = why.kind;
    result.failure = std::move(why);
    result.unspent = unspent;
    return result;
}

attempt_result attempt_result::makeRefusal(error why, run_outcome outcome, int unspent)
{
    attempt_result result;
    result.report.end = attempt_end::Answered;
    result.report.kind = why.kind;
    result.report.outcome = outcome;
    result.failure = std::move(why);
    result.unspent = unspent;
    return result;
}

std::unique_ptr<attempt_answer> readAnswer(std::unique_ptr<exchange> call, response_head head,
    std::function<void(bool)> onEnd, boost::asio::yield_context yield)
{
    const bool isSmall = head.contentLength && *head.contentLength <= maxBufferedAnswerBytes;
    if (!isSmall)
        return std::make_unique<attempt_answer>(
            std::move(head), std::string(), std::move(call), std::move(onEnd));
    std::string body(*head.contentLength, '\0');
    std::size_t length = 0;
    while (length < body.size()) {
        const auto count = call->readSome(&body[length], body.size() - length, yield);
        if (!count) {
            const auto reason = copyLastError();
            if (onEnd)
                onEnd(false);
            fail(reason.kind, reason.detail);
            return nullptr;
        }
        if (*count == 0)
            break;
        length += *count;
    }
    body.resize(length);
    return std::make_unique<attempt_answer>(std::move(head), std::move(body), nullptr, std::move(onEnd));
}

} // namespace fuchsiagauge
