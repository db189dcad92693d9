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

/// One request and its answer on a connection of a pool.
///
/// One exchange at a time uses a connection. An exchange that was given up closes its connection, so that a
/// late answer can never be taken for another request's.
class exchange {
public:
    /// @param pool gives the connection; kept alive by the exchange.
    explicit exchange(std::shared_ptr<connection_pool> pool);
    ~exchange();
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    /// Sends the request and reads the head of the answer.
    /// @param request the request with its body.
    /// @param connectTimeout longest wait for a connection.
    /// @param timeout longest wait for the head, and for the body without further setTimeout().
    /// @return the head, or nothing with TargetUnreachable, ConnectionLost, AnswerTimeout, BrokenAnswer or
    /// Cancelled.
    std::optional<response_head> start(const call_request& request, milliseconds connectTimeout,
        milliseconds timeout, boost::asio::yield_context yield);

    /// Reads the next bytes of the body.
    /// @return the count, 0 at the end, or nothing with ConnectionLost, AnswerTimeout, BrokenAnswer or
    /// Cancelled.
    std::optional<std::size_t> readSome(char* data, std::size_t size, boost::asio::yield_context yield);

    /// Sets the longest wait from now on.
    void setTimeout(milliseconds timeout);

    /// Gives the exchange up from another handler.
    void cancel();

    /// @return whether a byte of the request may have reached the other side.
    bool mayHaveArrived() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace fuchsiagauge
