#include "policy/instance_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace fuchsiagauge {
namespace {

    /// Living instances list themselves again within about two seconds of the platform's return.
    constexpr milliseconds relistingTime { 2500 };

} // namespace

instance_directory::instance_directory(change_hook onChange)
    : m_onChange(std::move(onChange))
{
}

void instance_directory::takeListing(const std::vector<instance_record>& listed, milliseconds now)
{
    std::set<std::string> ids;
    for (const auto& record : listed) {
        ids.insert(record.id);
        put(record, now);
    }
    std::vector<std::string> missing;
    for (const auto& [id, known] : m_entries) {
        if (ids.count(id) == 0)
            missing.push_back(id);
    }
    for (const auto& id : missing)
        remove(id, now);
}

void instance_directory::put(const instance_record& record, milliseconds now)
{
    auto& known = m_entries[record.id];
    const bool isNew = known.record.id.empty() || !known.record.isSameStart(record);
    const bool isDrainNews = record.isDraining && (isNew || !known.record.isDraining);
    known.record = record;
    known.missingSince.reset();
    if (isNew) {
        known.firstSeenAt = now;
        known.coldUntil = now + record.coldTimeLeft;
    }
    rebuildIndex();
    if (!m_onChange)
        return;
    if (isNew)
        m_onChange(known, "joined");
    if (isDrainNews)
        m_onChange(known, "draining");
}

void instance_directory::remove(const std::string& id, milliseconds now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    if (!isWaitingForEntries(now)) {
        drop(found, "gone");
        return;
    }
    if (!found->second.missingSince)
        found->second.missingSince = now;
}

void instance_directory::noteContactLost() { m_isContactLost = true; }

void instance_directory::noteContactRegained(milliseconds now)
{
    if (m_isContactLost)
        m_regainedAt = now;
    m_isContactLost = false;
}

void instance_directory::tick(milliseconds now)
{
    if (isWaitingForEntries(now))
        return;
    for (auto item = m_entries.begin(); item != m_entries.end();) {
        const auto current = item++;
        if (current->second.missingSince)
            drop(current, "not listed again");
    }
}

const std::vector<const instance_directory::entry*>& instance_directory::findService(
    const std::string& service) const
{
    static const std::vector<const entry*> none;
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? none : found->second;
}

const instance_directory::entry* instance_directory::findByTarget(
    const address& target, const std::string& service) const
{
    const auto& candidates = findService(service);
    const auto found = std::find_if(candidates.begin(), candidates.end(),
        [&](const entry* known) { return known->record.target == target; });
    return found == candidates.end() ? nullptr : *found;
}

const instance_directory::entry* instance_directory::find(const std::string& id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

bool instance_directory::isWaitingForEntries(milliseconds now) const
{
    return m_isContactLost || now - m_regainedAt < relistingTime;
}

void instance_directory::drop(std::map<std::string, entry>::iterator position, const char* why)
{
    const auto dropped = position->second;
    m_entries.erase(position);
    rebuildIndex();
    if (m_onChange)
        m_onChange(dropped, why);
}

void instance_directory::rebuildIndex()
{
    std::map<address, const entry*> youngest;
    for (const auto& [id, known] : m_entries) {
        auto& owner = youngest[known.record.target];
        if (!owner || owner->record.startedAtMs <= known.record.startedAtMs)
            owner = &known;
    }
    m_byService.clear();
    for (const auto& [target, known] : youngest)
        m_byService[known->record.service].push_back(known);
}

} // namespace fuchsiagauge
