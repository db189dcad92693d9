#include "bench/connection_pool.h"

#include <algorithm>
#include <chrono>

namespace fuchsiagauge::bench {

connection_pool::connection_pool(boost::asio::io_context& context, address remote, std::size_t maxConnections)
    : m_context(context)
    , m_remote(std::move(remote))
    , m_maxConnections(maxConnections)
{
}

bool connection_pool::acquireSlot(milliseconds timeout, const boost::asio::yield_context& yield)
{
    if (m_inUse < m_maxConnections) {
        ++m_inUse;
        return true;
    }
    boost::asio::steady_timer timer(
        m_context, std::chrono::microseconds(static_cast<long long>(timeout.getCount() * 1000)));
    const auto position = m_waiters.insert(m_waiters.end(), &timer);
    boost::system::error_code code;
    timer.async_wait(yield[code]);
    const bool hasSlot = std::find(m_waiters.begin(), m_waiters.end(), &timer) == m_waiters.end();
    if (!hasSlot)
        m_waiters.erase(position);
    return hasSlot;
}

void connection_pool::releaseSlot()
{
    if (m_waiters.empty()) {
        --m_inUse;
        return;
    }
    auto* next = m_waiters.front();
    m_waiters.pop_front();
    next->cancel();
}

std::unique_ptr<http_connection> connection_pool::acquire(
    milliseconds timeout, const boost::asio::yield_context& yield)
{
    if (!acquireSlot(timeout, yield))
        return nullptr;
    m_peakInUse = std::max(m_peakInUse, m_inUse);
    while (!m_idle.empty()) {
        auto connection = std::move(m_idle.back());
        m_idle.pop_back();
        if (connection->isIdle())
            return connection;
    }
    auto connection = std::make_unique<http_connection>(m_context, m_remote);
    if (connection->connect(timeout, yield))
        return connection;
    releaseSlot();
    return nullptr;
}

void connection_pool::release(std::unique_ptr<http_connection> connection, bool isReusable)
{
    if (isReusable)
        m_idle.push_back(std::move(connection));
    releaseSlot();
}

} // namespace fuchsiagauge::bench
