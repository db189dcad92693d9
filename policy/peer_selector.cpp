#include "policy/peer_selector.h"

#include <algorithm>
#include <set>
#include <utility>

namespace fuchsiagauge {

std::string getQualifiedZoneName(const instance_view& instance)
{
    return instance.region + '/' + instance.zone;
}

peer_selector::peer_selector(const options& bounds, std::string self, random_hook random)
    : m_options(bounds)
    , m_self(std::move(self))
    , m_random(std::move(random))
{
}

std::vector<std::string> peer_selector::choose(const fleet_view& view,
    const std::function<bool(const std::string& instance)>& isLinked, milliseconds now)
{
    const auto own = view.instances.find(m_self);
    if (own == view.instances.end())
        return {};
    auto pools = findCandidates(view, isLinked, now);
    std::vector<std::string> chosen;
    const auto ownZone = getQualifiedZoneName(own->second);
    fillQuota(ownZone, m_options.ownZonePeers, pools[ownZone], chosen, now);
    for (const auto& zone : listOtherZones(own->second, view))
        fillQuota(zone, m_options.otherZonePeers, pools[zone], chosen, now);
    fillQuota({}, m_options.randomPeers, pools[{}], chosen, now);
    return chosen;
}

void peer_selector::onLinkUp(const std::string& instance) { m_retries.erase(instance); }

void peer_selector::onLinkDown(const std::string& instance, milliseconds now)
{
    m_selectedPeers.erase(instance);
    auto& entry = m_retries[instance];
    const auto doubled = std::max(m_options.firstRetryDelay, entry.delay * 2);
    entry.delay = std::min(m_options.longestRetryDelay, doubled);
    entry.notBefore = now + entry.delay * (0.5 + 0.5 * m_random());
}

std::vector<std::string> peer_selector::releaseUnwanted(const fleet_view& view, milliseconds now)
{
    std::vector<std::string> released;
    for (const auto& [id, peer] : m_selectedPeers) {
        const auto found = view.instances.find(id);
        const bool isGone = found == view.instances.end() || found->second.state == instance_state::Gone;
        const bool isExpired = peer.zone.empty() && now - peer.selectedAt > m_options.randomPeerLifetime;
        if (isGone || isExpired)
            released.push_back(id);
    }
    for (const auto& id : released)
        m_selectedPeers.erase(id);
    for (auto item = m_retries.begin(); item != m_retries.end();) {
        if (view.instances.count(item->first) == 0)
            item = m_retries.erase(item);
        else
            ++item;
    }
    return released;
}

peer_selector::candidate_pools peer_selector::findCandidates(const fleet_view& view,
    const std::function<bool(const std::string& instance)>& isLinked, milliseconds now) const
{
    candidate_pools pools;
    for (const auto& [id, instance] : view.instances) {
        const bool isCandidate = id != m_self && instance.state != instance_state::Gone
            && !instance.peerAddress.empty() && m_selectedPeers.count(id) == 0 && mayConnect(id, now)
            && !isLinked(id);
        if (!isCandidate)
            continue;
        pools[getQualifiedZoneName(instance)].push_back(id);
        pools[{}].push_back(id);
    }
    return pools;
}

std::vector<std::string> peer_selector::listOtherZones(const instance_view& own, const fleet_view& view) const
{
    std::set<std::pair<bool, std::string>> zones;
    for (const auto& [id, instance] : view.instances) {
        if (getQualifiedZoneName(instance) != getQualifiedZoneName(own))
            zones.emplace(instance.region != own.region, getQualifiedZoneName(instance));
    }
    std::vector<std::string> ordered;
    for (const auto& [isOtherRegion, zone] : zones) {
        if (ordered.size() < m_options.maxOtherZones)
            ordered.push_back(zone);
    }
    return ordered;
}

void peer_selector::fillQuota(const std::string& zone, std::size_t quota, std::vector<std::string>& pool,
    std::vector<std::string>& chosen, milliseconds now)
{
    while (countSelected(zone) < quota && !pool.empty()) {
        const auto index = static_cast<std::size_t>(m_random() * static_cast<double>(pool.size()));
        std::swap(pool[std::min(index, pool.size() - 1)], pool.back());
        const auto id = std::move(pool.back());
        pool.pop_back();
        if (m_selectedPeers.emplace(id, selected_peer { zone, now }).second)
            chosen.push_back(id);
    }
}

std::size_t peer_selector::countSelected(const std::string& zone) const
{
    return static_cast<std::size_t>(std::count_if(m_selectedPeers.begin(), m_selectedPeers.end(),
        [&zone](const auto& item) { return item.second.zone == zone; }));
}

bool peer_selector::mayConnect(const std::string& instance, milliseconds now) const
{
    const auto found = m_retries.find(instance);
    return found == m_retries.end() || now >= found->second.notBefore;
}

} // namespace fuchsiagauge
