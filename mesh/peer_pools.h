#pragma once

#include "core/address.h"
#include "core/clock.h"
#include "transport/outgoing_pool.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>

namespace fuchsiagauge {

/// Kept connections to the nodes beside other instances, one pool an address.
class peer_pools {
public:
    peer_pools(boost::asio::io_context& io, clock time);

    /// @return the pool of an address, made at its first use.
    outgoing_pool& get(const address& remote);

    /// Ends what has lasted too long and forgets pools that have not been used for a while.
    void tick();

private:
    struct pool_entry {
        std::unique_ptr<outgoing_pool> pool;
        milliseconds lastUsedAt;
    };

    boost::asio::io_context& m_io;
    clock m_time;
    std::map<address, pool_entry> m_pools;
};

} // namespace fuchsiagauge
