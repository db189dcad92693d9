#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "transport/call.h"

#include <boost/asio/spawn.hpp>
#include <cstddef>
#include <memory>
#include <optional>

namespace fuchsiagauge {

class connection_pool;

/// One request and its response on a pooled connection.
///
/// A connection is used by one exchange at a time. An exchange that fails or is cancelled closes its
/// connection, so that a late response can never be mistaken for the response to another request.
class exchange {
public:
    /// @param pool provides the connection; kept alive by the exchange.
    explicit exchange(std::shared_ptr<connection_pool> pool);
    ~exchange();
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    /// Sends the request and reads the head of the response.
    /// @param request the request with its body.
    /// @param connectTimeout longest time to wait for a connection.
    /// @param timeout longest time for sending the request and receiving the response, unless setTimeout()
    /// changes it.
    /// @return the head, or nothing with TargetUnreachable, ConnectionLost, AnswerTimeout, BrokenAnswer or
    /// Cancelled.
    std::optional<response_head> start(const call_request& request, milliseconds connectTimeout,
        milliseconds timeout, boost::asio::yield_context yield);

    /// Reads the next bytes of the body.
    /// @return the number of bytes, 0 at the end of the body, or nothing with ConnectionLost, AnswerTimeout,
    /// BrokenAnswer or Cancelled.
    std::optional<std::size_t> readSome(char* data, std::size_t size, boost::asio::yield_context yield);

    /// Restarts the timeout of the exchange, counted from now.
    void setTimeout(milliseconds timeout);

    /// Cancels the exchange. Called by another handler while the coroutine waits in start() or readSome().
    void cancel();

    /// @return whether any byte of the request may have reached the remote side.
    bool mayHaveArrived() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace fuchsiagauge
