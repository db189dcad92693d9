#include "policy/reader_selector.h"

#include "core/digest.h"

#include <algorithm>
#include <utility>

namespace fuchsiagauge {

reader_selector::reader_selector(const options& config, std::string self)
    : m_options(config)
    , m_self(std::move(self))
{
}

void reader_selector::setNodes(const std::vector<std::string>& hosts)
{
    m_nodes = hosts;
    std::sort(m_nodes.begin(), m_nodes.end());
    m_nodes.erase(std::unique(m_nodes.begin(), m_nodes.end()), m_nodes.end());
    std::stable_sort(m_nodes.begin(), m_nodes.end(),
        [](const std::string& a, const std::string& b) { return computeHash(a) < computeHash(b); });
    for (auto item = m_unusable.begin(); item != m_unusable.end();) {
        const bool isListed = std::find(m_nodes.begin(), m_nodes.end(), item->first) != m_nodes.end();
        item = isListed ? std::next(item) : m_unusable.erase(item);
    }
}

void reader_selector::recordUsable(const std::string& host, bool isUsable, milliseconds now)
{
    if (isUsable)
        m_unusable.erase(host);
    else
        m_unusable[host] = { now };
}

bool reader_selector::isReader() const
{
    const auto peers = getUsablePeers();
    if (peers.empty() || m_nodes.size() < m_options.minZoneSize)
        return true;
    if (!isListed())
        return false;
    const auto rank = getRank();
    const auto usableBefore = std::count_if(m_nodes.begin(), m_nodes.begin() + static_cast<long>(rank),
        [this](const std::string& host) { return isUsable(host); });
    return static_cast<std::size_t>(usableBefore) < m_options.readersPerZone;
}

std::optional<std::string> reader_selector::getSource() const
{
    const auto peers = getUsablePeers();
    if (peers.empty())
        return std::nullopt;
    // The nodes spread over the readers by their own hash.
    const auto readers = std::min(peers.size(), m_options.readersPerZone);
    return peers[computeHash(m_self) % readers];
}

std::optional<std::string> reader_selector::takeRecheck(milliseconds now)
{
    if (m_unusable.empty() || now - m_lastRecheckAt < m_options.recheckSpacing)
        return std::nullopt;
    std::size_t usableBefore = 0;
    for (const auto& host : m_nodes) {
        if (host == m_self)
            continue;
        const auto found = m_unusable.find(host);
        if (found == m_unusable.end()) {
            ++usableBefore;
            continue;
        }
        if (usableBefore >= m_options.readersPerZone)
            break;
        if (now - found->second.checkedAt < m_options.recheckInterval)
            continue;
        found->second.checkedAt = now;
        m_lastRecheckAt = now;
        return host;
    }
    return std::nullopt;
}

bool reader_selector::isListed() const
{
    return std::find(m_nodes.begin(), m_nodes.end(), m_self) != m_nodes.end();
}

std::size_t reader_selector::getRank() const
{
    const auto ownHash = computeHash(m_self);
    return static_cast<std::size_t>(std::count_if(m_nodes.begin(), m_nodes.end(), [&](const auto& host) {
        return host != m_self && std::make_pair(computeHash(host), host) < std::make_pair(ownHash, m_self);
    }));
}

std::vector<std::string> reader_selector::getUsablePeers() const
{
    std::vector<std::string> peers;
    for (const auto& host : m_nodes) {
        if (host != m_self && isUsable(host))
            peers.push_back(host);
    }
    return peers;
}

} // namespace fuchsiagauge
