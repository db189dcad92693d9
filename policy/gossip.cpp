#include "policy/gossip.h"

#include "core/digest.h"
#include "core/preset_parser.h"

#include <algorithm>
#include <utility>

namespace fuchsiagauge {
namespace {

    constexpr milliseconds digestLifetime { 1000 };
    constexpr std::size_t maxFactsPerMessage = 100;
    constexpr std::size_t maxPendingFacts = 4096;
    constexpr auto allDocumentKinds = { document_kind::Presets, document_kind::VmList };

    announcement_refresh makeRefresh(const instance_announcement& fact)
    {
        return { computeHash(fact.instance), fact.startNumber, fact.sequence, fact.isLeaving,
            fact.linkDemandBytesPerSecond, fact.age };
    }

    std::size_t getMaxBytes(document_kind kind)
    {
        return kind == document_kind::Presets ? maxPresetDocumentBytes : maxVmListBytes;
    }

} // namespace

gossip::gossip(const options& config, fleet_state& state, hooks callbacks, milliseconds now)
    : m_options(config)
    , m_state(state)
    , m_hooks(std::move(callbacks))
    , m_sendBudget(config.bytesPerSecond, config.burstBytes, config.burstBytes)
    , m_flushDueAt(now)
    , m_refreshDueAt(now + config.refreshInterval * m_hooks.random())
{
}

void gossip::addLink(link_id link, const std::string& peer, bool isOutgoing, milliseconds now)
{
    auto& added = m_links[link];
    added.peer = peer;
    added.isOutgoing = isOutgoing;
    added.lastReceivedAt = now;
    added.exchangeDueAt = now;
    added.differsSince = now - m_options.exchangeDelay;
    added.pending[m_state.members.getSelf().instance] = true;
    auto& entry = *m_links.find(link);
    sendHeartbeat(entry, now);
    flush(entry, now);
}

void gossip::removeLink(link_id link)
{
    m_links.erase(link);
    for (auto& pull : m_pulls) {
        if (pull.link == link)
            pull.isInFlight = false;
    }
}

bool gossip::receive(link_id link, const std::string& bytes, milliseconds now)
{
    const auto found = m_links.find(link);
    if (found == m_links.end())
        return false;
    m_receivedBytes += bytes.size();
    const auto message = decodePeerMessage(bytes);
    if (!message) {
        ++m_badMessageCount;
        return false;
    }
    found->second.lastReceivedAt = now;
    m_state.members.recordSeen(found->second.peer, now);
    if (const auto* heartbeat = std::get_if<peer_heartbeat>(&*message))
        handle(*found, *heartbeat, now);
    else if (const auto* facts = std::get_if<peer_facts>(&*message))
        handle(*found, *facts, now);
    else if (const auto* digests = std::get_if<peer_fact_digests>(&*message))
        handle(*found, *digests, now);
    else if (const auto* request = std::get_if<document_request>(&*message))
        handle(*found, *request, now);
    else if (const auto* response = std::get_if<document_response>(&*message))
        handle(*found, *response, now);
    else {
        ++m_badMessageCount;
        return false;
    }
    return true;
}

void gossip::tick(milliseconds now)
{
    if (now >= m_refreshDueAt) {
        const auto& self = m_state.members.getSelf();
        m_state.members.updateSelf(self.isLeaving, self.linkDemandBytesPerSecond, now);
        enqueueFact(self.instance, membership::merge_result::Refreshed, 0, now);
        m_refreshDueAt = now + m_options.refreshInterval * (0.9 + 0.2 * m_hooks.random());
    }
    const bool isFlushDue = now >= m_flushDueAt && m_sendBudget.getTokens(now) > 0;
    if (isFlushDue)
        m_flushDueAt = now + m_options.flushInterval;
    for (auto& link : m_links) {
        if (now >= link.second.heartbeatDueAt)
            sendHeartbeat(link, now);
        if (isFlushDue)
            flush(link, now);
        exchangeIfDue(link, now);
    }
    for (const auto kind : allDocumentKinds)
        pullIfBehind(kind, now);
}

void gossip::pushFact(const std::string& instance, milliseconds now)
{
    enqueueFact(instance, membership::merge_result::Changed, 0, now);
}

void gossip::enqueueRefresh(const std::string& instance, milliseconds now)
{
    enqueueFact(instance, membership::merge_result::Refreshed, 0, now);
}

void gossip::flushAll(milliseconds now)
{
    for (auto& link : m_links)
        flush(link, now);
}

void gossip::pushVersions(milliseconds now)
{
    for (auto& link : m_links) {
        if (isPeerBehind(link.second))
            sendHeartbeat(link, now);
    }
}

void gossip::restartReceiveTimeouts(milliseconds now)
{
    for (auto& [link, peer] : m_links)
        peer.lastReceivedAt = now;
}

std::vector<link_id> gossip::findTimedOutLinks(milliseconds now) const
{
    std::vector<link_id> timedOut;
    for (const auto& [link, peer] : m_links) {
        if (now - peer.lastReceivedAt > m_options.receiveTimeout)
            timedOut.push_back(link);
    }
    return timedOut;
}

bool gossip::hasReceivedHeartbeat() const
{
    return std::any_of(
        m_links.begin(), m_links.end(), [](const auto& link) { return link.second.hasSentHeartbeat; });
}

void gossip::handle(link_map::value_type& link, const peer_heartbeat& message, milliseconds now)
{
    auto& peer = link.second;
    peer.hasSentHeartbeat = true;
    peer.versions = { message.presets, message.vmList };
    m_state.election.recordReaderStatus(message.reader, now);
    for (const auto kind : allDocumentKinds) {
        const auto& advertised = peer.versions[static_cast<std::size_t>(kind)];
        m_state.getDocument(kind).recordAdvertisedVersion(advertised, "peer " + peer.peer, now);
        pullIfBehind(kind, now);
    }
    if (message.factsDigest == getFactsDigest(now))
        peer.differsSince.reset();
    else if (!peer.differsSince)
        peer.differsSince = now;
    exchangeIfDue(link, now);
}

void gossip::handle(link_map::value_type& link, const peer_facts& message, milliseconds now)
{
    for (const auto& fact : message.facts) {
        enqueueFact(fact.instance, m_state.members.mergeFact(fact, now), link.first, now);
        removePendingIfKnown(link.second, fact.instance, fact.startNumber, fact.sequence, now);
    }
    std::string instance;
    for (const auto& refresh : message.refreshes) {
        const auto result = m_state.members.mergeRefresh(refresh, now, instance);
        if (result == membership::merge_result::Unknown)
            continue;
        enqueueFact(instance, result, link.first, now);
        removePendingIfKnown(link.second, instance, refresh.startNumber, refresh.sequence, now);
    }
}

/// Drops the queued fact of an instance if the peer has just sent the same one.
void gossip::removePendingIfKnown(peer_state& peer, const std::string& instance, std::uint64_t startNumber,
    std::uint64_t sequence, milliseconds now)
{
    const auto pending = peer.pending.find(instance);
    if (pending == peer.pending.end())
        return;
    const auto fact = m_state.members.findFact(instance, now);
    if (fact && fact->startNumber == startNumber && fact->sequence == sequence)
        peer.pending.erase(pending);
}

void gossip::handle(link_map::value_type& link, const peer_fact_digests& message, milliseconds now)
{
    const auto own = m_state.members.getBucketDigests(now);
    if (message.buckets.size() != own.size())
        return;
    if (!message.isReply)
        sendDigests(link, true, now);
    for (std::size_t bucket = 0; bucket < own.size(); ++bucket) {
        if (own[bucket] == message.buckets[bucket])
            continue;
        for (const auto& instance : m_state.members.getBucketInstances(bucket, now))
            link.second.pending[instance] = true;
    }
}

void gossip::handle(link_map::value_type& link, const document_request& message, milliseconds now)
{
    const auto& document = m_state.getDocument(message.kind);
    if (document.getVersion().revision == 0)
        return;
    document_response response;
    response.kind = message.kind;
    response.version = document.getVersion();
    response.steps = makeDelta(document.getText(), message.chunkHashes);
    send(link.first, response, now);
}

void gossip::handle(link_map::value_type& link, const document_response& message, milliseconds now)
{
    auto& pull = m_pulls[static_cast<std::size_t>(message.kind)];
    if (pull.link == link.first)
        pull.isInFlight = false;
    auto& document = m_state.getDocument(message.kind);
    if (!document.isAdoptable(message.version))
        return;
    ++m_pullCount;
    const auto text = applyDelta(document.getText(), message.steps, getMaxBytes(message.kind));
    const bool isValid = text && document.offerFromPeer(message.version, *text, link.second.peer, now);
    link.second.needsFullDocument = !isValid;
    if (!isValid)
        pullIfBehind(message.kind, now);
}

void gossip::enqueueFact(
    const std::string& instance, membership::merge_result result, link_id from, milliseconds now)
{
    const bool isNew = result == membership::merge_result::Changed;
    if (!isNew && result != membership::merge_result::Refreshed)
        return;
    for (auto& link : m_links) {
        auto& pending = link.second.pending;
        if (link.first == from || link.second.peer == instance || pending.size() >= maxPendingFacts)
            continue;
        pending[instance] |= isNew;
    }
    if (isNew)
        m_flushDueAt = std::min(m_flushDueAt, now);
}

bool gossip::isPeerBehind(const peer_state& peer) const
{
    return std::any_of(allDocumentKinds.begin(), allDocumentKinds.end(), [&](document_kind kind) {
        return peer.versions[static_cast<std::size_t>(kind)] < m_state.getDocument(kind).getVersion();
    });
}

void gossip::sendHeartbeat(link_map::value_type& link, milliseconds now)
{
    peer_heartbeat message;
    message.presets = m_state.getDocument(document_kind::Presets).getVersion();
    message.vmList = m_state.getDocument(document_kind::VmList).getVersion();
    message.factsDigest = getFactsDigest(now);
    message.reader = m_state.election.getReaderStatus(now);
    link.second.heartbeatDueAt = now + m_options.heartbeatInterval * (0.9 + 0.2 * m_hooks.random());
    send(link.first, message, now);
}

void gossip::sendDigests(link_map::value_type& link, bool isReply, milliseconds now)
{
    const auto buckets = m_state.members.getBucketDigests(now);
    send(link.first, peer_fact_digests { { buckets.begin(), buckets.end() }, isReply }, now);
}

void gossip::flush(link_map::value_type& link, milliseconds now)
{
    auto& pending = link.second.pending;
    if (pending.empty())
        return;
    peer_facts message;
    while (!pending.empty() && message.facts.size() < maxFactsPerMessage
        && message.refreshes.size() < maxFactsPerMessage) {
        const auto item = pending.begin();
        if (const auto fact = m_state.members.findFact(item->first, now)) {
            if (item->second)
                message.facts.push_back(*fact);
            else
                message.refreshes.push_back(makeRefresh(*fact));
        }
        pending.erase(item);
    }
    send(link.first, message, now);
}

void gossip::exchangeIfDue(link_map::value_type& link, milliseconds now)
{
    auto& peer = link.second;
    const bool isDue = peer.isOutgoing && peer.hasSentHeartbeat && peer.differsSince
        && now - *peer.differsSince >= m_options.exchangeDelay && now >= peer.exchangeDueAt
        && m_sendBudget.getTokens(now) > 0;
    if (!isDue)
        return;
    peer.exchangeDueAt = now + m_options.exchangeInterval;
    peer.differsSince.reset();
    sendDigests(link, false, now);
}

void gossip::pullIfBehind(document_kind kind, milliseconds now)
{
    auto& pull = m_pulls[static_cast<std::size_t>(kind)];
    const bool mustWait = pull.isInFlight || m_sendBudget.getTokens(now) <= 0;
    if (mustWait && now - pull.startedAt < m_options.pullTimeout)
        return;
    auto* source = choosePullSource(kind);
    if (!source)
        return;
    pull = { source->first, now, true };
    document_request request;
    request.kind = kind;
    if (!source->second.needsFullDocument)
        request.chunkHashes = m_state.getDocument(kind).getChunkHashes();
    send(source->first, request, now);
}

gossip::link_map::value_type* gossip::choosePullSource(document_kind kind)
{
    const auto index = static_cast<std::size_t>(kind);
    const auto& pull = m_pulls[index];
    std::vector<link_map::value_type*> sources;
    document_version newest = m_state.getDocument(kind).getVersion();
    for (auto& link : m_links) {
        const auto& version = link.second.versions[index];
        if (!m_state.getDocument(kind).isAdoptable(version) || version < newest)
            continue;
        if (newest < version)
            sources.clear();
        newest = version;
        sources.push_back(&link);
    }
    const auto isOther
        = [&pull](const link_map::value_type* link) { return !pull.isInFlight || link->first != pull.link; };
    const auto others = std::stable_partition(sources.begin(), sources.end(), isOther) - sources.begin();
    if (sources.empty())
        return nullptr;
    const auto count = others > 0 ? static_cast<std::size_t>(others) : sources.size();
    return sources[std::min(
        count - 1, static_cast<std::size_t>(m_hooks.random() * static_cast<double>(count)))];
}

void gossip::send(link_id link, const peer_message& message, milliseconds now)
{
    auto bytes = encodePeerMessage(message);
    m_sentBytes += bytes.size();
    const double availableBytes = m_sendBudget.getTokens(now) + m_options.maxDebtBytes;
    m_sendBudget.charge(std::min(static_cast<double>(bytes.size()), std::max(0.0, availableBytes)), now);
    m_hooks.send(link, std::move(bytes));
}

std::uint64_t gossip::getFactsDigest(milliseconds now)
{
    const bool isFresh = now - m_digestAt < digestLifetime && m_digestAt.getCount() >= 0
        && m_digestChangeCount == m_state.members.getChangeCount();
    if (isFresh)
        return m_digest;
    m_digest = 0;
    for (const auto bucket : m_state.members.getBucketDigests(now))
        m_digest = (m_digest << 7 | m_digest >> 57) ^ bucket;
    m_digestAt = now;
    m_digestChangeCount = m_state.members.getChangeCount();
    return m_digest;
}

} // namespace fuchsiagauge
