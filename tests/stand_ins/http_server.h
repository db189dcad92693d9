#pragma once

#include "bench/http_message.h"
#include "core/address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <functional>
#include <memory>

namespace fuchsiagauge::stand_in {

/// One request on a server connection, and the means to answer it.
class http_exchange {
public:
    /// Gives `count` bytes of a body from `offset` on.
    using body_source = std::function<void(std::uint64_t offset, char* out, std::size_t count)>;

    struct connection;

    http_exchange(connection& owner, bench::http_request request);

    const bench::http_request& getRequest() const { return m_request; }

    /// @return whether the caller has closed the connection.
    bool isCallerGone() const { return m_isCallerGone; }

    /// Sets a hook that is called once when the caller closes the connection before the answer.
    void setGoneHook(std::function<void()> hook) { m_goneHook = std::move(hook); }

    /// Sends a whole answer.
    void send(const bench::http_response& answer, const boost::asio::yield_context& yield);

    /// Sends an answer whose body is made while it is sent.
    /// @param head status and fields; its body is not used.
    /// @param announcedBytes value of `content-length`.
    /// @param sentBytes bytes that are sent.
    /// @param source gives the bytes.
    void sendStream(const bench::http_response& head, std::uint64_t announcedBytes, std::uint64_t sentBytes,
        const body_source& source, const boost::asio::yield_context& yield);

    /// Sends bytes as they are.
    void sendRaw(const std::string& bytes, const boost::asio::yield_context& yield);

    /// Closes the connection once the exchange has ended.
    void closeAfter();

    /// Called by the connection when the caller has gone.
    void reportGone();

private:
    connection& m_owner;
    bench::http_request m_request;
    bool m_isCallerGone = false;
    std::function<void()> m_goneHook;
};

/// Serves one exchange; runs in the connection's coroutine.
using http_handler = std::function<void(http_exchange& exchange, const boost::asio::yield_context& yield)>;

/// Listens and serves HTTP until the process ends.
/// @param context runs the connections.
/// @param listen the address.
/// @param handler called for each request.
/// @throws boost::system::system_error if the address can't be taken.
void serveHttp(boost::asio::io_context& context, const address& listen, http_handler handler);

} // namespace fuchsiagauge::stand_in
