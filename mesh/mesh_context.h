#pragma once

#include "core/clock.h"
#include "core/event_log.h"
#include "core/traffic_rules.h"
#include "mesh/local_target.h"
#include "mesh/mesh_counters.h"
#include "mesh/mesh_settings.h"
#include "mesh/peer_pools.h"
#include "mesh/target_protocol.h"
#include "policy/instance_directory.h"
#include "policy/instance_picker.h"
#include "policy/quota_agent.h"
#include "policy/traffic_splitter.h"

#include <functional>
#include <memory>
#include <optional>

namespace fuchsiagauge {

/// Retry-After of a node that is stopping. Short, since clients retry on another node.
constexpr double stoppingRetryAfterS = 0.1;

/// The components of a mesh node that its inbound and outbound calls use.
struct mesh_context {
    const mesh_settings& config;
    clock time;
    const target_protocol& protocol;
    std::shared_ptr<const traffic_rules> rules;
    instance_directory& directory;
    instance_picker& picker;
    traffic_splitter& splitter;
    local_target& target;
    peer_pools& peerPools;
    mesh_counters& counters;
    event_log& log;
    std::function<double()> random; ///< Returns uniformly distributed numbers in [0, 1).
    /// When a stopping node cuts off the requests that are still in flight; nothing while it is not stopping.
    std::optional<milliseconds> endsAt;
    /// Called when the instance at an address is not the one listed for it; may be empty.
    std::function<void()> onStaleInstance;
    /// @return whether the rules are proved current enough to identify requests by keys.
    std::function<bool()> mayUseKeys;
    quota_agent& quota;

    /// @return whether requests may have keys of organisations. Where keys can be revoked, that does not
    /// depend on the rules: those in force may have a table of organisations that this node has not learnt
    /// of.
    bool usesKeys() const { return rules->requiresKeys() || config.revokeTime > milliseconds(); }
};

} // namespace fuchsiagauge
