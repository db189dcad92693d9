#pragma once

#include "core/address.h"
#include "core/clock.h"
#include "transport/pooled_http_client.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>

namespace fuchsiagauge {

/// Pools of persistent connections to other nodes, one pool per address.
class peer_pools {
public:
    peer_pools(boost::asio::io_context& io, clock time, std::shared_ptr<receive_memory> memory);

    /// @return the pool of an address; it is created at the first use.
    pooled_http_client& get(const address& remote);

    /// Ends calls and connections that have timed out and removes pools that have been unused for 60 s.
    void tick();

private:
    struct pool_entry {
        std::unique_ptr<pooled_http_client> pool;
        milliseconds lastUsedAt;
    };

    boost::asio::io_context& m_io;
    clock m_time;
    std::shared_ptr<receive_memory> m_memory;
    std::map<address, pool_entry> m_pools;
};

} // namespace fuchsiagauge
