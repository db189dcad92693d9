#pragma once

#include "core/address.h"
#include "core/clock.h"
#include "core/settings.h"
#include "policy/instance_picker.h"
#include "policy/repeat_budget.h"

#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// @return every setting of the node in a mesh, in the order of the reference page.
const std::vector<setting_row>& getMeshSettingsTable();

/// @return the reference page of these settings, in Markdown.
std::string formatMeshSettingsReference();

/// The checked settings of a node in a mesh.
struct mesh_settings {
    std::string node; ///< Name of this node.
    std::string service; ///< Service of the instance on this VM.
    node_location place;
    address target; ///< The instance on this VM.
    address callersListener; ///< For clients and the instance on this VM.
    address peersListener; ///< For other nodes.
    address readyListener;
    address metricsListener;
    address platform;
    milliseconds watch { 20000 }; ///< Longest wait of one watch.
    milliseconds grace { 6000 }; ///< Time from the signal to stop until the process is killed.
    repeat_limits repeats;
    std::size_t maxConnections = 3000;
    std::string logLevel;

    /// Reads a file of JSON with comments.
    /// @return the settings, or nothing with error_kind::BadSettings, one line a fault.
    static std::optional<mesh_settings> load(const std::string& fileName);

    /// Reads JSON with comments.
    /// @param fileName used in the reasons.
    static std::optional<mesh_settings> parse(const std::string& text, const std::string& fileName);
};

} // namespace fuchsiagauge
