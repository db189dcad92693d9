#pragma once

#include "core/error.h"
#include "policy/run_outcome_policy.h"
#include "transport/call.h"
#include "transport/exchange.h"

#include <boost/asio/spawn.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace fuchsiagauge {

/// Answers up to this size are read whole before they are passed on.
constexpr std::size_t maxBufferedAnswerBytes = 65536;

/// An answer whose head has arrived.
class attempt_answer {
public:
    /// @param head the head.
    /// @param body the whole body, if `rest` is null.
    /// @param rest gives the body piece by piece, or null.
    /// @param onEnd called once, with whether the body came whole; may be empty.
    attempt_answer(response_head head, std::string body, std::unique_ptr<exchange> rest,
        std::function<void(bool)> onEnd);
    ~attempt_answer();
    attempt_answer(const attempt_answer&) = delete;
    attempt_answer& operator=(const attempt_answer&) = delete;

    response_head& getHead() { return m_head; }
    const std::string& getBody() const { return m_body; }

    /// @return whether the body has been read whole.
    bool isWhole() const { return !m_rest; }

    /// @return the exchange that gives the body; null if it has been read whole.
    exchange* getRest() { return m_rest.get(); }

    /// Calls the end hook; has no effect the second time.
    void end(bool isComplete);

private:
    response_head m_head;
    std::string m_body;
    std::unique_ptr<exchange> m_rest;
    std::function<void(bool)> m_onEnd;
};

/// How one attempt ended.
struct attempt_result {
    std::unique_ptr<attempt_answer> answer; ///< Null: see `failure`.
    error failure;
    attempt_report report; ///< How it ended, for the decision on what to do next.
    bool isShedBelow = false; ///< The answer is a failure because of a refusal further down.
    std::optional<int> unspent; ///< Retry allowance returned; nothing if the answer was lost.

    /// @return the result of an attempt that this node saw fail.
    static attempt_result makeFailure(error why, std::optional<int> unspent);

    /// @return the result of an attempt that the other node refused or failed.
    /// @param outcome the other node's stated outcome.
    static attempt_result makeRefusal(error why, run_outcome outcome, int unspent);
};

/// Reads the body of an answer if it is small.
/// @param call the exchange whose head has arrived.
/// @param head the head.
/// @return the answer, or null with the reason recorded by fail().
std::unique_ptr<attempt_answer> readAnswer(std::unique_ptr<exchange> call, response_head head,
    std::function<void(bool)> onEnd, boost::asio::yield_context yield);

} // namespace fuchsiagauge
