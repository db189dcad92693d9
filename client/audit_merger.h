#pragma once

#include "core/audit_trail.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// Merges the audit trails of several nodes and remembers what was seen of each.
class audit_merger {
public:
    /// @param node a node's admin address.
    /// @return the sequence to ask this node for entries after; 0 at first.
    std::uint64_t getLastSequence(const std::string& node) const;

    /// Takes in one node's answer.
    /// @param node the node's admin address.
    /// @param page its answer.
    /// @return whether the page is of the node's same life; if not, its whole trail must be asked for again.
    bool add(const std::string& node, const audit_page& page);

    /// @return the entries taken in since the last call, by wall time, then instance, then sequence.
    std::vector<audit_entry> takeEntries();

private:
    struct trail_position {
        std::uint64_t startNumber = 0;
        std::uint64_t sequence = 0;
    };

    std::map<std::string, trail_position> m_positions;
    std::vector<audit_entry> m_entries;
};

/// @return an entry as one line for people, with its time in UTC.
std::string formatTimestampedAuditLine(const audit_entry& entry);

} // namespace fuchsiagauge
