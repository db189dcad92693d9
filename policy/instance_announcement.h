#pragma once

#include "core/clock.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace fuchsiagauge {

/// What an instance's node states of itself; relayed by other nodes, never made or changed by them.
struct instance_announcement {
    std::string instance;
    std::string service;
    std::string region;
    std::string zone;
    std::string meshAddress;
    std::string peerAddress;
    std::uint64_t startNumber = 0;
    std::uint64_t sequence = 0; ///< Rises with every statement within one start.
    bool isLeaving = false;
    double linkDemandBytesPerSecond = 0; ///< Wanted from the link between regions.
    milliseconds age; ///< Since the node made the statement.

    /// @return whether this statement was made after `other`, by start number and sequence.
    bool isNewerThan(const instance_announcement& other) const
    {
        return std::tie(startNumber, sequence) > std::tie(other.startNumber, other.sequence);
    }

    friend bool operator==(const instance_announcement& a, const instance_announcement& b)
    {
        const auto tie = [](const instance_announcement& v) {
            return std::tie(v.instance, v.service, v.region, v.zone, v.meshAddress, v.peerAddress,
                v.startNumber, v.sequence, v.isLeaving, v.linkDemandBytesPerSecond, v.age);
        };
        return tie(a) == tie(b);
    }
    friend bool operator!=(const instance_announcement& a, const instance_announcement& b)
    {
        return !(a == b);
    }
};

/// A later statement of an instance whose names and addresses the receiver knows.
struct announcement_refresh {
    std::uint64_t instanceHash = 0; ///< Hash of the instance's name.
    std::uint64_t startNumber = 0;
    std::uint64_t sequence = 0;
    bool isLeaving = false;
    double linkDemandBytesPerSecond = 0;
    milliseconds age; ///< Since the node made the statement.

    friend bool operator==(const announcement_refresh& a, const announcement_refresh& b)
    {
        const auto tie = [](const announcement_refresh& v) {
            return std::tie(
                v.instanceHash, v.startNumber, v.sequence, v.isLeaving, v.linkDemandBytesPerSecond, v.age);
        };
        return tie(a) == tie(b);
    }
    friend bool operator!=(const announcement_refresh& a, const announcement_refresh& b) { return !(a == b); }
};

} // namespace fuchsiagauge
