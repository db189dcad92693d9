#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace fuchsiagauge {

/// Lifecycle state of an instance.
enum class instance_state {
    Live,
    Leaving, ///< Accepts no new requests.
    Gone, ///< Known to have terminated.
};

/// What this node knows about an instance of a service and the node of that instance.
struct instance_view {
    std::string id; ///< Name of the instance, unique within the fleet.
    std::string service;
    std::string region;
    std::string zone; ///< Availability zone.
    std::string meshAddress; ///< `ip:port` for calls from other nodes.
    std::string peerAddress; ///< `ip:port` for peer links.
    std::uint64_t startNumber = 0; ///< Start number of the node; 0: unknown.
    instance_state state = instance_state::Live;

    friend bool operator==(const instance_view& a, const instance_view& b);
    friend bool operator!=(const instance_view& a, const instance_view& b) { return !(a == b); }
};

/// All instances known to this node, by instance id.
struct fleet_view {
    std::map<std::string, instance_view> instances;

    friend bool operator==(const fleet_view& a, const fleet_view& b) { return a.instances == b.instances; }
    friend bool operator!=(const fleet_view& a, const fleet_view& b) { return !(a == b); }
};

} // namespace fuchsiagauge
