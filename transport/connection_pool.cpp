#include "transport/connection_pool.h"

#include "core/error.h"
#include "transport/coroutine.h"
#include "transport/http_connection.h"

#include <vector>

namespace fuchsiagauge {
namespace {

    /// Shorter than the idle timeout of the listeners, so that a connection is not reused while the remote
    /// side is closing it.
    constexpr std::chrono::seconds maxIdleTime { 20 };
    constexpr std::size_t maxIdleConnections = 512;

} // namespace

struct connection_pool::idle_list {
    std::vector<std::unique_ptr<http_connection>> connections;
};

connection_pool::connection_pool(boost::asio::io_context& io, address remote)
    : m_io(io)
    , m_remote(std::move(remote))
    , m_idle(std::make_unique<idle_list>())
{
}

connection_pool::~connection_pool() = default;

std::unique_ptr<http_connection> connection_pool::takeIdle()
{
    auto& list = m_idle->connections;
    const auto now = std::chrono::steady_clock::now();
    while (!list.empty()) {
        auto connection = std::move(list.back());
        list.pop_back();
        if (now - connection->idleSince > maxIdleTime) {
            list.clear();
            return nullptr;
        }
        if (!isClosedOrReadable(connection->stream.socket()))
            return connection;
    }
    return nullptr;
}

std::unique_ptr<http_connection> connection_pool::acquire(
    milliseconds timeout, boost::asio::yield_context yield)
{
    if (auto idle = takeIdle())
        return idle;
    auto connection = std::make_unique<http_connection>(m_io);
    boost::system::error_code code;
    const auto host = asio::ip::make_address(m_remote.host, code);
    if (code) {
        fail(error_kind::TargetUnreachable, "not an IP number: " + m_remote.host);
        return nullptr;
    }
    connection->stream.expires_after(toChrono(timeout));
    connection->stream.async_connect(asio::ip::tcp::endpoint(host, m_remote.port), yield[code]);
    if (code) {
        fail(error_kind::TargetUnreachable, formatAddress(m_remote) + ": " + code.message());
        return nullptr;
    }
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), code);
    return connection;
}

void connection_pool::release(std::unique_ptr<http_connection> connection)
{
    auto& list = m_idle->connections;
    const bool isReusable
        = connection->buffer.size() == 0 && !isClosedOrReadable(connection->stream.socket());
    if (!isReusable || list.size() >= maxIdleConnections)
        return;
    connection->stream.expires_never();
    connection->idleSince = std::chrono::steady_clock::now();
    list.push_back(std::move(connection));
}

} // namespace fuchsiagauge
