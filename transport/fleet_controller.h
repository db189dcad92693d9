#pragma once

#include "core/audit_trail.h"
#include "core/clock.h"
#include "core/fleet_keys.h"
#include "core/settings.h"
#include "core/shared_state.h"
#include "policy/fleet_agent.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace fuchsiagauge {

/// Connects the node's fleet agent to peers and to the platform, and publishes its results in the node's
/// shared state.
///
/// It writes the entries `configuration`, `fleet` and `link` of the shared state. It must only be used from
/// the thread that runs its io_context, and must be destroyed only after the io_context has stopped running.
class fleet_controller {
public:
    /// Callbacks into the owner.
    struct hooks {
        /// Records a change in the audit trail.
        std::function<void(audit_event event, const std::string& detail, const std::string& cause)> audit;
        /// Called once, when the VM list marks this VM as leaving or a higher start number is known for this
        /// instance. May be empty.
        std::function<void(const std::string& cause)> onLeaveRequired;
    };

    /// Creates the controller. Nothing is sent before start().
    /// @param io runs the peer links, timers and platform calls.
    /// @param config the node's settings.
    /// @param keys the fleet's keys.
    /// @param sharedState the node's shared state; must outlive the controller.
    /// @param time the node's clock.
    /// @param startNumber start number of this node.
    /// @param callbacks hooks; `audit` is required.
    fleet_controller(boost::asio::io_context& io, const settings& config, const fleet_keys& keys,
        shared_state& sharedState, const clock& time, std::uint64_t startNumber, hooks callbacks);
    ~fleet_controller();
    fleet_controller(const fleet_controller&) = delete;
    fleet_controller& operator=(const fleet_controller&) = delete;

    /// Starts listening for peers, opening links and reading the platform's documents.
    /// @return whether it is listening; if not, getLastError() gives the reason.
    bool start();

    /// Closes all links and stops reading the platform's documents.
    void stop();

    /// Announces to the peers, at once, that this instance takes no new work.
    void announceLeaving();

    /// Records a revision of the presets that was seen on a call or its response.
    /// @param peerInstance name of the instance that sent it; empty if it was seen on an incoming call.
    /// @param revision the revision.
    void recordRevision(const std::string& peerInstance, std::uint64_t revision);

    /// Records the state that an instance reported about itself in the response to a call.
    /// @param peerInstance name of the instance.
    /// @param startNumber its start number.
    /// @param isLeaving whether it reported that it takes no new work.
    void recordStatement(const std::string& peerInstance, std::uint64_t startNumber, bool isLeaving = false);

    /// Publishes how much this node wants to send over the link between regions.
    void setRegionLinkDemand(double bytesPerSecond);

    /// @return the state of the node within the fleet, for the status page.
    fleet_status getStatus() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace fuchsiagauge
