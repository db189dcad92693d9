#include "policy/instance_directory.h"

#include <algorithm>
#include <utility>

namespace fuchsiagauge {
namespace {

    /// Running instances register again within about two seconds after the platform is reachable again. With
    /// the time that a node takes to reconnect, the period ends before instances that have left count as
    /// gone.
    constexpr milliseconds relistGracePeriod { 2100 };
    /// An instance that has announced its stop and is not listed for this time has ended.
    constexpr milliseconds leavingMemory { 60000 };

} // namespace

instance_directory::instance_directory(change_hook onChange)
    : m_onChange(std::move(onChange))
{
}

void instance_directory::applyListing(const std::vector<instance_record>& listed, milliseconds now)
{
    std::set<std::string> ids;
    for (const auto& record : listed) {
        ids.insert(record.id);
        put(record, now);
    }
    std::vector<std::string> missing;
    for (const auto& [id, stored] : m_entries) {
        if (ids.count(id) == 0)
            missing.push_back(id);
    }
    for (const auto& id : missing)
        remove(id, now);
}

void instance_directory::put(const instance_record& record, milliseconds now)
{
    auto& stored = m_entries[record.id];
    const bool isNew = stored.record.id.empty() || !stored.record.isSameStart(record);
    const bool isDrainStart = record.isDraining && (isNew || !stored.record.isDraining);
    stored.record = record;
    stored.missingSince.reset();
    stored.hasAnnouncedLeaving = hasAnnouncedLeaving(record);
    if (isNew) {
        stored.firstSeenAt = now;
        stored.coldUntil = now + record.coldTimeLeft;
    }
    m_isIndexOutdated = true;
    if (!m_onChange)
        return;
    if (isNew)
        m_onChange(stored, "joined");
    if (isDrainStart)
        m_onChange(stored, "draining");
}

void instance_directory::remove(const std::string& id, milliseconds now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    if (!isKeepingMissingEntries(now)) {
        drop(found, "gone");
        return;
    }
    if (!found->second.missingSince)
        found->second.missingSince = now;
    m_hasMissingEntries = true;
}

void instance_directory::markLeaving(const std::string& id, std::uint64_t startedAtMs, milliseconds now)
{
    m_leavingStarts[id] = { startedAtMs, now };
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.record.startedAtMs != startedAtMs
        || std::exchange(found->second.hasAnnouncedLeaving, true))
        return;
    if (m_onChange)
        m_onChange(found->second, "leaving");
}

bool instance_directory::hasAnnouncedLeaving(const instance_record& record) const
{
    const auto found = m_leavingStarts.find(record.id);
    return found != m_leavingStarts.end() && found->second.startedAtMs == record.startedAtMs;
}

void instance_directory::forgetStoppedInstances(milliseconds now)
{
    for (auto item = m_leavingStarts.begin(); item != m_leavingStarts.end();) {
        if (m_entries.count(item->first) > 0)
            item->second.lastListedAt = now;
        item
            = now - item->second.lastListedAt > leavingMemory ? m_leavingStarts.erase(item) : std::next(item);
    }
}

void instance_directory::onPlatformDisconnected() { m_isPlatformDisconnected = true; }

void instance_directory::onPlatformReconnected(milliseconds now)
{
    if (m_isPlatformDisconnected)
        m_reconnectedAt = now;
    m_isPlatformDisconnected = false;
}

void instance_directory::onPlatformRestored(milliseconds now)
{
    m_reconnectedAt = std::max(m_reconnectedAt, now);
}

void instance_directory::tick(milliseconds now)
{
    forgetStoppedInstances(now);
    if (!m_hasMissingEntries || isKeepingMissingEntries(now))
        return;
    m_hasMissingEntries = false;
    for (auto item = m_entries.begin(); item != m_entries.end();) {
        const auto current = item++;
        if (current->second.missingSince)
            drop(current, "not listed again");
    }
}

void instance_directory::setServices(std::set<std::string> services)
{
    m_services = std::move(services);
    m_isIndexOutdated = true;
}

bool instance_directory::hasService(const std::string& service) const
{
    return m_services.empty() || m_services.count(service) > 0;
}

const std::vector<const instance_directory::entry*>& instance_directory::findService(
    const std::string& service) const
{
    static const std::vector<const entry*> none;
    if (m_isIndexOutdated)
        rebuildIndex();
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? none : found->second;
}

const instance_directory::entry* instance_directory::findByTarget(
    const address& target, const std::string& service) const
{
    const auto& candidates = findService(service);
    const auto found = std::find_if(candidates.begin(), candidates.end(),
        [&](const entry* stored) { return stored->record.target == target; });
    return found == candidates.end() ? nullptr : *found;
}

const instance_directory::entry* instance_directory::find(const std::string& id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

bool instance_directory::isKeepingMissingEntries(milliseconds now) const
{
    return m_isPlatformDisconnected || now - m_reconnectedAt < relistGracePeriod;
}

void instance_directory::drop(std::map<std::string, entry>::iterator position, const char* reason)
{
    const auto dropped = position->second;
    m_entries.erase(position);
    m_isIndexOutdated = true;
    if (m_onChange)
        m_onChange(dropped, reason);
}

void instance_directory::rebuildIndex() const
{
    m_isIndexOutdated = false;
    std::map<address, const entry*> newestByAddress;
    for (const auto& [id, stored] : m_entries) {
        if (!hasService(stored.record.service))
            continue;
        auto& newest = newestByAddress[stored.record.target];
        if (!newest || newest->record.startedAtMs <= stored.record.startedAtMs)
            newest = &stored;
    }
    m_byService.clear();
    for (const auto& [target, stored] : newestByAddress)
        m_byService[stored->record.service].push_back(stored);
}

} // namespace fuchsiagauge
