#include "policy/item_replica.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace fuchsiagauge {
namespace {

    /// Limits the memory that removals take. A source that is further behind receives all items instead.
    constexpr std::size_t maxRemovals = 4096;

} // namespace

bool operator==(const item_changes& a, const item_changes& b)
{
    return std::tie(a.revision, a.isComplete, a.items, a.removed, a.epoch)
        == std::tie(b.revision, b.isComplete, b.items, b.removed, b.epoch);
}

item_changes item_replica::merge(const item_changes& changes)
{
    item_changes added;
    const bool hasItems = m_isComplete || !m_items.empty();
    // The changes of a higher epoch do not follow on what is known.
    const bool isIgnored
        = changes.epoch < m_epoch || (changes.epoch > m_epoch && hasItems && !changes.isComplete);
    if (isIgnored) {
        added.epoch = m_epoch;
        added.revision = m_revision;
        return added;
    }
    if (changes.epoch > m_epoch && hasItems)
        return enterEpoch(changes);
    m_epoch = changes.epoch;
    for (const auto& removal : changes.removed) {
        if (remove(removal))
            added.removed.push_back(removal);
    }
    for (const auto& item : changes.items) {
        if (put(item))
            added.items.push_back(item);
    }
    if (changes.isComplete) {
        removeMissing(changes, added.removed);
        added.isComplete = !m_isComplete;
        if (!m_isComplete)
            m_historyStart = changes.revision;
        m_isComplete = true;
    }
    m_revision = std::max(m_revision, changes.revision);
    added.epoch = m_epoch;
    added.revision = m_revision;
    forgetOldRemovals();
    return added;
}

/// Replaces all items by those of a higher epoch.
/// @return the items that differ from the known ones, and the removal of those that are missing.
item_changes item_replica::enterEpoch(const item_changes& complete)
{
    item_changes added;
    added.epoch = complete.epoch;
    added.revision = complete.revision;
    added.isComplete = !m_isComplete;
    std::map<std::string, stored_item> items;
    for (const auto& item : complete.items) {
        const auto known = m_items.find(item.key);
        if (known == m_items.end() || known->second != item)
            added.items.push_back(item);
        items[item.key] = item;
    }
    for (const auto& [key, item] : m_items) {
        if (items.count(key) == 0)
            added.removed.push_back({ key, complete.revision });
    }
    m_items = std::move(items);
    m_removals.clear();
    m_epoch = complete.epoch;
    m_revision = complete.revision;
    m_historyStart = complete.revision;
    m_isComplete = true;
    return added;
}

bool item_replica::put(const stored_item& item)
{
    const auto removal = m_removals.find(item.key);
    if (removal != m_removals.end() && removal->second >= item.revision)
        return false;
    auto& known = m_items[item.key];
    if (!known.key.empty() && known.revision >= item.revision)
        return false;
    known = item;
    if (removal != m_removals.end())
        m_removals.erase(removal);
    return true;
}

bool item_replica::remove(const removed_item& removal)
{
    const auto known = m_items.find(removal.key);
    if (known != m_items.end() && known->second.revision > removal.revision)
        return false;
    auto& remembered = m_removals[removal.key];
    remembered = std::max(remembered, removal.revision);
    if (known == m_items.end())
        return false;
    m_items.erase(known);
    return true;
}

void item_replica::removeMissing(const item_changes& complete, std::vector<removed_item>& removed)
{
    std::set<std::string> present;
    for (const auto& item : complete.items)
        present.insert(item.key);
    std::vector<removed_item> missing;
    for (const auto& [key, item] : m_items) {
        if (present.count(key) == 0)
            missing.push_back({ key, complete.revision });
    }
    for (const auto& removal : missing) {
        if (remove(removal))
            removed.push_back(removal);
    }
}

void item_replica::forgetOldRemovals()
{
    while (m_removals.size() > maxRemovals) {
        const auto oldest = std::min_element(m_removals.begin(), m_removals.end(),
            [](const auto& a, const auto& b) { return a.second < b.second; });
        m_historyStart = std::max(m_historyStart, oldest->second);
        m_removals.erase(oldest);
    }
}

item_changes item_replica::getChangesSince(std::uint64_t revision, std::optional<std::uint64_t> epoch) const
{
    item_changes changes;
    changes.epoch = m_epoch;
    changes.revision = m_revision;
    if (epoch && *epoch > m_epoch)
        return changes;
    if (epoch && *epoch < m_epoch)
        revision = 0;
    changes.isComplete = m_isComplete && (revision < m_historyStart || (epoch && *epoch < m_epoch));
    for (const auto& [key, item] : m_items) {
        if (changes.isComplete || item.revision > revision)
            changes.items.push_back(item);
    }
    for (const auto& [key, removedAt] : m_removals) {
        if (removedAt > revision)
            changes.removed.push_back({ key, removedAt });
    }
    return changes;
}

} // namespace fuchsiagauge
