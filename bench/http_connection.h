#pragma once

#include "bench/http_message.h"
#include "core/address.h"
#include "core/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <memory>

namespace fuchsiagauge::bench {

/// Why an exchange yielded no complete response.
enum class exchange_failure {
    None,
    ConnectFailed, ///< No byte was sent.
    SendFailed, ///< The request may have been received.
    Timeout,
    ConnectionLost, ///< The connection ended before the response header was complete.
    BrokenAnswer, ///< The response ended early or is not valid HTTP.
};

/// @return the stable identifier of a failure, such as `connect-failed`.
const char* getFailureName(exchange_failure failure);

/// Result of one request and response.
struct exchange_result {
    exchange_failure failure = exchange_failure::None;
    http_response response; ///< Contains the body only if `keepBody` was set.
    std::uint64_t bodyBytes = 0; ///< Bytes of the body received.
    std::string bodyDigest; ///< xxHash64 of the body; empty if it is incomplete.
    bool isReusable = false; ///< Whether the connection can carry another exchange.
};

/// A client connection that carries one exchange at a time.
class http_connection {
public:
    /// @param context runs the connection; must outlive it.
    /// @param remote the address to connect to.
    http_connection(boost::asio::io_context& context, address remote);
    ~http_connection();
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    /// Opens the connection.
    /// @param timeout maximum time to connect.
    /// @return whether the connection was opened.
    bool connect(milliseconds timeout, const boost::asio::yield_context& yield);

    /// @return whether the connection is open and has no unread data, so that it can carry an exchange.
    bool isIdle() const;

    /// Sends a request and reads the response; closes the connection on a failure.
    /// @param request the request; the fields `host` and `content-length` are added.
    /// @param timeout maximum time for the complete exchange.
    /// @param keepBody whether the result contains the body in addition to its digest.
    /// @return the response, or the reason for the failure.
    exchange_result exchange(const http_request& request, milliseconds timeout, bool keepBody,
        const boost::asio::yield_context& yield);

    /// Closes the connection; an exchange in progress fails.
    void close();

private:
    struct state;

    std::unique_ptr<state> m_state;
};

} // namespace fuchsiagauge::bench
