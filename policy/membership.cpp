#include "policy/membership.h"

#include "core/digest.h"

#include <algorithm>
#include <utility>

namespace fuchsiagauge {

membership::membership(const options& config, const instance_announcement& self, milliseconds now)
    : m_options(config)
    , m_self(self.instance)
{
    auto& own = findOrAdd(m_self);
    own.fact = self;
    own.fact.age = milliseconds(0);
    own.startFirstSeenAt = now;
    markSeen(own, now);
}

void membership::updateSelf(bool isLeaving, double linkDemandBytesPerSecond, milliseconds now)
{
    auto& own = m_entries.at(m_self);
    if (own.fact.isLeaving != isLeaving)
        ++m_changeCount;
    ++own.fact.sequence;
    own.fact.isLeaving = isLeaving;
    own.fact.linkDemandBytesPerSecond = linkDemandBytesPerSecond;
    markSeen(own, now);
}

membership::merge_result membership::mergeFact(const instance_announcement& fact, milliseconds now)
{
    if (fact.instance.empty() || fact.startNumber == 0 || fact.age > m_options.expireAfter)
        return merge_result::Ignored;
    if (fact.instance == m_self) {
        if (fact.startNumber > getSelf().startNumber)
            m_isSuperseded = true;
        return merge_result::Ignored;
    }
    const auto found = m_entries.find(fact.instance);
    if (found != m_entries.end() && !fact.isNewerThan(found->second.fact))
        return merge_result::Ignored;
    auto& known = findOrAdd(fact.instance);
    const auto before = known.fact;
    known.fact = fact;
    known.fact.age = milliseconds(0);
    if (before.startNumber != fact.startNumber)
        known.startFirstSeenAt = now - fact.age;
    markSeen(known, now - fact.age);
    const auto isSame = before.startNumber == fact.startNumber && before.isLeaving == fact.isLeaving
        && before.meshAddress == fact.meshAddress && before.peerAddress == fact.peerAddress;
    if (isSame)
        return merge_result::Refreshed;
    ++m_changeCount;
    markReplaced(fact.instance, now);
    return merge_result::Changed;
}

membership::merge_result membership::mergeRefresh(
    const announcement_refresh& refresh, milliseconds now, std::string& instance)
{
    const auto name = m_names.find(refresh.instanceHash);
    if (name == m_names.end())
        return merge_result::Unknown;
    instance = name->second;
    auto fact = m_entries.at(instance).fact;
    if (fact.startNumber == 0 || fact.meshAddress.empty())
        return merge_result::Unknown;
    fact.startNumber = refresh.startNumber;
    fact.sequence = refresh.sequence;
    fact.isLeaving = refresh.isLeaving;
    fact.linkDemandBytesPerSecond = refresh.linkDemandBytesPerSecond;
    fact.age = refresh.age;
    return mergeFact(fact, now);
}

membership::merge_result membership::recordInstanceState(
    const std::string& instance, std::uint64_t startNumber, bool isLeaving, milliseconds now)
{
    if (instance == m_self || startNumber == 0)
        return merge_result::Ignored;
    auto& known = findOrAdd(instance);
    if (startNumber < known.fact.startNumber)
        return merge_result::Ignored;
    const bool hasStarted = startNumber > known.fact.startNumber;
    const bool hasLeft = isLeaving && !known.fact.isLeaving;
    markSeen(known, now);
    if (!hasStarted && !hasLeft)
        return merge_result::Refreshed;
    if (hasStarted) {
        known.fact.instance = instance;
        known.fact.startNumber = startNumber;
        known.fact.sequence = 0;
        known.startFirstSeenAt = now;
    }
    known.fact.isLeaving = isLeaving;
    ++m_changeCount;
    return merge_result::Changed;
}

void membership::recordSeen(const std::string& instance, milliseconds now)
{
    const auto found = m_entries.find(instance);
    if (found != m_entries.end())
        markSeen(found->second, now);
}

void membership::setVmList(const vm_list& list, milliseconds now)
{
    for (auto& [id, known] : m_entries)
        known.listed.reset();
    for (const auto& [id, vm] : list.vms)
        findOrAdd(id).listed = vm;
    m_hasList = true;
    m_listReceivedAt = now;
    ++m_changeCount;
    expire(now);
}

void membership::expire(milliseconds now)
{
    std::vector<std::string> expired;
    for (const auto& [id, known] : m_entries) {
        if (isExpired(id, known, now))
            expired.push_back(id);
    }
    for (const auto& id : expired)
        erase(id);
    while (m_entries.size() > m_options.maxInstances)
        evictLeastRecentlySeen();
}

fleet_view membership::getView(milliseconds now) const
{
    fleet_view view;
    for (const auto& [id, known] : m_entries) {
        auto instance = describe(id, known, now);
        if (!instance.meshAddress.empty())
            view.instances.emplace(id, std::move(instance));
    }
    return view;
}

std::optional<instance_announcement> membership::findFact(const std::string& instance, milliseconds now) const
{
    const auto found = m_entries.find(instance);
    if (found == m_entries.end() || found->second.fact.meshAddress.empty())
        return std::nullopt;
    auto fact = found->second.fact;
    fact.age = now - found->second.lastSeenAt;
    return fact;
}

std::size_t membership::countRecentlySeen(milliseconds now) const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(),
        [&](const auto& item) { return item.first == m_self || isRecentlySeenEntry(item.second, now); }));
}

bool membership::isRecentlySeen(const std::string& instance, milliseconds now) const
{
    const auto found = m_entries.find(instance);
    return instance == m_self || (found != m_entries.end() && isRecentlySeenEntry(found->second, now));
}

std::vector<link_demand> membership::getLinkDemands(const std::string& region, milliseconds now) const
{
    std::vector<link_demand> demands;
    for (const auto& [id, known] : m_entries) {
        const bool isAlive = id == m_self || (isRecentlySeenEntry(known, now) && !known.isReplaced);
        if (isAlive && known.fact.region == region)
            demands.push_back({ id, known.fact.linkDemandBytesPerSecond });
    }
    return demands;
}

std::size_t membership::getBucket(const std::string& instance) { return computeHash(instance) % bucketCount; }

std::array<std::uint64_t, membership::bucketCount> membership::getBucketDigests(milliseconds now) const
{
    std::array<std::uint64_t, bucketCount> digests {};
    for (const auto& [id, known] : m_entries) {
        const bool isStated
            = !known.fact.meshAddress.empty() && (id == m_self || isRecentlySeenEntry(known, now));
        if (!isStated)
            continue;
        const auto state = std::to_string(known.fact.startNumber) + (known.fact.isLeaving ? "-" : "+");
        digests[getBucket(id)] ^= computeHash(id + ' ' + state);
    }
    return digests;
}

std::vector<std::string> membership::getBucketInstances(std::size_t bucket, milliseconds now) const
{
    std::vector<std::string> instances;
    for (const auto& [id, known] : m_entries) {
        const bool isStated
            = !known.fact.meshAddress.empty() && (id == m_self || isRecentlySeenEntry(known, now));
        if (isStated && getBucket(id) == bucket)
            instances.push_back(id);
    }
    return instances;
}

bool membership::isRecentlySeenEntry(const entry& known, milliseconds now) const
{
    return known.wasSeen && now - known.lastSeenAt < m_options.recentlySeenWindow;
}

bool membership::isExpired(const std::string& id, const entry& known, milliseconds now) const
{
    if (id == m_self || known.listed || isRecentlySeenEntry(known, now))
        return false;
    return getState(known, now) == instance_state::Gone || !known.wasSeen
        || now - known.lastSeenAt >= m_options.expireAfter;
}

instance_state membership::getState(const entry& known, milliseconds now) const
{
    if (known.isReplaced)
        return instance_state::Gone;
    const bool isListNewer = m_hasList && m_listReceivedAt > known.lastSeenAt + m_options.maxListLag;
    const bool isMissing = m_hasList && !known.listed;
    if (isMissing && isListNewer && !isRecentlySeenEntry(known, now))
        return instance_state::Gone;
    if (known.fact.startNumber != 0)
        return known.fact.isLeaving ? instance_state::Leaving : instance_state::Live;
    return known.listed && known.listed->isLeaving ? instance_state::Leaving : instance_state::Live;
}

instance_view membership::describe(const std::string& id, const entry& known, milliseconds now) const
{
    instance_view view;
    view.id = id;
    view.startNumber = known.fact.startNumber;
    view.state = id == m_self && !known.fact.isLeaving ? instance_state::Live : getState(known, now);
    if (known.fact.meshAddress.empty() && known.listed) {
        view.service = known.listed->service;
        view.region = known.listed->region;
        view.zone = known.listed->zone;
        view.meshAddress = known.listed->meshAddress;
        view.peerAddress = known.listed->peerAddress;
        return view;
    }
    view.service = known.fact.service;
    view.region = known.fact.region;
    view.zone = known.fact.zone;
    view.meshAddress = known.fact.meshAddress;
    view.peerAddress = known.fact.peerAddress;
    return view;
}

void membership::markSeen(entry& known, milliseconds at)
{
    if (!known.wasSeen || known.lastSeenAt < at)
        known.lastSeenAt = at;
    known.wasSeen = true;
}

void membership::markReplaced(const std::string& id, milliseconds now)
{
    const auto& replacement = m_entries.at(id);
    for (auto& [otherId, other] : m_entries) {
        if (otherId == id || otherId == m_self
            || describe(otherId, other, now).meshAddress != replacement.fact.meshAddress)
            continue;
        if (other.startFirstSeenAt < replacement.startFirstSeenAt)
            other.isReplaced = true;
    }
    m_entries.at(id).isReplaced = false;
}

void membership::evictLeastRecentlySeen()
{
    auto oldest = m_entries.end();
    for (auto item = m_entries.begin(); item != m_entries.end(); ++item) {
        if (item->first == m_self)
            continue;
        if (oldest == m_entries.end() || item->second.lastSeenAt < oldest->second.lastSeenAt)
            oldest = item;
    }
    erase(oldest->first);
}

membership::entry& membership::findOrAdd(const std::string& id)
{
    m_names.emplace(computeHash(id), id);
    return m_entries[id];
}

void membership::erase(const std::string& id)
{
    m_names.erase(computeHash(id));
    m_entries.erase(m_entries.find(id));
    ++m_changeCount;
}

} // namespace fuchsiagauge
