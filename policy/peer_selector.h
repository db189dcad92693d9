#pragma once

#include "core/clock.h"
#include "core/fleet_view.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// @return the name of an instance's availability zone, unique in the fleet.
std::string getQualifiedZoneName(const instance_view& instance);

/// Chooses the peers that this node opens links to, by its own view: a few in its own zone, one in every
/// other.
class peer_selector {
public:
    struct options {
        std::size_t ownZonePeers = 3;
        std::size_t otherZonePeers = 1; ///< In each other zone.
        std::size_t maxOtherZones = 8; ///< Other zones that are linked, the own region's first.
        std::size_t randomPeers = 1; ///< Replaced from time to time, so that pieces of the fleet meet.
        milliseconds randomPeerLifetime { 60000 };
        milliseconds firstRetryDelay { 250 };
        milliseconds longestRetryDelay { 1000 };
    };

    using random_hook = std::function<double()>;

    peer_selector(const options& bounds, std::string self, random_hook random);

    /// Chooses peers for the free places.
    /// @param view the fleet.
    /// @param isLinked tells whether a link with an instance exists already, opened by either side.
    /// @return the instances to open a link to now.
    std::vector<std::string> choose(const fleet_view& view,
        const std::function<bool(const std::string& instance)>& isLinked, milliseconds now);

    /// Records that a link came up; the peer's delays are forgotten.
    void onLinkUp(const std::string& instance);

    /// Frees the place of a peer whose link failed or ended, and delays the next attempt.
    void onLinkDown(const std::string& instance, milliseconds now);

    /// @return the instances that hold a place and are no longer wanted; their places are free after this.
    std::vector<std::string> releaseUnwanted(const fleet_view& view, milliseconds now);

private:
    struct selected_peer {
        std::string zone; ///< Region and zone that it is for; empty: anywhere.
        milliseconds selectedAt;
    };

    struct retry {
        milliseconds notBefore;
        milliseconds delay;
    };

    /// Instances that may be chosen, by the zone that they would be chosen for.
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
