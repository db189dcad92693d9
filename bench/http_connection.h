#pragma once

#include "bench/http_message.h"
#include "core/address.h"
#include "core/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <memory>

namespace fuchsiagauge::bench {

/// Why an exchange brought no whole answer.
enum class exchange_failure {
    None,
    ConnectFailed, ///< No byte was sent.
    SendFailed, ///< The request may have arrived.
    Timeout,
    ConnectionLost, ///< Ended before the answer's head.
    BrokenAnswer, ///< Ended early, or not HTTP.
};

/// @return the stable word of a failure.
const char* getFailureName(exchange_failure failure);

/// What one exchange brought.
struct exchange_result {
    exchange_failure failure = exchange_failure::None;
    http_response response; ///< The body is kept only if it was asked for.
    std::uint64_t bodyBytes = 0;
    std::string bodyDigest;
    bool isReusable = false; ///< Whether the connection can carry another exchange.
};

/// A client connection that carries one exchange at a time.
class http_connection {
public:
    http_connection(boost::asio::io_context& context, address remote);
    ~http_connection();
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    /// Connects.
    /// @param timeout longest wait.
    /// @return whether it is connected.
    bool connect(milliseconds timeout, const boost::asio::yield_context& yield);

    /// @return whether the connection is open and silent, so that it can carry an exchange.
    bool isIdle() const;

    /// Sends a request and reads the answer; closes the connection on a failure.
    /// @param request the request; `host` and `content-length` are added.
    /// @param timeout longest wait for the whole exchange.
    /// @param keepBody whether the result keeps the body, not only its digest.
    exchange_result exchange(const http_request& request, milliseconds timeout, bool keepBody,
        const boost::asio::yield_context& yield);

    /// Closes the connection; an exchange under way fails.
    void close();

private:
    struct state;

    std::unique_ptr<state> m_state;
};

} // namespace fuchsiagauge::bench
