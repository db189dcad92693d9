#pragma once

#include "core/clock.h"
#include "core/fleet_keys.h"
#include "core/settings.h"
#include "core/shared_state.h"
#include "node/call_counters.h"
#include "node/id_generator.h"
#include "node/in_flight_attempts.h"
#include "node/pool_registry.h"
#include "policy/admission_policy.h"
#include "policy/link_budget.h"
#include "policy/retry_policy.h"
#include "policy/retry_ratio_limiter.h"
#include "policy/routing_policy.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace fuchsiagauge {

/// The instance that a node belongs to, and its location.
struct node_identity {
    std::string instance;
    std::string service;
    std::string region;
    std::string zone;
    std::uint64_t startNumber = 0; ///< Higher after each restart of the instance.
};

/// The components of a node that its call handlers share.
struct node_context {
    boost::asio::io_context& io;
    const settings& config;
    node_identity identity;
    clock time;
    fleet_keys keys;
    shared_state& sharedState;
    id_generator ids;
    pool_registry pools;
    in_flight_attempts inFlightAttempts;
    call_counters counters;
    std::unique_ptr<routing_policy> routing;
    std::unique_ptr<admission_policy> admission;
    std::unique_ptr<retry_policy> retries;
    int attemptsPerCall; ///< Limit for the naive policies; the standard ones are limited by `retries`.
    bool hasRetryRatio; ///< Whether `ratio` limits retries; false with the naive policies.
    retry_ratio_limiter ratio;
    link_budget link;
    /// Called with the configuration revision that another node states on a call or a response; `instance`
    /// is empty for a call. The hook itself may be empty.
    std::function<void(const std::string& instance, std::uint64_t revision)> onRevisionSeen;
    /// Called with the start number and leaving state that another node states on a response; may be empty.
    std::function<void(const std::string& instance, std::uint64_t startNumber, bool isLeaving)>
        onStartNumberSeen;

    /// @return the preset in force.
    const preset& getPreset() const { return sharedState.configuration.get().getPreset(); }
    milliseconds now() const { return time.now(); }
};

} // namespace fuchsiagauge
