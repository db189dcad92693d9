#pragma once

#include "core/audit_trail.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// Merges the audit trails of several nodes and tracks the last entry received from each.
class audit_merger {
public:
    /// @param node a node's admin address.
    /// @return sequence of the last entry received from the node, or 0 if none was.
    std::uint64_t getLastSequence(const std::string& node) const;

    /// Adds a page of one node's audit trail. Entries received before are skipped.
    /// @param node the node's admin address.
    /// @param page the page the node returned.
    /// @return false if the node has restarted since its last page. The page is then discarded, and the
    /// whole trail must be fetched again from sequence 0.
    bool add(const std::string& node, const audit_page& page);

    /// @return the entries added since the last call, ordered by wall time, then instance, then sequence.
    std::vector<audit_entry> takeEntries();

private:
    /// Last entry received from one node.
    struct trail_position {
        std::uint64_t startNumber = 0;
        std::uint64_t sequence = 0;
    };

    std::map<std::string, trail_position> m_positions;
    std::vector<audit_entry> m_entries;
};

/// @return an entry as one human-readable line that begins with its time in UTC.
std::string formatTimestampedAuditLine(const audit_entry& entry);

} // namespace fuchsiagauge
