#pragma once

#include "core/clock.h"
#include "core/fleet_view.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// @return the name of an instance's availability zone, prefixed by its region and therefore unique in the
/// fleet.
std::string getQualifiedZoneName(const instance_view& instance);

/// Selects the peers to which this node opens links, based on its own view of the fleet: several in its own
/// availability zone, one in each of the other zones up to a limit, and a random one that is replaced
/// periodically.
class peer_selector {
public:
    struct options {
        std::size_t ownZonePeers = 3; ///< Peers in the node's own zone.
        std::size_t otherZonePeers = 1; ///< Peers in each other zone.
        /// Maximum number of other zones in which peers are selected. Zones of the own region come first.
        std::size_t maxOtherZones = 8;
        /// Peers in any zone. They are replaced periodically, so that disconnected parts of the fleet find
        /// each other.
        std::size_t randomPeers = 1;
        milliseconds randomPeerLifetime { 60000 }; ///< Random peers are replaced after this time.
        milliseconds firstRetryDelay { 250 }; ///< Doubled after each failure in a row, with jitter.
        milliseconds longestRetryDelay { 1000 };
    };

    using random_hook = std::function<double()>;

    peer_selector(const options& bounds, std::string self, random_hook random);

    /// Selects new peers until the number of peers configured for each zone is reached.
    /// @param view the fleet.
    /// @param isLinked returns whether a link to an instance already exists, opened by either side.
    /// @param now the current time.
    /// @return the instances to open a link to now.
    std::vector<std::string> choose(const fleet_view& view,
        const std::function<bool(const std::string& instance)>& isLinked, milliseconds now);

    /// Records that the link to a peer was established, and resets the peer's retry delay.
    void onLinkUp(const std::string& instance);

    /// Deselects a peer whose link failed or was closed, and delays the next attempt to connect to it.
    void onLinkDown(const std::string& instance, milliseconds now);

    /// Deselects the peers that have left the fleet and the random peers whose lifetime has passed.
    /// @return the deselected peers.
    std::vector<std::string> releaseUnwanted(const fleet_view& view, milliseconds now);

private:
    struct selected_peer {
        std::string zone; ///< Region and zone for which it was selected; empty for a random peer.
        milliseconds selectedAt;
    };

    struct retry {
        milliseconds notBefore; ///< Earliest time of the next attempt.
        milliseconds delay; ///< Current retry delay, without jitter.
    };

    /// Instances that may be selected, by qualified zone name. The empty name holds all of them, for random
    /// peers.
    using candidate_pools = std::map<std::string, std::vector<std::string>>;

    candidate_pools findCandidates(const fleet_view& view,
        const std::function<bool(const std::string& instance)>& isLinked, milliseconds now) const;
    std::vector<std::string> listOtherZones(const instance_view& own, const fleet_view& view) const;
    void fillQuota(const std::string& zone, std::size_t quota, std::vector<std::string>& pool,
        std::vector<std::string>& chosen, milliseconds now);
    std::size_t countSelected(const std::string& zone) const;
    bool mayConnect(const std::string& instance, milliseconds now) const;

    options m_options;
    std::string m_self;
    random_hook m_random;
    std::map<std::string, selected_peer> m_selectedPeers;
    std::map<std::string, retry> m_retries;
};

} // namespace fuchsiagauge
