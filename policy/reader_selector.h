#pragma once

#include "core/clock.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// Decides which nodes of an availability zone read the platform, and from which of them the others learn.
///
/// The nodes of a zone are ranked by a hash of their hosts, so all nodes that know the same hosts rank them
/// alike. The first `readersPerZone` usable nodes read. A node that finds readers unusable moves up for them
/// by its own observation, without agreement: at worst a few nodes too many read for a while.
class reader_selector {
public:
    struct options {
        std::size_t readersPerZone = 2; ///< One more than the number of readers that may fail at once.
        /// In a smaller zone every node reads, since few calls could be saved.
        std::size_t minZoneSize = 3;
        milliseconds recheckInterval { 300 }; ///< How often an unusable node is contacted again.
        /// Least time between two such contacts; limits them to the ten most preferred nodes in an outage.
        milliseconds recheckSpacing { 30 };
    };

    /// @param config limits of the selection.
    /// @param self this node's host.
    reader_selector(const options& config, std::string self);

    /// Sets the hosts of the zone's nodes. This node's own host may be missing from them.
    void setNodes(const std::vector<std::string>& hosts);

    /// Records whether a node proved usable as a source: it answers, reads, and is connected with the
    /// platform.
    void recordUsable(const std::string& host, bool isUsable, milliseconds now);

    /// @return whether this node has to read the platform.
    bool isReader() const;

    /// @return the host of the node to learn from; nothing if no other node is usable.
    std::optional<std::string> getSource() const;

    /// Selects an unusable node that would be preferred as a source or reader and is due for another contact.
    /// Counts as a contact.
    std::optional<std::string> takeRecheck(milliseconds now);

    /// @return whether this node's own host is among the zone's nodes.
    bool isListed() const;

    /// @return the number of nodes that rank before this one.
    std::size_t getRank() const;

private:
    struct unusable_node {
        milliseconds checkedAt;
    };

    bool isUsable(const std::string& host) const { return m_unusable.count(host) == 0; }
    std::vector<std::string> getUsablePeers() const;

    options m_options;
    std::string m_self;
    std::vector<std::string> m_nodes; ///< By rank.
    std::map<std::string, unusable_node> m_unusable;
    milliseconds m_lastRecheckAt { -1e9 };
};

} // namespace fuchsiagauge
