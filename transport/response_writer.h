#pragma once

#include "core/error.h"
#include "transport/call.h"

#include <boost/asio/spawn.hpp>
#include <cstddef>
#include <functional>
#include <string>

namespace fuchsiagauge {

/// Writes the response to one incoming call.
///
/// A response that can't be completed is aborted: the connection is closed before the whole Content-Length or
/// the last chunk has been sent, so that the client never mistakes a truncated response for a complete one.
class response_writer {
public:
    virtual ~response_writer() = default;

    /// Sends a response together with its complete body.
    /// @return whether it was written.
    virtual bool sendComplete(
        const response_head& head, const std::string& body, boost::asio::yield_context yield)
        = 0;

    /// Sends the head of a response. The body follows through write() and finish().
    /// @return whether it was written.
    virtual bool start(const response_head& head, boost::asio::yield_context yield) = 0;

    /// Sends the next bytes of the body.
    /// @return whether they were written.
    virtual bool write(const char* data, std::size_t size, boost::asio::yield_context yield) = 0;

    /// Completes the body.
    /// @return whether the response was written completely.
    virtual bool finish(boost::asio::yield_context yield) = 0;

    /// Closes the connection without completing the response.
    virtual void abort() = 0;

    /// @return whether sending of the head has begun.
    virtual bool isStarted() const = 0;

    /// @return whether the connection was closed, by the client or by abort().
    virtual bool isClosed() const = 0;

    /// Sets the hook that is called once if the client closes its connection before the call has been served.
    virtual void setDisconnectHook(std::function<void()> hook) = 0;
};

/// Sends the error response for an error kind.
/// @param writer sends the response.
/// @param kind selects the status and the text; see getErrorResponse().
/// @param detail what was wrong with this request.
/// @param extraFields further header fields of the response.
/// @return whether the response was written.
bool sendErrorResponse(response_writer& writer, error_kind kind, const std::string& detail,
    const header_fields& extraFields, boost::asio::yield_context yield);

} // namespace fuchsiagauge
