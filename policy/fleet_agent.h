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

/// What an operator sees of a node's place in the fleet.
struct fleet_status {
    reader_role role = reader_role::None;
    std::vector<std::string> linkedPeers;
    document_version presets;
    std::uint64_t shownRevision = 0; ///< Newest revision shown by a peer or a call; 0: none newer.
    std::string shownBy; ///< Who showed it.
    bool hasRevisionConflict = false;
    std::string lastRefusal;
    std::uint64_t vmListRevision = 0;
    std::size_t knownInstances = 0;
    std::size_t heardInstances = 0;
    std::vector<std::string> cutOffRegions; ///< Regions of which every zone is cut off.
    std::vector<std::string> cutOffZones; ///< `region/zone` names that dialling could not reach lately.
    std::vector<std::string> readers; ///< Instances heard of that read the platform.
    bool hasPlatform = false; ///< Some reader that this node hears of is in touch with the platform.
    std::optional<milliseconds> cutOffFor; ///< Since no peer is linked; nothing while one is.
    bool isSuperseded = false; ///< A higher start number was stated for this instance.
    std::uint64_t platformCalls = 0;
    std::string lastPlatformFailure;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t documentPulls = 0;
    std::uint64_t badMessages = 0;
    std::uint64_t adoptions = 0;
};

/// The node's part in the fleet, without I/O: links, membership, configuration and reading the platform.
///
/// Events and time come in; what to dial, send and close goes out through hooks.
class fleet_agent {
public:
    struct options {
        gossip::options exchange;
        membership::options members;
        reader_election::options election;
        peer_selector::options links;
        milliseconds waitForPeers { 3000 }; ///< Longest wait for peers before the platform is trusted.
        std::size_t maxIncomingLinks = 32;
        std::vector<std::string> seeds; ///< Peer addresses to dial while nobody else is known.
    };

    struct hooks {
        std::function<double()> random; ///< In [0, 1).
        std::function<void(link_id, const std::string& peerAddress)> dial;
        std::function<void(link_id, std::string bytes)> send;
        std::function<void(link_id)> close; ///< The link is forgotten; no linkDown() is expected.
        std::function<bool(const document_version&, const std::string& text)> adoptPresets;
        std::function<void(audit_event event, const std::string& detail, const std::string& cause)> audit;
    };

    fleet_agent(options bounds, const instance_announcement& self, hooks varying, milliseconds now);
    fleet_agent(const fleet_agent&) = delete;
    fleet_agent& operator=(const fleet_agent&) = delete;

    /// Does what is due; call it every 100 ms or so.
    void tick(milliseconds now);

    /// Takes a link that a peer opened; linkUp() or linkDown() follows.
    /// @return the link's id, or nothing if it is refused.
    std::optional<link_id> acceptLink(const std::string& peer);

    /// Records that a link came up, after its handshake.
    void linkUp(link_id link, const std::string& peer, std::uint64_t startNumber, milliseconds now);

    /// Records that a link failed to come up or ended.
    void linkDown(link_id link, milliseconds now);

    /// Takes a message from a link.
    void receive(link_id link, const std::string& bytes, milliseconds now);

    /// Takes one call to the platform from the node's share.
    /// @return whether this node reads the platform and may call now.
    bool tryTakePlatformCall(milliseconds now) { return m_state.election.tryTakeCall(now); }

    /// Records that the platform answered, or that a watch is open, and ends the wait for a failure.
    void notePlatformContact(milliseconds now);

    /// Takes a document that the platform gave.
    void notePlatformDocument(document_kind kind, std::uint64_t revision, std::string text, milliseconds now);

    /// Records that a call to the platform failed.
    void notePlatformFailure(const std::string& reason);

    /// States that this instance takes no new work; peers are told at once.
    void announceLeaving(milliseconds now);

    /// Records a revision that was seen on a call or its answer.
    void noteRevision(const std::string& instance, std::uint64_t revision, milliseconds now);

    /// Records what an instance stated on the answer to a call.
    void noteStatement(
        const std::string& instance, std::uint64_t startNumber, bool isLeaving, milliseconds now);

    /// States what this node wants to send over the link between regions.
    void setLinkDemand(double bytesPerSecond, milliseconds now);

    /// @return the demands for the link stated by the living instances of this region, this one included.
    std::vector<link_demand> getRegionLinkDemands(milliseconds now) const
    {
        return m_state.members.getLinkDemands(m_state.members.getSelf().region, now);
    }

    /// @return whether the VM list changed this instance to leaving since the start.
    bool isListedLeaving() const { return m_isListedLeaving; }

    /// @return whether a higher start number was stated for this instance.
    bool isSuperseded() const { return m_state.members.isSuperseded(); }

    /// @return the view; rebuilt when what it rests on changed.
    const fleet_view& getView() const { return m_view; }

    /// @return a number that rises whenever getView() changed.
    std::uint64_t getViewCount() const { return m_viewCount; }

    fleet_status getStatus(milliseconds now) const;

private:
    struct known_link {
        std::string peer; ///< Empty while a seed is dialled.
        std::string address;
        std::uint64_t startNumber = 0;
        bool isOutgoing = false;
        bool isUp = false;
    };

    void noteZone(const std::string& peer, bool isReachable, milliseconds now);
    std::set<std::string> findLiveZones() const;
    std::set<std::string> findCutOffRegions() const;
    std::set<std::string> findCutOffZones(milliseconds now);
    void updateCutOffZones(milliseconds now);
    bool adoptVmList(const document_version& version, const std::string& text);
    bool settleDuplicate(
        const std::string& peer, std::uint64_t startNumber, bool isOutgoing, milliseconds now);
    void dropLink(link_id link, milliseconds now);
    void openLinks(milliseconds now);
    void dialSeeds(milliseconds now);
    void dial(const std::string& peer, const std::string& address);
    bool isLinked(const std::string& peer) const;
    std::size_t countUp() const;
    void updateElection(milliseconds now);
    void updateView(milliseconds now);
    void notePause(milliseconds now);
    void noteIsolation(milliseconds now);
    void auditReading(milliseconds now);
    void auditInstances(const fleet_view& before);
    void auditInstance(const instance_view& instance, const instance_view* before);
    void pushAdoptions(milliseconds now);

    options m_options;
    hooks m_hooks;
    milliseconds m_now;
    fleet_state m_state;
    gossip m_gossip;
    peer_selector m_peerSelector;
    std::map<link_id, known_link> m_links;
    std::map<std::string, milliseconds> m_failedZones; ///< Since when dialling failed there.
    std::set<std::string> m_cutOffZones;
    std::set<std::string> m_cutOffRegions;
    reader_role m_auditedRole = reader_role::None;
    bool m_hadPlatform = false;
    link_id m_lastLink = 0;
    fleet_view m_view;
    std::uint64_t m_viewCount = 0;
    std::uint64_t m_seenChangeCount = 0;
    std::uint64_t m_pushedAdoptions = 0;
    milliseconds m_tickAt;
    milliseconds m_nextSeedAt;
    milliseconds m_expireDueAt;
    milliseconds m_linksDueAt;
    milliseconds m_electionDueAt;
    std::uint64_t m_electionViewCount = 0;
    milliseconds m_restatedAt;
    std::optional<milliseconds> m_isolatedSince;
    bool m_isAsking = true;
    bool m_wasListedLive = false;
    bool m_isListedLeaving = false;
    std::string m_lastPlatformFailure;
};

} // namespace fuchsiagauge
