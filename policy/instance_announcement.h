#pragma once

#include "core/clock.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace fuchsiagauge {

/// The state that a node announces for its own instance. Other nodes relay it unchanged and never create one
/// on its behalf.
struct instance_announcement {
    std::string instance;
    std::string service;
    std::string region;
    std::string zone;
    std::string meshAddress;
    std::string peerAddress;
    std::uint64_t startNumber = 0;
    std::uint64_t sequence = 0; ///< Increases with every announcement of the same start.
    bool isLeaving = false;
    double linkDemandBytesPerSecond = 0; ///< Bandwidth requested on the link between regions.
    milliseconds age; ///< Time since the node made the announcement.

    /// @return whether this announcement was made after `other`, by start number and sequence.
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

/// A shortened later announcement for a receiver that already knows the instance's names and addresses.
struct announcement_refresh {
    std::uint64_t instanceHash = 0; ///< Hash of the instance's id.
    std::uint64_t startNumber = 0;
    std::uint64_t sequence = 0;
    bool isLeaving = false;
    double linkDemandBytesPerSecond = 0;
    milliseconds age; ///< Time since the node made the announcement.

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
