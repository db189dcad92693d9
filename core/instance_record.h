#pragma once

#include "core/address.h"
#include "core/clock.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace fuchsiagauge {

/// What the platform says of one instance of a service.
struct instance_record {
    std::string id; ///< Of one start, mostly; `startedAtMs` tells starts apart.
    std::string service;
    address target; ///< Reached from its own VM only.
    std::string zone; ///< Availability zone.
    int slots = 1; ///< Requests that it runs at once.
    bool isDraining = false;
    milliseconds coldTimeLeft; ///< How much longer it was slow when the entry was written.
    std::uint64_t startedAtMs = 0; ///< Unix time of its start; 0: not stated.
    std::uint64_t revision = 0; ///< Revision of the entry.

    /// @return whether both describe the same start of the same instance.
    bool isSameStart(const instance_record& other) const
    {
        return std::tie(id, startedAtMs, target) == std::tie(other.id, other.startedAtMs, other.target);
    }
};

} // namespace fuchsiagauge
