#pragma once

#include "core/fleet_view.h"
#include "policy/instance_announcement.h"
#include "policy/link_share.h"
#include "policy/vm_list.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace fuchsiagauge {

/// Merges the platform's VM list, the facts that nodes publish about themselves and this node's own contacts
/// into one view of the fleet.
///
/// Precedence of the sources, the highest first:
/// - start number: the highest one that the instance itself has stated;
/// - leaving: the newest fact of the instance (by start number, then sequence), then the VM list;
/// - addresses and zone: the fact of the instance, then the VM list;
/// - existence: seen within `recentlySeenWindow`; then a VM list that is newer than the last contact by more
///   than `maxListLag`; otherwise kept until `expireAfter`;
/// - two instances on one address: the one that started last; the other is Gone.
///
/// A fact reaches this node on a peer link, relayed by any node; start number and leaving also on the
/// response to a call. No message lets a node state that another one is leaving, or its start number. An
/// instance that was not seen for too long is removed.
class membership {
public:
    struct options {
        milliseconds recentlySeenWindow { 720000 }; ///< An instance that was seen within this time exists.
        milliseconds maxListLag { 90000 }; ///< Longest lag of the VM list while the platform works.
        milliseconds expireAfter { 7200000 }; ///< Unlisted instances not seen for this long are removed.
        std::size_t maxInstances = 8192; ///< Above this, the least recently seen instances are evicted.
    };

    /// Effect of a merged fact or statement.
    enum class merge_result {
        Ignored, ///< Not newer than the known state, or not acceptable.
        Refreshed, ///< Newer, but without a change that matters for routing.
        Changed, ///< Start number, leaving or addresses changed.
        Unknown, ///< A refresh of an instance whose name and addresses are unknown.
    };

    /// Creates a membership that knows only this node.
    membership(const options& config, const instance_announcement& self, milliseconds now);

    /// @return this node's current fact.
    const instance_announcement& getSelf() const { return m_entries.at(m_self).fact; }

    /// Replaces this node's fact by one with the next sequence number.
    void updateSelf(bool isLeaving, double linkDemandBytesPerSecond, milliseconds now);

    /// Merges a relayed fact.
    merge_result mergeFact(const instance_announcement& fact, milliseconds now);

    /// Merges a relayed refresh: a later fact without the name and the addresses.
    /// @param instance receives the instance's name if its hash is known.
    merge_result mergeRefresh(const announcement_refresh& refresh, milliseconds now, std::string& instance);

    /// Merges what an instance stated on the response to a call, or in the handshake of a peer link.
    merge_result recordInstanceState(
        const std::string& instance, std::uint64_t startNumber, bool isLeaving, milliseconds now);

    /// Records direct contact with a known instance.
    void recordSeen(const std::string& instance, milliseconds now);

    /// Replaces the VM list.
    void setVmList(const vm_list& list, milliseconds now);

    /// Removes unlisted instances that are Gone or were not seen for too long, and evicts those above
    /// `maxInstances`.
    void expire(milliseconds now);

    /// @return the view. Instances that are known to have ended stay in it as Gone until they are removed.
    fleet_view getView(milliseconds now) const;

    /// @return a counter that is incremented whenever the view may have changed.
    std::uint64_t getChangeCount() const { return m_changeCount; }

    /// @return the fact of an instance with its current age, if one is known.
    std::optional<instance_announcement> findFact(const std::string& instance, milliseconds now) const;

    /// @return whether a fact with a higher start number was received for this node's own instance.
    bool isSuperseded() const { return m_isSuperseded; }

    /// @return the number of recently seen instances, this one included.
    std::size_t countRecentlySeen(milliseconds now) const;

    /// @return whether an instance was seen recently; always true for this one.
    bool isRecentlySeen(const std::string& instance, milliseconds now) const;

    /// @return the demands on the link between regions of the recently seen instances of a region, this one
    /// included.
    std::vector<link_demand> getLinkDemands(const std::string& region, milliseconds now) const;

    static constexpr std::size_t bucketCount = 128;

    /// @return the bucket of an instance in getBucketDigests().
    static std::size_t getBucket(const std::string& instance);

    /// @return for each bucket, a digest over name, start number and leaving of the recently seen instances.
    std::array<std::uint64_t, bucketCount> getBucketDigests(milliseconds now) const;

    /// @return the recently seen instances of a bucket whose facts are known.
    std::vector<std::string> getBucketInstances(std::size_t bucket, milliseconds now) const;

private:
    struct entry {
        instance_announcement fact; ///< The start number is 0 if none is known.
        std::optional<listed_vm> listed;
        milliseconds lastSeenAt; ///< When the instance was last seen; meaningful only if wasSeen.
        milliseconds startFirstSeenAt; ///< When the current start number was first seen.
        bool wasSeen = false;
        bool isReplaced = false; ///< Another instance took over its address.
    };

    bool isRecentlySeenEntry(const entry& known, milliseconds now) const;
    bool isExpired(const std::string& id, const entry& known, milliseconds now) const;
    instance_state getState(const entry& known, milliseconds now) const;
    instance_view describe(const std::string& id, const entry& known, milliseconds now) const;
    void markSeen(entry& known, milliseconds at);
    void markReplaced(const std::string& id, milliseconds now);
    void evictLeastRecentlySeen();
    entry& findOrAdd(const std::string& id);
    void erase(const std::string& id);

    options m_options;
    std::string m_self;
    std::map<std::string, entry> m_entries;
    std::unordered_map<std::uint64_t, std::string> m_names;
    milliseconds m_listReceivedAt;
    bool m_hasList = false;
    bool m_isSuperseded = false;
    std::uint64_t m_changeCount = 1;
};

} // namespace fuchsiagauge
