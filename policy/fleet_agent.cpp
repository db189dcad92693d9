#include "policy/fleet_agent.h"

#include "core/preset_parser.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace fuchsiagauge {
namespace {

    /// A longer gap between two ticks means that the process was paused.
    constexpr milliseconds pauseThreshold { 3000 };
    constexpr milliseconds seedDialInterval { 1000 };
    constexpr milliseconds expireInterval { 5000 };
    constexpr milliseconds electionInterval { 1000 };
    constexpr milliseconds linkUpdateInterval { 250 };
    /// Shortest interval between two changes of the published link demand.
    constexpr milliseconds demandUpdateInterval { 10000 };
    /// An availability zone is reported as cut off once dialling into it has failed for longer than this.
    constexpr milliseconds cutOffDelay { 3000 };
    constexpr std::size_t minOpenLinks = 2;

    using audit_hook = std::function<void(audit_event, const std::string&, const std::string&)>;

    void auditChanges(const audit_hook& audit, const std::set<std::string>& before,
        const std::set<std::string>& after, audit_event added, audit_event removed)
    {
        for (const auto& name : after) {
            if (before.count(name) == 0)
                audit(added, name, "no peer link to it can be opened");
        }
        for (const auto& name : before) {
            if (after.count(name) == 0)
                audit(removed, name, "a peer link to it is open, or it has no live instance");
        }
    }

    /// Rounds a demand up to a power of two, so that small changes are not published.
    double roundDemand(double bytesPerSecond)
    {
        constexpr double smallest = 1024;
        if (bytesPerSecond <= 0)
            return 0;
        return std::exp2(std::ceil(std::log2(std::max(smallest, bytesPerSecond))));
    }

} // namespace

fleet_agent::fleet_agent(options config, const instance_announcement& self, hooks callbacks, milliseconds now)
    : m_options(std::move(config))
    , m_hooks(std::move(callbacks))
    , m_now(now)
    , m_state { membership(m_options.members, self, now),
        { document_store(
              m_options.peerWaitLimit, maxPresetDocumentBytes, { m_hooks.adoptPresets, m_hooks.audit }),
            document_store(milliseconds(0), maxVmListBytes,
                { [this](const document_version& version, const std::string& text) {
                     return adoptVmList(version, text);
                 },
                    [](audit_event, const std::string&, const std::string&) {} }) },
        reader_election(m_options.election, self.instance, m_hooks.random, now) }
    , m_gossip(m_options.gossipOptions, m_state, { m_hooks.random, m_hooks.send }, now)
    , m_peerSelector(m_options.links, self.instance, m_hooks.random)
    , m_lastTickAt(now)
    , m_nextSeedAt(now)
    , m_expireDueAt(now)
    , m_linksDueAt(now)
    , m_electionDueAt(now)
    , m_announcementUpdatedAt(now)
    , m_isolatedSince(now)
{
    m_state.getDocument(document_kind::Presets).beginStartupWait(now);
    updateView(now);
    updateElection(now);
}

void fleet_agent::tick(milliseconds now)
{
    m_now = now;
    detectPause(now);
    for (const auto link : m_gossip.findTimedOutLinks(now)) {
        m_hooks.close(link);
        dropLink(link, now);
    }
    if (now >= m_expireDueAt) {
        m_state.members.expire(now);
        m_expireDueAt = now + expireInterval;
    }
    updateView(now);
    updateElection(now);
    auditReaderRole(now);
    updateLinks(now);
    if (m_isWaitingForPeers && m_gossip.hasReceivedHeartbeat()) {
        m_isWaitingForPeers = false;
        m_state.getDocument(document_kind::Presets).endStartupWait(now);
    }
    for (auto& document : m_state.documents)
        document.tick(now);
    m_gossip.tick(now);
    pushAdoptedVersions(now);
    updateIsolation(now);
    updateCutOffZones(now);
}

std::optional<link_id> fleet_agent::acceptLink(const std::string& peer)
{
    const auto incoming = std::count_if(
        m_links.begin(), m_links.end(), [](const auto& item) { return !item.second.isOutgoing; });
    if (static_cast<std::size_t>(incoming) >= m_options.maxIncomingLinks)
        return std::nullopt;
    const auto link = ++m_lastLink;
    m_links[link] = { peer, {}, 0, false, false };
    return link;
}

void fleet_agent::recordLinkUp(
    link_id link, const std::string& peer, std::uint64_t startNumber, milliseconds now)
{
    m_now = now;
    const auto found = m_links.find(link);
    if (found == m_links.end())
        return;
    const bool isExpected = found->second.peer.empty() || found->second.peer == peer;
    if (!isExpected || !resolveDuplicateLink(peer, startNumber, found->second.isOutgoing, now)) {
        m_hooks.close(link);
        dropLink(link, now);
        return;
    }
    found->second.peer = peer;
    found->second.startNumber = startNumber;
    found->second.isUp = true;
    m_peerSelector.onLinkUp(peer);
    m_gossip.addLink(link, peer, found->second.isOutgoing, now);
    m_state.members.recordStatement(peer, startNumber, false, now);
}

void fleet_agent::recordLinkDown(link_id link, milliseconds now)
{
    m_now = now;
    dropLink(link, now);
}

void fleet_agent::receive(link_id link, const std::string& bytes, milliseconds now)
{
    m_now = now;
    if (m_links.count(link) == 0)
        return;
    if (!m_gossip.receive(link, bytes, now)) {
        m_hooks.close(link);
        dropLink(link, now);
    }
    pushAdoptedVersions(now);
}

void fleet_agent::recordPlatformContact(milliseconds now)
{
    m_now = now;
    m_lastPlatformFailure.clear();
    m_state.election.recordContact(now);
}

void fleet_agent::offerPlatformDocument(
    document_kind kind, std::uint64_t revision, std::string text, milliseconds now)
{
    recordPlatformContact(now);
    m_state.getDocument(kind).offerFromPlatform(revision, std::move(text), now);
    pushAdoptedVersions(now);
}

void fleet_agent::recordPlatformFailure(const std::string& reason) { m_lastPlatformFailure = reason; }

void fleet_agent::announceLeaving(milliseconds now)
{
    m_now = now;
    const auto& self = m_state.members.getSelf();
    if (self.isLeaving)
        return;
    m_state.members.updateSelf(true, 0, now);
    m_gossip.pushAnnouncement(self.instance, now);
    m_gossip.flushAll(now);
}

void fleet_agent::recordRevision(const std::string& instance, std::uint64_t revision, milliseconds now)
{
    m_state.getDocument(document_kind::Presets)
        .recordAdvertisedVersion({ revision, {} }, "a call with " + instance, now);
}

void fleet_agent::recordStatement(
    const std::string& instance, std::uint64_t startNumber, bool isLeaving, milliseconds now)
{
    m_state.members.recordStatement(instance, startNumber, isLeaving, now);
}

void fleet_agent::setRegionLinkDemand(double bytesPerSecond, milliseconds now)
{
    const auto& self = m_state.members.getSelf();
    const auto rounded = roundDemand(bytesPerSecond);
    if (rounded == self.linkDemandBytesPerSecond || now - m_announcementUpdatedAt < demandUpdateInterval)
        return;
    m_announcementUpdatedAt = now;
    m_state.members.updateSelf(self.isLeaving, rounded, now);
    m_gossip.enqueueRefresh(self.instance, now);
}

fleet_status fleet_agent::getStatus(milliseconds now) const
{
    const auto& presets = m_state.getDocument(document_kind::Presets);
    fleet_status status;
    status.role = m_state.election.getRole();
    for (const auto& [id, link] : m_links) {
        if (link.isUp)
            status.linkedPeers.push_back(link.peer);
    }
    status.presets = presets.getVersion();
    if (presets.isBehind()) {
        status.advertisedRevision = presets.getAdvertisedVersion().revision;
        status.advertisedBy = presets.getAdvertisedBy();
    }
    status.hasRevisionConflict = presets.hasConflict();
    status.lastRefusal = presets.getLastRefusal();
    status.vmListRevision = m_state.getDocument(document_kind::VmList).getVersion().revision;
    status.knownInstances = m_view.instances.size();
    status.recentlySeenInstances = m_state.members.countRecentlySeen(now);
    status.cutOffRegions = { m_cutOffRegions.begin(), m_cutOffRegions.end() };
    status.cutOffZones = { m_cutOffZones.begin(), m_cutOffZones.end() };
    status.readers = m_state.election.getReaders(now);
    status.isPlatformReachable = m_state.election.hasReader(now);
    if (m_isolatedSince)
        status.isolatedFor = now - *m_isolatedSince;
    status.isSuperseded = m_state.members.isSuperseded();
    status.platformCalls = m_state.election.getCallCount();
    status.lastPlatformFailure = m_lastPlatformFailure;
    status.sentBytes = m_gossip.getSentBytes();
    status.receivedBytes = m_gossip.getReceivedBytes();
    status.documentPulls = m_gossip.getPullCount();
    status.badMessages = m_gossip.getBadMessageCount();
    status.adoptions = presets.getAdoptionCount();
    return status;
}

void fleet_agent::recordZoneReachability(const std::string& peer, bool isReachable, milliseconds now)
{
    const auto found = m_view.instances.find(peer);
    if (found == m_view.instances.end())
        return;
    const auto zone = getQualifiedZoneName(found->second);
    if (isReachable)
        m_failedZones.erase(zone);
    else
        m_failedZones.emplace(zone, now);
}

std::set<std::string> fleet_agent::findLiveZones() const
{
    std::set<std::string> zones;
    for (const auto& [id, instance] : m_view.instances) {
        if (instance.state == instance_state::Live)
            zones.insert(getQualifiedZoneName(instance));
    }
    return zones;
}

std::set<std::string> fleet_agent::findCutOffZones(milliseconds now)
{
    const auto live = m_failedZones.empty() ? std::set<std::string>() : findLiveZones();
    std::set<std::string> cutOff;
    for (auto failed = m_failedZones.begin(); failed != m_failedZones.end();) {
        if (live.count(failed->first) == 0) {
            failed = m_failedZones.erase(failed);
            continue;
        }
        if (now - failed->second > cutOffDelay)
            cutOff.insert(failed->first);
        ++failed;
    }
    return cutOff;
}

std::set<std::string> fleet_agent::findCutOffRegions() const
{
    std::set<std::string> cutOff;
    std::set<std::string> reachable;
    for (const auto& zone : findLiveZones()) {
        const auto region = zone.substr(0, zone.find('/'));
        (m_cutOffZones.count(zone) != 0 ? cutOff : reachable).insert(region);
    }
    for (const auto& region : reachable)
        cutOff.erase(region);
    return cutOff;
}

void fleet_agent::updateCutOffZones(milliseconds now)
{
    for (const auto& [id, link] : m_links) {
        if (link.isUp)
            recordZoneReachability(link.peer, true, now);
    }
    auto zones = findCutOffZones(now);
    if (zones == m_cutOffZones)
        return;
    std::swap(zones, m_cutOffZones);
    auditChanges(m_hooks.audit, zones, m_cutOffZones, audit_event::ZoneCutOff, audit_event::ZoneRejoined);
    auto regions = findCutOffRegions();
    std::swap(regions, m_cutOffRegions);
    auditChanges(
        m_hooks.audit, regions, m_cutOffRegions, audit_event::RegionCutOff, audit_event::RegionRejoined);
}

bool fleet_agent::adoptVmList(const document_version&, const std::string& text)
{
    const auto list = parseVmList(text);
    if (!list)
        return false;
    const auto own = list->vms.find(m_state.members.getSelf().instance);
    if (own != list->vms.end()) {
        m_isListedLeaving = own->second.isLeaving && m_wasListedLive;
        m_wasListedLive = m_wasListedLive || !own->second.isLeaving;
    }
    m_state.members.setVmList(*list, m_now);
    return true;
}

bool fleet_agent::resolveDuplicateLink(
    const std::string& peer, std::uint64_t startNumber, bool isOutgoing, milliseconds now)
{
    const auto& self = m_state.members.getSelf().instance;
    if (peer == self)
        return false;
    const auto other = std::find_if(m_links.begin(), m_links.end(),
        [&peer](const auto& item) { return item.second.isUp && item.second.peer == peer; });
    if (other == m_links.end())
        return true;
    const bool isRestart = startNumber > other->second.startNumber;
    const bool isSameDirection = isOutgoing == other->second.isOutgoing;
    const bool isPreferred = isOutgoing == (self < peer);
    if (!isRestart && !isSameDirection && !isPreferred)
        return false;
    const auto replaced = other->first;
    m_hooks.close(replaced);
    dropLink(replaced, now);
    return true;
}

void fleet_agent::dropLink(link_id link, milliseconds now)
{
    const auto found = m_links.find(link);
    if (found == m_links.end())
        return;
    if (found->second.isOutgoing && !found->second.peer.empty()) {
        m_peerSelector.onLinkDown(found->second.peer, now);
        recordZoneReachability(found->second.peer, false, now);
    }
    m_gossip.removeLink(link);
    m_links.erase(found);
}

void fleet_agent::updateLinks(milliseconds now)
{
    if (now < m_linksDueAt)
        return;
    m_linksDueAt = now + linkUpdateInterval;
    for (const auto& peer : m_peerSelector.releaseUnwanted(m_view, now)) {
        const auto released = std::find_if(m_links.begin(), m_links.end(),
            [&peer](const auto& item) { return item.second.isOutgoing && item.second.peer == peer; });
        if (released == m_links.end())
            continue;
        const auto link = released->first;
        m_hooks.close(link);
        dropLink(link, now);
    }
    const auto isPeerLinked = [this](const std::string& peer) { return isLinked(peer); };
    for (const auto& peer : m_peerSelector.choose(m_view, isPeerLinked, now))
        dial(peer, m_view.instances.at(peer).peerAddress);
    if (countOpenLinks() < minOpenLinks && now >= m_nextSeedAt)
        dialSeeds(now);
}

void fleet_agent::dialSeeds(milliseconds now)
{
    m_nextSeedAt = now + seedDialInterval * (0.75 + 0.5 * m_hooks.random());
    const auto& own = m_state.members.getSelf().peerAddress;
    std::vector<std::string> candidates;
    for (const auto& seed : m_options.seeds) {
        const bool isDialled = std::any_of(m_links.begin(), m_links.end(),
            [&seed](const auto& item) { return item.second.address == seed; });
        if (seed != own && !isDialled)
            candidates.push_back(seed);
    }
    if (candidates.empty())
        return;
    const auto index = static_cast<std::size_t>(m_hooks.random() * static_cast<double>(candidates.size()));
    dial({}, candidates[std::min(index, candidates.size() - 1)]);
}

void fleet_agent::dial(const std::string& peer, const std::string& address)
{
    const auto link = ++m_lastLink;
    m_links[link] = { peer, address, 0, true, false };
    m_hooks.dial(link, address);
}

bool fleet_agent::isLinked(const std::string& peer) const
{
    return std::any_of(
        m_links.begin(), m_links.end(), [&peer](const auto& item) { return item.second.peer == peer; });
}

std::size_t fleet_agent::countOpenLinks() const
{
    return static_cast<std::size_t>(
        std::count_if(m_links.begin(), m_links.end(), [](const auto& item) { return item.second.isUp; }));
}

void fleet_agent::updateElection(milliseconds now)
{
    if (now < m_electionDueAt && m_electionViewVersion == m_viewVersion)
        return;
    m_electionDueAt = now + electionInterval;
    m_electionViewVersion = m_viewVersion;
    const auto& self = m_state.members.getSelf();
    std::vector<std::string> zoneInstances;
    std::size_t recentlySeen = 0;
    for (const auto& [id, instance] : m_view.instances) {
        const bool isSameZone = instance.region == self.region && instance.zone == self.zone;
        if (!isSameZone || instance.state != instance_state::Live)
            continue;
        zoneInstances.push_back(id);
        recentlySeen += m_state.members.isRecentlySeen(id, now) ? 1 : 0;
    }
    m_state.election.update(zoneInstances, recentlySeen, m_view.instances.size(), now);
}

void fleet_agent::updateView(milliseconds now)
{
    const auto changeCount = m_state.members.getChangeCount();
    if (m_viewVersion != 0 && changeCount == m_seenChangeCount)
        return;
    m_seenChangeCount = changeCount;
    auto view = m_state.members.getView(now);
    if (m_viewVersion != 0 && view == m_view)
        return;
    std::swap(m_view, view);
    ++m_viewVersion;
    auditInstances(view);
}

void fleet_agent::detectPause(milliseconds now)
{
    const auto gap = now - m_lastTickAt;
    m_lastTickAt = now;
    if (gap < pauseThreshold)
        return;
    m_gossip.restartReceiveTimeouts(now);
    m_isWaitingForPeers = true;
    m_state.getDocument(document_kind::Presets).beginStartupWait(now);
    m_hooks.audit(audit_event::PauseDetected,
        "paused for " + std::to_string(std::llround(gap.getCount())) + " ms", "gap between two ticks");
}

void fleet_agent::updateIsolation(milliseconds now)
{
    const bool isIsolated = countOpenLinks() == 0;
    if (isIsolated != m_isolatedSince.has_value())
        m_isolatedSince = isIsolated ? std::optional<milliseconds>(now) : std::nullopt;
}

void fleet_agent::pushAdoptedVersions(milliseconds now)
{
    std::uint64_t adoptions = 0;
    for (const auto& document : m_state.documents)
        adoptions += document.getAdoptionCount();
    if (adoptions == m_pushedAdoptions)
        return;
    m_pushedAdoptions = adoptions;
    m_gossip.pushVersions(now);
}

} // namespace fuchsiagauge
