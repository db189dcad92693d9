#pragma once

#include "bench/http_message.h"
#include "core/address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <functional>
#include <memory>

namespace fuchsiagauge::stand_in {

/// One request on a server connection, with the functions to respond to it.
class http_exchange {
public:
    /// Writes `count` bytes of the body, starting at `offset`, to `out`.
    using body_source = std::function<void(std::uint64_t offset, char* out, std::size_t count)>;

    struct connection;

    http_exchange(connection& owner, bench::http_request request);

    const bench::http_request& getRequest() const { return m_request; }

    /// @return whether the caller has closed the connection.
    bool isCallerDisconnected() const { return m_isCallerDisconnected; }

    /// Sets a hook that is called once if the caller closes the connection before the response is sent; an
    /// empty function removes it.
    void setDisconnectHook(std::function<void()> hook) { m_disconnectHook = std::move(hook); }

    /// Sends a complete response.
    void send(const bench::http_response& response, const boost::asio::yield_context& yield);

    /// Sends a response whose body is generated while it is sent.
    /// @param head status and header fields; its body is not used.
    /// @param contentLength value of the `content-length` field; may differ from sentBytes to inject a fault.
    /// @param sentBytes number of body bytes to send.
    /// @param source generates the body.
    void sendStream(const bench::http_response& head, std::uint64_t contentLength, std::uint64_t sentBytes,
        const body_source& source, const boost::asio::yield_context& yield);

    /// Sends bytes unchanged, without HTTP framing.
    void sendRaw(const std::string& bytes, const boost::asio::yield_context& yield);

    /// Closes the connection when the exchange has ended.
    void closeAfterExchange();

    /// Called by the connection when the caller has disconnected.
    void reportDisconnect();

private:
    connection& m_owner;
    bench::http_request m_request;
    bool m_isCallerDisconnected = false;
    std::function<void()> m_disconnectHook;
};

/// Handles one exchange; runs in the coroutine of the connection.
using http_handler = std::function<void(http_exchange& exchange, const boost::asio::yield_context& yield)>;

/// Starts listening on an address and serves HTTP until the process ends; returns immediately.
/// @param context I/O context that runs the connections.
/// @param listen the address to listen on.
/// @param handler called for each request.
/// @throws boost::system::system_error if the address can't be bound.
void serveHttp(boost::asio::io_context& context, const address& listen, http_handler handler);

} // namespace fuchsiagauge::stand_in
