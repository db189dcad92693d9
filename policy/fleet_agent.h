#pragma once

#include "core/audit_trail.h"
#include "core/fleet_view.h"
#include "policy/gossip.h"
#include "policy/peer_selector.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// State of a node within the fleet, as shown to operators.
struct fleet_status {
    reader_role role = reader_role::None;
    std::vector<std::string> linkedPeers;
    document_version presets;
    /// Newest revision advertised by a peer or a call; 0 if none is newer.
    std::uint64_t advertisedRevision = 0;
    std::string advertisedBy; ///< Source of advertisedRevision.
    bool hasRevisionConflict = false;
    std::string lastRefusal;
    std::uint64_t vmListRevision = 0;
    std::size_t knownInstances = 0;
    std::size_t recentlySeenInstances = 0;
    std::vector<std::string> cutOffRegions; ///< Regions of which every known zone is cut off.
    std::vector<std::string> cutOffZones; ///< `region/zone` names to which no peer link could be opened.
    std::vector<std::string> readers; ///< Known instances that read the platform.
    bool isPlatformReachable = false; ///< A reader that this node knows of is in contact with the platform.
    std::optional<milliseconds> isolatedFor; ///< How long no peer link has been open; nothing while one is.
    bool isSuperseded = false; ///< A higher start number is known for this instance.
    std::uint64_t platformCalls = 0;
    std::string lastPlatformFailure;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t documentPulls = 0;
    std::uint64_t badMessages = 0;
    std::uint64_t adoptions = 0;
};

/// Coordinates a node with the fleet: peer links, membership, documents and reading the platform.
///
/// It does no I/O and reads no clock: events and time are passed in, and it dials, sends and closes through
/// hooks.
class fleet_agent {
public:
    struct options {
        gossip::options gossipOptions;
        membership::options members;
        reader_election::options election;
        peer_selector::options links;
        /// Longest wait for peers before a document of the platform is adopted.
        milliseconds peerWaitLimit { 3000 };
        std::size_t maxIncomingLinks = 32;
        std::vector<std::string> seeds; ///< Peer addresses to dial while fewer than two links are open.
    };

    struct hooks {
        std::function<double()> random; ///< In [0, 1).
        std::function<void(link_id, const std::string& peerAddress)> dial;
        std::function<void(link_id, std::string bytes)> send;
        std::function<void(link_id)> close; ///< Closes a link; recordLinkDown() is not expected for it.
        std::function<bool(const document_version&, const std::string& text)> adoptPresets;
        std::function<void(audit_event event, const std::string& detail, const std::string& cause)> audit;
    };

    fleet_agent(options config, const instance_announcement& self, hooks callbacks, milliseconds now);
    fleet_agent(const fleet_agent&) = delete;
    fleet_agent& operator=(const fleet_agent&) = delete;

    /// Runs all periodic work. Call it about every 100 ms.
    void tick(milliseconds now);

    /// Accepts a link that a peer opened; recordLinkUp() or recordLinkDown() follows.
    /// @return the link's id, or nothing above the limit of incoming links.
    std::optional<link_id> acceptLink(const std::string& peer);

    /// Records that the handshake of a link has completed.
    void recordLinkUp(link_id link, const std::string& peer, std::uint64_t startNumber, milliseconds now);

    /// Records that a link failed to open or was closed.
    void recordLinkDown(link_id link, milliseconds now);

    /// Handles a message that was received on a link.
    void receive(link_id link, const std::string& bytes, milliseconds now);

    /// Consumes one call of this node's share of calls to the platform.
    /// @return whether this node is a reader and may call now.
    bool tryTakePlatformCallPermit(milliseconds now) { return m_state.election.tryTakeCallPermit(now); }

    /// Records that the platform responded or that a watch is open, and clears the last platform failure.
    void recordPlatformContact(milliseconds now);

    /// Offers a document that was received from the platform.
    void offerPlatformDocument(
        document_kind kind, std::uint64_t revision, std::string text, milliseconds now);

    /// Records that a call to the platform failed.
    void recordPlatformFailure(const std::string& reason);

    /// Announces to the peers, at once, that this instance takes no new work.
    void announceLeaving(milliseconds now);

    /// Records a revision of the presets that was seen on a call or its response.
    void recordRevision(const std::string& instance, std::uint64_t revision, milliseconds now);

    /// Records what an instance stated on the response to a call.
    void recordStatement(
        const std::string& instance, std::uint64_t startNumber, bool isLeaving, milliseconds now);

    /// Publishes how much this node wants to send over the link between regions.
    void setRegionLinkDemand(double bytesPerSecond, milliseconds now);

    /// @return the demands on the link between regions of this region's recently seen instances, this one
    /// included.
    std::vector<link_demand> getRegionLinkDemands(milliseconds now) const
    {
        return m_state.members.getLinkDemands(m_state.members.getSelf().region, now);
    }

    /// @return whether the VM list changed this instance from live to leaving since the start.
    bool isListedLeaving() const { return m_isListedLeaving; }

    /// @return whether a higher start number is known for this instance.
    bool isSuperseded() const { return m_state.members.isSuperseded(); }

    /// @return the view as of the last tick.
    const fleet_view& getView() const { return m_view; }

    /// @return a counter that is incremented whenever getView() changes.
    std::uint64_t getViewVersion() const { return m_viewVersion; }

    fleet_status getStatus(milliseconds now) const;

private:
    struct peer_link {
        std::string peer; ///< Empty while a seed is dialled whose name is not known yet.
        std::string address;
        std::uint64_t startNumber = 0;
        bool isOutgoing = false;
        bool isUp = false;
    };

    void recordZoneReachability(const std::string& peer, bool isReachable, milliseconds now);
    std::set<std::string> findLiveZones() const;
    std::set<std::string> findCutOffRegions() const;
    std::set<std::string> findCutOffZones(milliseconds now);
    void updateCutOffZones(milliseconds now);
    bool adoptVmList(const document_version& version, const std::string& text);
    bool resolveDuplicateLink(
        const std::string& peer, std::uint64_t startNumber, bool isOutgoing, milliseconds now);
    void dropLink(link_id link, milliseconds now);
    void updateLinks(milliseconds now);
    void dialSeeds(milliseconds now);
    void dial(const std::string& peer, const std::string& address);
    bool isLinked(const std::string& peer) const;
    std::size_t countOpenLinks() const;
    void updateElection(milliseconds now);
    void updateView(milliseconds now);
    void detectPause(milliseconds now);
    void updateIsolation(milliseconds now);
    void auditReaderRole(milliseconds now);
    void auditInstances(const fleet_view& before);
    void auditInstance(const instance_view& instance, const instance_view* before);
    void pushAdoptedVersions(milliseconds now);

    options m_options;
    hooks m_hooks;
    milliseconds m_now;
    fleet_state m_state;
    gossip m_gossip;
    peer_selector m_peerSelector;
    std::map<link_id, peer_link> m_links;
    std::map<std::string, milliseconds> m_failedZones; ///< Zones in which dialling failed, and since when.
    std::set<std::string> m_cutOffZones;
    std::set<std::string> m_cutOffRegions;
    reader_role m_auditedRole = reader_role::None;
    bool m_wasPlatformReachable = false;
    link_id m_lastLink = 0;
    fleet_view m_view;
    std::uint64_t m_viewVersion = 0;
    std::uint64_t m_seenChangeCount = 0;
    std::uint64_t m_pushedAdoptions = 0;
    milliseconds m_lastTickAt;
    milliseconds m_nextSeedAt;
    milliseconds m_expireDueAt;
    milliseconds m_linksDueAt;
    milliseconds m_electionDueAt;
    std::uint64_t m_electionViewVersion = 0;
    milliseconds m_announcementUpdatedAt;
    std::optional<milliseconds> m_isolatedSince;
    bool m_isWaitingForPeers = true;
    bool m_wasListedLive = false;
    bool m_isListedLeaving = false;
    std::string m_lastPlatformFailure;
};

} // namespace fuchsiagauge
