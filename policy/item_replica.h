#pragma once

#include "core/stored_item.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// Changes of the published items between two revisions, or all items at a revision.
struct item_changes {
    std::uint64_t revision = 0; ///< Every change up to this revision is contained.
    bool isComplete = false; ///< `items` holds all items; a key that it lacks has been removed.
    std::vector<stored_item> items;
    std::vector<removed_item> removed;
    /// Epoch of the platform's store in which the revisions were assigned.
    std::uint64_t epoch = 0;

    friend bool operator==(const item_changes& a, const item_changes& b);
    friend bool operator!=(const item_changes& a, const item_changes& b) { return !(a == b); }
};

/// A node's copy of the items that the platform publishes.
///
/// Changes can be merged from several sources and in any order: for each key the highest revision wins, so an
/// outdated source never brings back an older value or a removed item.
///
/// A store that is restored from an older copy begins a new epoch, in which it assigns revisions again. The
/// replica enters a higher epoch with a complete set of items only, and never returns to a lower one.
class item_replica {
public:
    /// Merges changes that follow on a revision which this replica has already reached. Changes of a lower
    /// epoch are ignored; a complete set of a higher one replaces all items.
    /// @return the items and removals among them that were new to this replica. It is marked complete if the
    /// replica has just become complete.
    item_changes merge(const item_changes& changes);

    /// @return the changes after a revision; all items if the replica's history does not reach back that far.
    /// @param epoch epoch of the revision; if it is lower than that of the replica, all items are returned,
    /// and if it is higher, none. If it is not known, it counts as the replica's.
    item_changes getChangesSince(
        std::uint64_t revision, std::optional<std::uint64_t> epoch = std::nullopt) const;

    /// @return the epoch of the store in which the items were published.
    std::uint64_t getEpoch() const { return m_epoch; }

    /// @return the revision up to which this replica holds every change; 0 before the first merge.
    std::uint64_t getRevision() const { return m_revision; }

    /// @return whether the replica has received a complete set of items.
    bool isComplete() const { return m_isComplete; }

private:
    item_changes enterEpoch(const item_changes& complete);
    bool put(const stored_item& item);
    bool remove(const removed_item& removal);
    void removeMissing(const item_changes& complete, std::vector<removed_item>& removed);
    void forgetOldRemovals();

    std::map<std::string, stored_item> m_items;
    std::map<std::string, std::uint64_t> m_removals; ///< Revision of each remembered removal, by key.
    std::uint64_t m_epoch = 0;
    std::uint64_t m_revision = 0;
    std::uint64_t m_historyStart = 0; ///< Removals up to this revision may have been forgotten.
    bool m_isComplete = false;
};

} // namespace fuchsiagauge
