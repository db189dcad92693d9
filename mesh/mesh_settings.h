#pragma once

#include "core/address.h"
#include "core/clock.h"
#include "core/settings.h"
#include "policy/instance_picker.h"
#include "policy/quota_tolerance.h"
#include "policy/retry_budget.h"
#include "transport/receive_limits.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// @return every setting of a mesh node, in the order of the reference page.
const std::vector<setting_row>& getMeshSettingsTable();

/// @return the reference page of the mesh settings, in Markdown.
std::string formatMeshSettingsReference();

/// The validated settings of a mesh node.
struct mesh_settings {
    std::string node; ///< Name of this node.
    std::string service; ///< Service of the instance on this VM.
    node_location location;
    address target; ///< Address of the instance on this VM.
    address callersListener; ///< Listens for clients and the instance on this VM.
    address peersListener; ///< Listens for other nodes.
    address readyListener; ///< Listens for readiness checks.
    address metricsListener; ///< Listens for metrics requests; may be empty.
    address platform; ///< Address of the platform's store.
    milliseconds watchTimeout { 5000 }; ///< Maximum duration of one watch request.
    /// Time within which a change of the configuration must be in force everywhere.
    milliseconds applyTime { 2000 };
    /// Time within which an instance must get no further requests after it has been reported as leaving.
    milliseconds drainTime { 60000 };
    /// Time after which a revoked key must not be accepted anywhere; 0: not limited.
    milliseconds revokeTime;
    milliseconds gracePeriod { 6000 }; ///< Time from the stop signal until the process is killed.
    retry_limits retryLimits;
    quota_tolerance quotaTolerance;
    bool usesCallTrees = false; ///< Entries shed requests by the load of the services that their calls reach.
    std::size_t maxConnections = 3000; ///< Per listener.
    std::size_t maxDescriptors = 16384; ///< Of the process.
    receive_limits receiveLimits;
    std::size_t memoryBytes = 268435456; ///< Memory that the process may use.
    std::string logLevel;

    /// @return how long a node may act on items that are out of date.
    milliseconds getStalenessBound() const { return std::min(applyTime, drainTime); }

    /// Loads settings from a file of JSON with comments.
    /// @return the settings, or nothing with error_kind::BadSettings and one line per error.
    static std::optional<mesh_settings> load(const std::string& fileName);

    /// Parses settings from JSON with comments.
    /// @param fileName name to use in error messages.
    /// @return the settings, or nothing with error_kind::BadSettings and one line per error.
    static std::optional<mesh_settings> parse(const std::string& text, const std::string& fileName);
};

} // namespace fuchsiagauge
