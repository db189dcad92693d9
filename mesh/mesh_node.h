#pragma once

#include "core/instance_record.h"
#include "core/traffic_rules.h"
#include "mesh/mesh_settings.h"
#include "mesh/target_protocol.h"
#include "policy/replica_exchange.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// A mesh node that runs next to one instance. It forwards the requests of the clients and the instance on
/// its VM, and controls the admission of all requests to that instance, including those from other nodes.
///
/// The platform adapter reports rules, instances and the state of the platform through the public functions.
class mesh_node {
public:
    /// @param io runs the node; must be run by one thread only.
    /// @param config the node's settings.
    /// @param protocol how to exchange metadata with clients and targets.
    mesh_node(boost::asio::io_context& io, mesh_settings config, target_protocol protocol);
    ~mesh_node();
    mesh_node(const mesh_node&) = delete;
    mesh_node& operator=(const mesh_node&) = delete;

    /// Opens the listeners.
    /// @return whether all listeners are open; if not, the reason is recorded by fail().
    bool start();

    /// Begins a graceful shutdown. The node reports at once that it is not ready, refuses new requests after
    /// a notice period and completes the requests in flight.
    /// @param onStopped called when the node can be destroyed.
    void stop(std::function<void()> onStopped);

    /// Applies the operators' traffic rules unless they are of the current or an older version.
    void applyRules(traffic_rules rules);

    /// Reports that a rules document is invalid; the current rules stay active.
    void reportInvalidRules(const std::string& reason);

    /// Updates the known instances from a full listing.
    void setInstances(const std::vector<instance_record>& listed);

    /// Adds an instance or updates it.
    void updateInstance(const instance_record& record);

    /// Removes an instance that is no longer listed or whose entry is invalid.
    /// @param reason why the entry is invalid; empty if the instance is no longer listed.
    void removeInstance(const std::string& id, const std::string& reason);

    /// Connects the node to the adapter that reads the platform.
    struct platform_hooks {
        /// Receives a complete set of published items that may be out of date; see setNeighbours().
        std::function<void(const item_changes& listed)> onListed;
        /// Receives all published items once they are confirmed, then each change.
        std::function<void(const item_changes& added)> onChanges;
        /// Called when this node starts or stops reading the platform.
        std::function<void(bool isReader)> onRoleChanged;
        /// Called if the known items have proved to be out of date.
        std::function<void()> onOutdated;
    };

    void setPlatformHooks(platform_hooks hooks);

    /// Tells the node of the instances on which it can find other nodes before it uses them for requests.
    void setNeighbours(const std::vector<instance_record>& listed);

    /// @return the exchange through which the nodes of a zone share what they read from the platform.
    replica_exchange& getReplicaExchange();

    /// Reports that a watch of the platform has been replaced because it had not reported a change.
    void reportMissedChange(std::uint64_t knownRevision, std::uint64_t platformRevision);

    /// Counts a call to the platform.
    void countPlatformCall();

    /// Applies reloaded settings that can change while the process runs: only the grace period.
    /// @param config the new settings, or nothing if they are invalid.
    /// @param reason why the settings are invalid.
    void reloadSettings(const std::optional<mesh_settings>& config, const std::string& reason);

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace fuchsiagauge
