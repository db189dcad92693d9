#include "client/audit_merger.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <tuple>
#include <utility>

namespace fuchsiagauge {
namespace {

    constexpr std::uint64_t msPerSecond = 1000;

    bool isEarlier(const audit_entry& a, const audit_entry& b)
    {
        return std::tie(a.wallTimeMs, a.instance, a.sequence)
            < std::tie(b.wallTimeMs, b.instance, b.sequence);
    }

    std::string formatUtcTime(std::uint64_t wallTimeMs)
    {
        const auto seconds = static_cast<std::time_t>(wallTimeMs / msPerSecond);
        std::tm parts {};
        gmtime_r(&seconds, &parts);
        std::array<char, 64> text {};
        std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
        std::array<char, 8> fraction {};
        std::snprintf(
            fraction.data(), fraction.size(), ".%03uZ", static_cast<unsigned>(wallTimeMs % msPerSecond));
        return std::string(text.data()) + fraction.data();
    }

} // namespace

std::uint64_t audit_merger::getLastSequence(const std::string& node) const
{
    const auto found = m_positions.find(node);
    return found == m_positions.end() ? 0 : found->second.sequence;
}

bool audit_merger::add(const std::string& node, const audit_page& page)
{
    auto& lastPosition = m_positions[node];
    const bool hasRestarted = lastPosition.sequence != 0 && page.startNumber != lastPosition.startNumber;
    lastPosition.startNumber = page.startNumber;
    if (hasRestarted) {
        lastPosition.sequence = 0;
        return false;
    }
    for (const auto& entry : page.entries) {
        if (entry.sequence <= lastPosition.sequence)
            continue;
        lastPosition.sequence = entry.sequence;
        m_entries.push_back(entry);
    }
    return true;
}

std::vector<audit_entry> audit_merger::takeEntries()
{
    std::sort(m_entries.begin(), m_entries.end(), isEarlier);
    return std::exchange(m_entries, {});
}

std::string formatTimestampedAuditLine(const audit_entry& entry)
{
    return formatUtcTime(entry.wallTimeMs) + ' ' + entry.instance + ' ' + formatAuditLine(entry);
}

} // namespace fuchsiagauge
