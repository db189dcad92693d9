#pragma once

#include "node/node_context.h"

#include <boost/asio/spawn.hpp>

namespace fuchsiagauge {

/// Reads the target's health and load endpoints and writes the blackboard's target entry.
///
/// Both endpoints lag or mislead: they are hints, but for the target's word that it is leaving.
class target_monitor {
public:
    explicit target_monitor(node_context& nodeContext);

    /// Begins to read.
    void start();

    /// Ends after the read in progress.
    void stop() { m_isStopping = true; }

    /// Records that the node itself takes no new work from now on.
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
