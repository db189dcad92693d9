#pragma once

#include "core/clock.h"
#include "policy/instance_directory.h"
#include "policy/slot_gate.h"

#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// The parts of a candidate's cost, in milliseconds.
struct pick_cost {
    double distance = 0;
    double wait = 0;
    double run = 0;
    double failure = 0;
    double introduction = 0; ///< Until this node sends its first requests to a new instance.
    double maxJitter = 0;

    /// @param jitter random share of the largest jitter.
    double getTotal(double jitter) const
    {
        return distance + wait + run + failure + introduction + jitter * maxJitter;
    }
};

/// How an instance stands with a request for which none has been chosen yet.
struct instance_placement {
    const instance_directory::entry* instance = nullptr;
    std::string reason; ///< Why the instance is left out, such as `avoided`; empty for a candidate.
    std::string state; ///< `full`, `filling`, `new` or `not reported`.
    pick_cost cost;
    slot_report load; ///< As last reported; valid if `reportAge` is set.
    std::optional<milliseconds> reportAge;
    std::optional<milliseconds> runTime; ///< Expected time of the request, without waiting.
    int ownInFlight = 0; ///< Attempts of this node that have not ended.
    double failureRate = 0;
};

/// Where a request would go now.
struct request_placement {
    std::vector<instance_placement> instances; ///< Of the service, in order of their cost.
    const instance_directory::entry* chosen = nullptr; ///< Null if there is no eligible instance.
    /// Why it is chosen: `lowest cost`, `idle instance is tried`, `only avoided instances are left` or
    /// `none`.
    std::string reason;
};

} // namespace fuchsiagauge
