#include "node/pool_registry.h"

namespace fuchsiagauge {

std::shared_ptr<connection_pool> pool_registry::get(const address& remote)
{
    auto& pool = m_pools[remote];
    if (!pool)
        pool = std::make_shared<connection_pool>(m_io, remote);
    return pool;
}

void pool_registry::retain(const std::set<address>& addresses)
{
    for (auto position = m_pools.begin(); position != m_pools.end();) {
        if (addresses.count(position->first) == 0)
            position = m_pools.erase(position);
        else
            ++position;
    }
}

} // namespace fuchsiagauge
