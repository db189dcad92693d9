#pragma once

#include "node/node_context.h"

#include <boost/asio/spawn.hpp>

namespace fuchsiagauge {

/// Polls the target's health and load endpoints and publishes the target's status in the shared state.
///
/// Both endpoints may be outdated or wrong, so their values are treated as hints. The exception is the
/// target's statement that it is leaving, which always takes effect.
class target_monitor {
public:
    explicit target_monitor(node_context& nodeContext);

    /// Starts polling, at the interval `target.poll_ms`.
    void start();

    /// Stops polling after the poll in progress.
    void stop() { m_isStopping = true; }

    /// Marks the target as leaving permanently, because the node itself is leaving.
    void setNodeLeaving();

private:
    void run(boost::asio::yield_context yield);
    void readHealth(target_status& status, boost::asio::yield_context yield);
    void readLoad(target_status& status, boost::asio::yield_context yield);
    std::optional<std::string> fetch(
        const std::string& path, int& statusCode, boost::asio::yield_context yield);

    node_context& m_nodeContext;
    bool m_isStopping = false;
    bool m_isNodeLeaving = false;
};

} // namespace fuchsiagauge
