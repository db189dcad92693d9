#pragma once

#include "core/error.h"
#include "transport/call.h"

#include <boost/asio/spawn.hpp>
#include <cstddef>
#include <functional>
#include <string>

namespace fuchsiagauge {

/// Writes the answer of one incoming call.
///
/// An answer that can't be completed is aborted: the connection closes before the announced length or the
/// last chunk, so the other side never takes a part for the whole.
class response_writer {
public:
    virtual ~response_writer() = default;

    /// Sends a whole answer.
    /// @return whether it was written.
    virtual bool sendComplete(
        const response_head& head, const std::string& body, boost::asio::yield_context yield)
        = 0;

    /// Starts an answer whose body follows.
    virtual bool start(const response_head& head, boost::asio::yield_context yield) = 0;

    /// Sends the next bytes of the body.
    virtual bool write(const char* data, std::size_t size, boost::asio::yield_context yield) = 0;

    /// Ends the body.
    virtual bool finish(boost::asio::yield_context yield) = 0;

    /// Closes the connection without completing the answer.
    virtual void abort() = 0;

    /// @return whether the head has been sent.
    virtual bool isStarted() const = 0;

    /// @return whether the other side has closed its connection.
    virtual bool isClosed() const = 0;

    /// Sets the hook that is called once when the other side closes its connection before the answer ends.
    virtual void setDisconnectHook(std::function<void()> hook) = 0;
};

/// Sends the answer that belongs to an error kind.
/// @param kind row of the error table.
/// @param detail what was wrong.
/// @param extraFields further header fields.
bool sendErrorResponse(response_writer& writer, error_kind kind, const std::string& detail,
    const header_fields& extraFields, boost::asio::yield_context yield);

} // namespace fuchsiagauge
