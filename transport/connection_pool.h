#pragma once

#include "core/address.h"
#include "core/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <memory>

namespace fuchsiagauge {

/// One connection with its read buffer. Only declared here, since its definition includes Beast, which is
/// slow to compile.
struct http_connection;

/// Opens connections to one address and keeps idle ones for reuse.
class connection_pool {
public:
    /// Creates an empty pool.
    /// @param io runs the connections.
    /// @param remote address to connect to.
    connection_pool(boost::asio::io_context& io, address remote);
    ~connection_pool();
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;

    /// Takes an idle connection or opens a new one.
    /// @param timeout longest time to wait for a new connection.
    /// @return the connection, or null with error_kind::TargetUnreachable.
    std::unique_ptr<http_connection> acquire(milliseconds timeout, boost::asio::yield_context yield);

    /// Returns a connection to the pool. No exchange may be in progress on it. The connection is closed
    /// instead if it has unread data or was closed by the remote side, or if the pool is full.
    void release(std::unique_ptr<http_connection> connection);

    const address& getRemote() const { return m_remote; }

private:
    struct idle_list;

    std::unique_ptr<http_connection> takeIdle();

    boost::asio::io_context& m_io;
    address m_remote;
    std::unique_ptr<idle_list> m_idle;
};

} // namespace fuchsiagauge
