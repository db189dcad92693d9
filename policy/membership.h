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

/// Puts the platform's VM list, what nodes state of themselves and what this node hears of them into one
/// view.
///
/// Which source wins:
///
/// | question              | first                                      | then                | then |
/// |-----------------------|--------------------------------------------|---------------------|-----------------|
/// | start number          | highest that the node itself stated        |                     | | | leaving
/// | the node's newest statement (start number, sequence) | the VM list |                | | addresses, zone
/// | the node's statement                       | the VM list         |                 | | whether it exists
/// | heard of within `heardLately`              | a VM list that is newer than the last word, after `listLag`
/// | kept until `forgetAfter` | | two on one address    | the one that started last; the other is Gone | | |
///
/// A statement reaches this node on a peer link (relayed by any node) or on the answer to a call. No message
/// exists by which a node states another one's leaving or start number. What is not heard of is forgotten.
class membership {
public:
    /// Times and bounds.
    struct options {
        milliseconds heardLately { 720000 }; ///< Within this, a word of an instance proves that it exists.
        milliseconds listLag { 90000 }; ///< Longest time by which a working VM list lags.
        milliseconds forgetAfter { 7200000 }; ///< Unlisted instances are forgotten after this silence.
        std::size_t maxInstances = 8192; ///< The ones silent for longest give way above this.
    };

    /// What a statement changed.
    enum class merge_result {
        Ignored, ///< Not newer than what was known.
        Refreshed, ///< Newer, but says nothing that routing needs.
        Changed, ///< Start number, leaving or addresses changed.
        Unknown, ///< A refresh of an instance whose names are not known.
    };

    /// Makes a membership that knows this node only.
    membership(const options& bounds, const instance_announcement& self, milliseconds now);

    /// @return this node's newest statement.
    const instance_announcement& getSelf() const { return m_entries.at(m_self).fact; }

    /// Makes a new statement of this node.
    void restateSelf(bool isLeaving, double linkDemandBytesPerSecond, milliseconds now);

    /// Takes a relayed statement.
    merge_result mergeFact(const instance_announcement& fact, milliseconds now);

    /// Takes a relayed later statement.
    /// @param changed receives the instance's name unless the result is Unknown.
    merge_result mergeRefresh(const announcement_refresh& refresh, milliseconds now, std::string& changed);

    /// Takes what an instance stated on the answer to a call, or at the start of a peer link.
    merge_result noteStatement(
        const std::string& instance, std::uint64_t startNumber, bool isLeaving, milliseconds now);

    /// Records a direct word from an instance: an open link or an answered call.
    void noteHeard(const std::string& instance, milliseconds now);

    /// Takes a newer VM list.
    void setList(const vm_list& list, milliseconds now);

    /// Forgets what is silent for too long.
    void expire(milliseconds now);

    /// @return the view; instances known to have ended are in it as Gone until they are forgotten.
    fleet_view getView(milliseconds now) const;

    /// @return a number that rises whenever the view may have changed.
    std::uint64_t getChangeCount() const { return m_changeCount; }

    /// @return the statement of an instance with its present age, if it made one.
    std::optional<instance_announcement> findFact(const std::string& instance, milliseconds now) const;

    /// @return whether a higher start number was stated for this node's own instance.
    bool isSuperseded() const { return m_isSuperseded; }

    /// @return the instances heard of lately, this one included.
    std::size_t countHeard(milliseconds now) const;

    /// @return whether an instance was heard of lately; true for this one.
    bool isHeard(const std::string& instance, milliseconds now) const;

    /// @return the demands for the link stated by the living instances of a region, this one included.
    std::vector<link_demand> getLinkDemands(const std::string& region, milliseconds now) const;

    static constexpr std::size_t bucketCount = 128;

    /// @return the bucket of an instance in getBucketDigests().
    static std::size_t getBucket(const std::string& instance);

    /// @return for each bucket, a digest over name, start number and leaving of the instances heard lately.
    std::array<std::uint64_t, bucketCount> getBucketDigests(milliseconds now) const;

    /// @return the instances of a bucket that stated themselves and were heard of lately.
    std::vector<std::string> getBucketInstances(std::size_t bucket, milliseconds now) const;

private:
    struct entry {
        instance_announcement fact; ///< startNumber 0: nothing was stated.
        std::optional<listed_vm> listed;
        milliseconds heardAt; ///< Last word of it.
        milliseconds startSeenAt; ///< When the present start number was first heard.
        bool wasHeard = false;
        bool isReplaced = false; ///< Another instance took over its address.
    };

    bool isHeardLately(const entry& known, milliseconds now) const;
    bool isForgettable(const std::string& id, const entry& known, milliseconds now) const;
    instance_state getState(const entry& known, milliseconds now) const;
    instance_view describe(const std::string& id, const entry& known, milliseconds now) const;
    void hear(entry& known, milliseconds at);
    void markReplaced(const std::string& id, milliseconds now);
    void dropOldest();
    entry& findOrAdd(const std::string& id);
    void erase(const std::string& id);

    options m_options;
    std::string m_self;
    std::map<std::string, entry> m_entries;
    std::unordered_map<std::uint64_t, std::string> m_names;
    milliseconds m_listedAt;
    bool m_hasList = false;
    bool m_isSuperseded = false;
    std::uint64_t m_changeCount = 1;
};

} // namespace fuchsiagauge
