#pragma once

#include "core/settings.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace fuchsiagauge {

/// One node with its listeners, controllers and shared state.
class node {
public:
    /// Makes a node that does not listen yet.
    /// @param io the event loop; must run on a single thread.
    /// @param config the node's settings; must outlive the node.
    node(boost::asio::io_context& io, const settings& config);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Opens the listeners and starts the controllers.
    /// @return whether the node serves; if not, the reason is recorded by fail().
    bool start();

    /// Starts a graceful shutdown: refuses new requests, then waits until the requests in flight have ended
    /// or the grace period (`stop.grace_ms`) is over.
    /// @param onStopped called when the node has stopped and may be destroyed.
    void leave(const std::function<void()>& onStopped);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace fuchsiagauge
