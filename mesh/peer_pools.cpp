#include "mesh/peer_pools.h"

#include <utility>

namespace fuchsiagauge {
namespace {

    /// Unused pools are removed after this time, since an address may be reassigned to another VM.
    constexpr milliseconds maxUnusedTime { 60000 };
    /// Shorter than the idle timeout of the peers, so that they don't close a connection first.
    constexpr milliseconds idleTimeout { 10000 };

} // namespace

peer_pools::peer_pools(boost::asio::io_context& io, clock time, std::shared_ptr<receive_memory> memory)
    : m_io(io)
    , m_time(std::move(time))
    , m_memory(std::move(memory))
{
}

pooled_http_client& peer_pools::get(const address& remote)
{
    auto& entry = m_pools[remote];
    entry.lastUsedAt = m_time.now();
    if (!entry.pool) {
        pool_limits limits;
        limits.idleTimeout = idleTimeout;
        limits.memory = m_memory;
        entry.pool = std::make_unique<pooled_http_client>(m_io, m_time, remote, limits);
    }
    return *entry.pool;
}

void peer_pools::tick()
{
    const auto now = m_time.now();
    for (auto item = m_pools.begin(); item != m_pools.end();) {
        item->second.pool->tick();
        const bool isUnused
            = now - item->second.lastUsedAt > maxUnusedTime && item->second.pool->getOpenCallCount() == 0;
        item = isUnused ? m_pools.erase(item) : std::next(item);
    }
}

} // namespace fuchsiagauge
