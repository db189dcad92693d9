#pragma once

#include "core/instance_record.h"
#include "core/traffic_rules.h"
#include "mesh/mesh_settings.h"
#include "mesh/target_protocol.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// The node beside one instance in a mesh: serves the clients and the instance on its VM, and is the gate of
/// that instance for all other nodes.
///
/// What the platform says comes in through the take and note functions, called by the adapter.
class mesh_node {
public:
    /// @param io runs it; one thread.
    /// @param config the node's settings.
    /// @param protocol how clients and targets speak.
    mesh_node(boost::asio::io_context& io, mesh_settings config, target_protocol protocol);
    ~mesh_node();
    mesh_node(const mesh_node&) = delete;
    mesh_node& operator=(const mesh_node&) = delete;

    /// Opens the listeners.
    /// @return whether it serves; the reason is recorded by fail().
    bool start();

    /// Begins the graceful shutdown: takes no new clients, ends what is in flight.
    /// @param onStopped called once the node may end.
    void stop(std::function<void()> onStopped);

    /// Takes in the operators' rules; an older version changes nothing.
    void applyRules(traffic_rules rules);

    /// Takes in that a document of rules can't be used.
    void reportInvalidRules(const std::string& reason);

    /// Takes in the full list of instances.
    void setInstances(const std::vector<instance_record>& listed);

    /// Takes in a new or changed instance.
    void updateInstance(const instance_record& record);

    /// Takes in that an instance is no longer listed, or that its entry can't be used.
    void removeInstance(const std::string& id, const std::string& reason);

    /// Sets what is called when an instance turns out not to be the one that is listed.
    void setStaleInstanceHook(std::function<void()> onStaleInstance);

    /// Takes in that the platform can't be reached.
    void onPlatformUnreachable(const std::string& reason);

    /// Takes in that the platform answers again.
    void onPlatformReachable();

    /// Counts a call to the platform.
    void countPlatformCall();

    /// Takes in settings that were read again: those that can change in a running process are put in force.
    void reloadSettings(const std::optional<mesh_settings>& config, const std::string& reason);

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace fuchsiagauge
