#pragma once

#include "bench/http_connection.h"

#include <boost/asio/steady_timer.hpp>
#include <list>
#include <vector>

namespace fuchsiagauge::bench {

/// Pool of keep-alive connections to one address, limited to a fixed number.
class connection_pool {
public:
    /// @param context runs the connections; must outlive the pool.
    /// @param remote the address to connect to.
    /// @param maxConnections maximum number of connections open at once.
    connection_pool(boost::asio::io_context& context, address remote, std::size_t maxConnections);

    /// Returns an idle connection or opens one; at the limit, waits until a connection is released.
    /// @param timeout maximum wait for a free slot, and again for the connection to open.
    /// @return the connection, or a null pointer if none became available in time.
    std::unique_ptr<http_connection> acquire(milliseconds timeout, const boost::asio::yield_context& yield);

    /// Returns a connection to the pool, or closes it if it is not reusable.
    /// @param connection a connection that acquire() returned.
    /// @param isReusable whether the connection can carry another exchange.
    void release(std::unique_ptr<http_connection> connection, bool isReusable);

    const address& getRemote() const { return m_remote; }

    /// @return the largest number of connections that were in use at once.
    std::size_t getPeakInUse() const { return m_peakInUse; }

private:
    bool acquireSlot(milliseconds timeout, const boost::asio::yield_context& yield);
    void releaseSlot();

    boost::asio::io_context& m_context;
    address m_remote;
    std::size_t m_maxConnections;
    std::size_t m_inUse = 0;
    std::size_t m_peakInUse = 0;
    std::vector<std::unique_ptr<http_connection>> m_idle;
    std::list<boost::asio::steady_timer*> m_waiters;
};

} // namespace fuchsiagauge::bench
