#pragma once

#include "bench/http_connection.h"

#include <boost/asio/steady_timer.hpp>
#include <list>
#include <vector>

namespace fuchsiagauge::bench {

/// Keep-alive connections to one address, up to a fixed number.
class connection_pool {
public:
    /// @param context runs the connections; must outlive the pool.
    /// @param peer where they lead.
    /// @param maxConnections connections open at once.
    connection_pool(boost::asio::io_context& context, address remote, std::size_t maxConnections);

    /// Takes an idle connection, opens one, or waits for one to be given back.
    /// @param timeout longest wait.
    /// @return the connection, or a null pointer if none could be had.
    std::unique_ptr<http_connection> acquire(milliseconds timeout, const boost::asio::yield_context& yield);

    /// Ends the use of a connection.
    /// @param connection what take() returned.
    /// @param isReusable whether it can carry another exchange.
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
