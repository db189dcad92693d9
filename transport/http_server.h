#pragma once

#include "core/address.h"
#include "core/clock.h"
#include "core/traffic_rules.h"
#include "transport/incoming_call.h"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

namespace fuchsiagauge {

/// Accepts HTTP connections and hands each whole request to a hook.
///
/// Several requests may be under way on one connection; their answers leave in order. Without coroutines: a
/// request costs one read and one write. Lives on one io_context, used from its thread only.
class http_server {
public:
    using call_hook = std::function<void(const std::shared_ptr<incoming_call>&)>;

    /// Makes a server that is not yet open.
    /// @param io runs the connections.
    /// @param time the node's clock.
    /// @param maxConnections connections at once; more wait in the kernel's queue.
    /// @param onCall receives each request.
    http_server(boost::asio::io_context& io, clock time, std::size_t maxConnections, call_hook onCall);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Opens the address and begins to accept.
    /// @return the address bound, or nothing with error_kind::BadSettings.
    std::optional<address> open(const address& local);

    /// Puts limits in force, for the messages that follow.
    void setLimits(const client_limits& limits);

    /// From now on each connection ends with its next answer.
    void beginClosing();

    /// Ends idle connections and slow senders whose time is over.
    void tick();

    /// Closes the listener and every connection.
    void close();

    /// @return requests that have not been answered and written.
    std::size_t getOpenCallCount() const;

    struct state;

private:
    std::shared_ptr<state> m_state;
};

} // namespace fuchsiagauge
