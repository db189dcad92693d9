#pragma once

#include "core/clock.h"
#include "policy/item_replica.h"

#include <cstdint>
#include <optional>
#include <tuple>

namespace fuchsiagauge {

/// An answer of the platform that did not come from a cache.
struct platform_read {
    milliseconds sentAt; ///< When the request was sent.
    std::uint64_t revision = 0; ///< Revision of the platform that the answer states.
    std::uint64_t epoch = 0; ///< Epoch of the platform's store that the answer states.

    friend bool operator==(const platform_read& a, const platform_read& b)
    {
        return std::tie(a.sentAt, a.revision, a.epoch) == std::tie(b.sentAt, b.revision, b.epoch);
    }
    friend bool operator!=(const platform_read& a, const platform_read& b) { return !(a == b); }
};

/// Tracks up to when a replica is proved to contain every change that the platform has acknowledged.
///
/// A read proves the replica up to the time at which the read was sent, as soon as the replica contains every
/// change up to the revision that its answer states. An answer that arrives late proves nothing newer.
///
/// A store that begins a new epoch has been restored from an older copy and lacks the last acknowledged
/// changes until they are written again. Reads prove nothing for that time.
class freshness_proof {
public:
    /// Proof time of a replica for which there is no proof.
    static constexpr milliseconds never { -1e9 };

    /// Time after the first sight of a new epoch in which lost changes are written again. Writers need about
    /// two seconds.
    static constexpr milliseconds settleTime { 2500 };

    /// Records a read of the platform.
    /// @param replica what the replica contains.
    void onRead(const platform_read& read, const item_replica& replica, milliseconds now);

    /// Records the proof of another replica whose changes this replica contains.
    /// @param provenAt the time up to which the other replica was proved, by this node's clock.
    /// @param epoch epoch of the store in which the items of both replicas were published.
    void onRelayed(milliseconds provenAt, std::uint64_t epoch);

    /// Records that the replica contains further changes.
    void onMerged(const item_replica& replica, milliseconds now);

    /// Records that the node knows only the items of the current epoch, as it has used none before.
    void forgetEarlierEpochs() { m_provenAt = m_provenInEpochAt; }

    /// @return the latest time by which every acknowledged change is contained; `never` if there is none.
    milliseconds getProvenAt() const { return m_provenAt; }

    /// @return the same for a node that knows only the items of the current epoch. It may not know changes
    /// that were lost with the epoch before.
    milliseconds getProvenInEpochAt() const { return m_provenInEpochAt; }

    /// @return since when reads prove the items of the current epoch.
    milliseconds getSettledAt() const { return m_settledAt; }

private:
    void enterEpoch(std::uint64_t epoch, milliseconds now);

    std::uint64_t m_epoch = 0;
    milliseconds m_settledAt = never;
    milliseconds m_provenAt = never;
    milliseconds m_provenInEpochAt = never;
    std::optional<platform_read> m_pending; ///< The last read that has shown changes not contained yet.
};

} // namespace fuchsiagauge
