#pragma once

#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <tuple>

namespace fuchsiagauge {

/// An answer of the platform that did not come from a cache.
struct platform_read {
    milliseconds sentAt; ///< When the request was sent.
    std::uint64_t revision = 0; ///< Revision of the platform that the answer states.

    friend bool operator==(const platform_read& a, const platform_read& b)
    {
        return std::tie(a.sentAt, a.revision) == std::tie(b.sentAt, b.revision);
    }
    friend bool operator!=(const platform_read& a, const platform_read& b) { return !(a == b); }
};

/// Tracks up to when a replica is proved to contain every change that the platform has acknowledged.
///
/// A read proves the replica up to the time at which the read was sent, as soon as the replica contains every
/// change up to the revision that its answer states. An answer that arrives late proves nothing newer.
class freshness_proof {
public:
    /// Proof time of a replica for which there is no proof.
    static constexpr milliseconds never { -1e9 };

    /// Records a read of the platform.
    /// @param replicaRevision revision up to which the replica contains every change.
    void onRead(const platform_read& read, std::uint64_t replicaRevision);

    /// Records the proof of another replica whose changes this replica contains.
    /// @param provenAt the time up to which the other replica was proved, by this node's clock.
    void onRelayed(milliseconds provenAt);

    /// Records that the replica contains further changes.
    void onMerged(std::uint64_t replicaRevision);

    /// @return the latest time by which every acknowledged change is contained; `never` if there is none.
    milliseconds getProvenAt() const { return m_provenAt; }

private:
    milliseconds m_provenAt = never;
    std::optional<platform_read> m_pending; ///< The last read that has shown changes not contained yet.
};

} // namespace fuchsiagauge
