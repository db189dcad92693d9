#pragma once

#include "core/clock.h"
#include "core/fleet_keys.h"
#include "core/settings.h"
#include "core/shared_state.h"
#include "node/call_counters.h"
#include "node/id_source.h"
#include "node/open_work.h"
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

/// Which instance a node belongs to.
struct node_identity {
    std::string instance;
    std::string service;
    std::string region;
    std::string zone;
    std::uint64_t startNumber = 0;
};

/// What the call handlers of one node share.
struct node_parts {
    boost::asio::io_context& io;
    const settings& config;
    node_identity identity;
    clock time;
    fleet_keys keys;
    shared_state& sharedState;
    id_source ids;
    pool_registry pools;
    open_work work;
    call_counters counters;
    std::unique_ptr<routing_policy> routing;
    std::unique_ptr<admission_policy> admission;
    std::unique_ptr<retry_policy> retries;
    int attemptsPerCall; ///< Bound of the baseline; ours is the retry ledger.
    bool hasRetryRatio;
    retry_ratio_limiter ratio;
    link_budget link;
    std::function<void(const std::string& instance, std::uint64_t revision)> onRevisionSeen;
    std::function<void(const std::string& instance, std::uint64_t startNumber, bool isLeaving)>
        onStartNumberSeen;

    const preset& getPreset() const { return sharedState.configuration.get().getPreset(); }
    milliseconds now() const { return time.now(); }
};

} // namespace fuchsiagauge
