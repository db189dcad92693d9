#pragma once

#include "core/clock.h"
#include "core/fleet_view.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// Whether a node takes new work.
enum class node_state {
    Serving,
    Leaving,
};

/// @return the stable word of a node's state: `serving` or `leaving`.
const char* getNodeStateName(node_state state);

/// @return the stable word of an instance's state: `live`, `leaving` or `gone`.
const char* getInstanceStateName(instance_state state);

/// The configuration that a node acts on, as operators see it.
struct configuration_status {
    std::string preset; ///< Name of the preset in force.
    std::uint64_t revision = 0; ///< 0: the node's own defaults.
    std::string digest; ///< Digest of the document's bytes.
    bool hasDocumentConflict = false; ///< Two documents were seen with one revision.
    std::string lastRefusal; ///< Why the last refused document was refused; empty: none was.

    friend bool operator==(const configuration_status& a, const configuration_status& b);
    friend bool operator!=(const configuration_status& a, const configuration_status& b) { return !(a == b); }
};

/// The load of a node's own target.
struct target_load {
    int inFlight = 0; ///< Requests at the target.
    int limit = 0; ///< Concurrency limit.
    int queued = 0; ///< Requests that wait in the node.
    std::uint32_t admissionLevel = 0; ///< Requests ranked below this are refused at present.

    friend bool operator==(const target_load& a, const target_load& b);
    friend bool operator!=(const target_load& a, const target_load& b) { return !(a == b); }
};

/// Counts of one request class since the node's start.
struct class_counters {
    std::string name;
    std::uint64_t offered = 0; ///< Requests that arrived for the node's own target.
    std::uint64_t answered = 0;
    std::uint64_t shed = 0; ///< Refused because of overload.
    std::uint64_t expired = 0; ///< Given up because the deadline passed.

    friend bool operator==(const class_counters& a, const class_counters& b);
    friend bool operator!=(const class_counters& a, const class_counters& b) { return !(a == b); }
};

/// One instance as a node sees it.
struct instance_status {
    std::string id;
    std::string service;
    std::string region;
    std::string zone;
    instance_state state = instance_state::Live;
    bool isEjected = false; ///< Gets no calls from this node but probes.
    std::string reason; ///< Why it is ejected; empty when it is not.
    int inFlight = 0; ///< This node's own calls in flight there.

    friend bool operator==(const instance_status& a, const instance_status& b);
    friend bool operator!=(const instance_status& a, const instance_status& b) { return !(a == b); }
};

/// A node's links to other nodes and to the platform.
struct control_status {
    int peers = 0; ///< Open peer links.
    std::vector<std::string> cutOffRegions; ///< Regions with instances, none of which can be reached.
    std::vector<std::string> cutOffZones; ///< Availability zones with instances, none reachable.
    bool isReader = false; ///< Whether this node holds the watch on the platform.
    std::vector<std::string> readers; ///< Instances that this node believes hold the watch.
    bool isPlatformReachable = false; ///< As the node knows; readers only.
    std::uint64_t platformCalls = 0; ///< Calls to the platform since the start.
    double bytesPerSecond = 0; ///< Control traffic, both ways.

    friend bool operator==(const control_status& a, const control_status& b);
    friend bool operator!=(const control_status& a, const control_status& b) { return !(a == b); }
};

/// A node's use of the link between regions.
struct link_status {
    double usedBytesPerSecond = 0;
    double budgetBytesPerSecond = 0; ///< This node's share.

    friend bool operator==(const link_status& a, const link_status& b);
    friend bool operator!=(const link_status& a, const link_status& b) { return !(a == b); }
};

/// What a node answers to `GET /status`.
struct node_status {
    std::string instance;
    std::string service;
    std::string region;
    std::string zone;
    std::uint64_t startNumber = 0;
    milliseconds uptime;
    node_state state = node_state::Serving;
    configuration_status configuration;
    target_load target;
    std::vector<class_counters> classes;
    std::vector<instance_status> instances;
    control_status control;
    link_status link;

    friend bool operator==(const node_status& a, const node_status& b);
    friend bool operator!=(const node_status& a, const node_status& b) { return !(a == b); }
};

/// @return a status as one JSON object.
std::string formatNodeStatus(const node_status& status);

/// Reads a status. Keys that this version does not know are ignored; missing ones keep their defaults.
/// @param text a JSON object as formatNodeStatus() writes it.
/// @return the status, or nothing with error_kind::BadPeerMessage.
std::optional<node_status> parseNodeStatus(const std::string& text);

} // namespace fuchsiagauge
