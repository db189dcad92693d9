#pragma once

#include "core/address.h"
#include "core/clock.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace fuchsiagauge {

/// An instance of a service as registered with the platform.
struct instance_record {
    std::string id; ///< Usually differs for each start; `startedAtMs` distinguishes starts with the same id.
    std::string service;
    address target; ///< Reachable only from its own VM.
    std::string zone; ///< Availability zone.
    int slots = 1; ///< Number of requests that the instance runs concurrently.
    bool isDraining = false;
    /// Remaining time of slow service after a cold start, when the entry was written.
    milliseconds coldTimeLeft;
    std::uint64_t startedAtMs = 0; ///< Unix time of the start, in milliseconds; 0: unknown.
    std::uint64_t revision = 0; ///< Revision of the platform's entry.

    /// @return whether both records describe the same start of the same instance.
    bool isSameStart(const instance_record& other) const
    {
        return std::tie(id, startedAtMs, target) == std::tie(other.id, other.startedAtMs, other.target);
    }
};

} // namespace fuchsiagauge
