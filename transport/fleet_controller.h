#pragma once

#include "core/audit_trail.h"
#include "core/blackboard.h"
#include "core/clock.h"
#include "core/fleet_keys.h"
#include "core/settings.h"
#include "policy/fleet_agent.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace fuchsiagauge {

/// The node's part in the fleet: platform reader, peer links, configuration and membership.
///
/// Writes the blackboard's configuration, fleet and link. Lives on one io_context, used from its thread only,
/// and outlives its run.
class fleet_controller {
public:
    /// What varies.
    struct hooks {
        /// Records a change, for the audit trail.
        std::function<void(audit_event event, const std::string& detail, const std::string& cause)> audit;
        /// The VM list says that this VM is leaving, or a higher start number was stated for this instance.
        std::function<void(const std::string& cause)> onLeaveRequired;
    };

    /// Makes the controller; nothing is sent before start().
    /// @param context the node's io_context.
    /// @param checked the node's settings.
    /// @param keys the fleet's keys.
    /// @param board the node's blackboard.
    /// @param time the node's clock.
    /// @param startNumber start number of this node.
    /// @param varying hooks; audit is required.
    fleet_controller(boost::asio::io_context& io, const settings& config, const fleet_keys& keys,
        blackboard& board, const clock& time, std::uint64_t startNumber, hooks callbacks);
    ~fleet_controller();
    fleet_controller(const fleet_controller&) = delete;
    fleet_controller& operator=(const fleet_controller&) = delete;

    /// Listens for peers and starts to read and link.
    /// @return whether it listens; the reason is left in getLastError().
    bool start();

    /// Ends all links and reads.
    void stop();

    /// States to all peers, at once, that this instance takes no new work.
    void announceLeaving();

    /// Records a revision seen on a call or its answer.
    void noteRevision(const std::string& peerInstance, std::uint64_t revision);

    /// Records what an instance stated on an answer.
    void noteStatement(const std::string& peerInstance, std::uint64_t startNumber, bool isLeaving = false);

    /// States what this node wants to send over the link between regions.
    void setLinkDemand(double bytesPerSecond);

    /// @return the node's place in the fleet, for the status page.
    fleet_status getStatus() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace fuchsiagauge
