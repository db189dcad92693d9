#pragma once

#include "core/address.h"
#include "transport/connection_pool.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <set>

namespace fuchsiagauge {

/// Holds one connection pool per remote address.
class pool_registry {
public:
    explicit pool_registry(boost::asio::io_context& io)
        : m_io(io)
    {
    }

    /// @return the pool of an address, created at the first use.
    std::shared_ptr<connection_pool> get(const address& remote);

    /// Removes all pools except those of `addresses`. An exchange in progress keeps its pool alive.
    /// @param addresses the addresses whose pools are kept.
    void retain(const std::set<address>& addresses);

private:
    boost::asio::io_context& m_io;
    std::map<address, std::shared_ptr<connection_pool>> m_pools;
};

} // namespace fuchsiagauge
