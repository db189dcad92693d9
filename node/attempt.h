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

/// Responses up to this size, in bytes, are read completely before they are forwarded.
constexpr std::size_t maxBufferedResponseBytes = 65536;

/// A response whose head has arrived and whose body is either buffered or still to be read.
class attempt_response {
public:
    /// @param head the head.
    /// @param body the complete body, if `bodyStream` is null.
    /// @param bodyStream the exchange to read the body from, or null.
    /// @param onFinish called once, with whether the body was received and forwarded completely; may be
    /// empty.
    attempt_response(response_head head, std::string body, std::unique_ptr<exchange> bodyStream,
        std::function<void(bool)> onFinish);
    ~attempt_response();
    attempt_response(const attempt_response&) = delete;
    attempt_response& operator=(const attempt_response&) = delete;

    response_head& getHead() { return m_head; }
    const std::string& getBody() const { return m_body; }

    /// @return whether the body has been read completely.
    bool isBuffered() const { return !m_bodyStream; }

    /// @return the exchange to read the body from; null if the body is buffered.
    exchange* getBodyStream() { return m_bodyStream.get(); }

    /// Calls the finish hook; later calls have no effect. The destructor calls it with `false`.
    /// @param isComplete whether the body was received and forwarded completely.
    void finish(bool isComplete);

private:
    response_head m_head;
    std::string m_body;
    std::unique_ptr<exchange> m_bodyStream;
    std::function<void(bool)> m_onFinish;
};

/// How one attempt ended.
struct attempt_result {
    std::unique_ptr<attempt_response> response; ///< Null if the attempt failed; see `failure`.
    error failure; ///< Set if `response` is null.
    attempt_report report; ///< Input to decideAfterRemoteAttempt().
    bool isDownstreamShed = false; ///< The response is an error caused by overload downstream.
    std::optional<int> unspentRetries; ///< Unspent part of the allowance; nothing if it was not reported.

    /// Makes the result of an attempt whose failure this node observed itself.
    /// @param reason the error that this node observed.
    /// @param unspentRetries unspent part of the allowance; nothing if it is not known.
    static attempt_result makeFailure(error reason, std::optional<int> unspentRetries);

    /// Makes the result of an attempt that the other node answered with an error.
    /// @param reason the error that the other node stated.
    /// @param outcome the outcome that the other node stated.
    /// @param unspentRetries unspent part of the allowance, as the other node stated it.
    static attempt_result makeRefusal(error reason, run_outcome outcome, int unspentRetries);
};

/// Reads the body of a response if it is no larger than maxBufferedResponseBytes; otherwise leaves it to be
/// streamed.
/// @param call the exchange whose head has arrived.
/// @param head the head.
/// @param onFinish called once, with whether the body was received and forwarded completely; may be empty.
/// @param yield the coroutine that waits.
/// @return the response, or null with the reason recorded by fail().
std::unique_ptr<attempt_response> readResponse(std::unique_ptr<exchange> call, response_head head,
    std::function<void(bool)> onFinish, boost::asio::yield_context yield);

} // namespace fuchsiagauge
