#pragma once

#include "core/clock.h"
#include "core/fleet_view.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// Whether a node accepts new requests.
enum class node_state {
    Serving,
    Leaving,
};

/// @return the stable name of a node state: `serving` or `leaving`.
const char* getNodeStateName(node_state state);

/// @return the stable name of an instance state: `live`, `leaving` or `gone`.
const char* getInstanceStateName(instance_state state);

/// The active configuration of a node, as shown to operators.
struct configuration_status {
    std::string preset; ///< Name of the active preset.
    std::uint64_t revision = 0; ///< 0: built-in defaults.
    std::string digest; ///< Digest of the document bytes.
    bool hasDocumentConflict = false; ///< Two different documents with the same revision were received.
    std::string lastRefusal; ///< Reason for the last refusal of a document; empty: none was refused.

    friend bool operator==(const configuration_status& a, const configuration_status& b);
    friend bool operator!=(const configuration_status& a, const configuration_status& b) { return !(a == b); }
};

/// Load of the node's own target.
struct target_load {
    int inFlight = 0; ///< Number of requests at the target.
    int limit = 0; ///< Concurrency limit.
    int queued = 0; ///< Number of requests queued in the node.
    std::uint32_t admissionLevel = 0; ///< Requests with a lower rank are currently refused.

    friend bool operator==(const target_load& a, const target_load& b);
    friend bool operator!=(const target_load& a, const target_load& b) { return !(a == b); }
};

/// Request counts of one class since the start of the node.
struct class_counters {
    std::string name;
    std::uint64_t offered = 0; ///< Requests received for the node's own target.
    std::uint64_t answered = 0;
    std::uint64_t shed = 0; ///< Refused because of overload.
    std::uint64_t expired = 0; ///< Ended because the deadline passed.

    friend bool operator==(const class_counters& a, const class_counters& b);
    friend bool operator!=(const class_counters& a, const class_counters& b) { return !(a == b); }
};

/// State of one instance as known to a node.
struct instance_status {
    std::string id;
    std::string service;
    std::string region;
    std::string zone;
    instance_state state = instance_state::Live;
    bool isEjected = false; ///< Gets only probes from this node, no other calls.
    std::string reason; ///< Reason for the ejection; empty if it is not ejected.
    int inFlight = 0; ///< Number of calls from this node that are in flight at the instance.

    friend bool operator==(const instance_status& a, const instance_status& b);
    friend bool operator!=(const instance_status& a, const instance_status& b) { return !(a == b); }
};

/// State of the connections of a node to other nodes and to the platform.
struct control_status {
    int peers = 0; ///< Number of open peer links.
    std::vector<std::string> cutOffRegions; ///< Regions that have instances, none of which is reachable.
    /// Availability zones that have instances, none of which is reachable.
    std::vector<std::string> cutOffZones;
    bool isReader = false; ///< Whether this node reads from the platform.
    /// Instances whose nodes read from the platform, as known to this node.
    std::vector<std::string> readers;
    bool isPlatformReachable = false; ///< As last observed; meaningful only on readers.
    std::uint64_t platformCalls = 0; ///< Number of calls to the platform since the start.
    double bytesPerSecond = 0; ///< Control traffic, sent and received.

    friend bool operator==(const control_status& a, const control_status& b);
    friend bool operator!=(const control_status& a, const control_status& b) { return !(a == b); }
};

/// Bandwidth that a node uses on the inter-region link.
struct link_status {
    double usedBytesPerSecond = 0;
    double budgetBytesPerSecond = 0; ///< Share of the link budget that this node may use.

    friend bool operator==(const link_status& a, const link_status& b);
    friend bool operator!=(const link_status& a, const link_status& b) { return !(a == b); }
};

/// Response to `GET /status`.
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

/// Parses a status. Unknown keys are ignored; fields with missing keys keep their default values.
/// @param text a JSON object in the format of formatNodeStatus().
/// @return the status, or nothing with error_kind::BadPeerMessage.
std::optional<node_status> parseNodeStatus(const std::string& text);

} // namespace fuchsiagauge
