#include "policy/reader_election.h"

#include "core/digest.h"

#include <algorithm>
#include <utility>

namespace fuchsiagauge {
namespace {

    constexpr std::size_t maxKnownReaders = 4;

} // namespace

reader_election::reader_election(
    const options& config, std::string self, random_hook random, milliseconds now)
    : m_options(config)
    , m_self(std::move(self))
    , m_random(std::move(random))
    , m_noReaderSince(now)
    , m_firstCallAt(now + config.firstCallJitter * m_random())
    , m_callBudget(config.fleetCallsPerSecond / config.expectedNodes, 1, 1)
{
}

void reader_election::update(const std::vector<std::string>& zoneInstances, std::size_t recentlySeenInZone,
    std::size_t knownNodes, milliseconds now)
{
    removeStaleReaders(now);
    const auto nodes = std::max(m_options.expectedNodes, static_cast<double>(knownNodes));
    const auto rank = getRank(zoneInstances);
    const bool isElected = rank < m_options.readersPerZone;
    const double share = m_options.fleetCallsPerSecond / nodes;
    if (isElected)
        m_callBudget.configure(share * getShareCount(recentlySeenInZone), m_options.burstCalls, now);
    else
        m_callBudget.configure(share, 1, now);
    if (isElected) {
        if (m_role == reader_role::None && m_firstCallAt < now)
            m_firstCallAt = now + m_options.firstCallJitter * m_random();
        m_role = reader_role::Elected;
        m_promoteAt.reset();
        return;
    }
    if (m_role == reader_role::Elected)
        m_role = reader_role::None;
    updatePromotion(rank, now);
}

void reader_election::recordContact(milliseconds now)
{
    if (m_role == reader_role::None)
        return;
    m_knownReaders[m_self] = { m_role == reader_role::Elected, now };
    removeStaleReaders(now);
}

void reader_election::mergeReaderStatus(const reader_status& status, milliseconds now)
{
    if (status.instance.empty() || status.instance == m_self || status.age > m_options.readerTimeout)
        return;
    const auto contactAt = now - status.age;
    auto& reader = m_knownReaders[status.instance];
    reader.isElected = status.isElected;
    reader.contactAt = std::max(reader.contactAt, contactAt);
    removeStaleReaders(now);
}

reader_status reader_election::getReaderStatus(milliseconds now) const
{
    const auto* preferred = findPreferredReader(now, true);
    if (!preferred)
        return {};
    const auto& reader = m_knownReaders.at(*preferred);
    return { *preferred, reader.isElected, now - reader.contactAt };
}

bool reader_election::hasReader(milliseconds now) const { return findPreferredReader(now, true) != nullptr; }

std::vector<std::string> reader_election::getReaders(milliseconds now) const
{
    std::vector<std::string> readers;
    for (const auto& [instance, reader] : m_knownReaders) {
        if (now - reader.contactAt <= m_options.readerTimeout)
            readers.push_back(instance);
    }
    return readers;
}

std::optional<milliseconds> reader_election::getTimeSinceContact(milliseconds now) const
{
    std::optional<milliseconds> elapsed;
    for (const auto& [instance, reader] : m_knownReaders) {
        const auto age = now - reader.contactAt;
        if (!elapsed || age < *elapsed)
            elapsed = age;
    }
    return elapsed;
}

bool reader_election::tryTakeCallPermit(milliseconds now)
{
    if (m_role == reader_role::None || now < m_firstCallAt || !m_callBudget.tryTake(1, now))
        return false;
    m_callBudget.charge(m_random() - 0.5, now);
    ++m_callCount;
    return true;
}

std::uint64_t reader_election::getScore(const std::string& instance) const
{
    return computeHash("platform reader " + instance);
}

std::size_t reader_election::getRank(const std::vector<std::string>& zoneInstances) const
{
    return static_cast<std::size_t>(std::count_if(zoneInstances.begin(), zoneInstances.end(),
        [this](const std::string& other) { return other != m_self && isPreferred(other, m_self); }));
}

bool reader_election::isPreferred(const std::string& a, const std::string& b) const
{
    return std::make_pair(getScore(a), a) > std::make_pair(getScore(b), b);
}

const std::string* reader_election::findPreferredReader(milliseconds now, bool includeSelf) const
{
    const std::string* preferred = nullptr;
    bool isPreferredElected = false;
    for (const auto& [instance, reader] : m_knownReaders) {
        const bool isFresh = now - reader.contactAt <= m_options.readerTimeout;
        if (!isFresh || (!includeSelf && instance == m_self))
            continue;
        const bool isBetter = !preferred
            || std::make_pair(reader.isElected, isPreferred(instance, *preferred))
                > std::make_pair(isPreferredElected, false);
        if (!isBetter)
            continue;
        preferred = &instance;
        isPreferredElected = reader.isElected;
    }
    return preferred;
}

double reader_election::getShareCount(std::size_t recentlySeenInZone) const
{
    const double shares
        = static_cast<double>(recentlySeenInZone) / static_cast<double>(m_options.readersPerZone);
    return std::clamp(shares, 1.0, m_options.maxSharesPerReader);
}

void reader_election::removeStaleReaders(milliseconds now)
{
    for (auto item = m_knownReaders.begin(); item != m_knownReaders.end();) {
        if (now - item->second.contactAt > m_options.readerTimeout)
            item = m_knownReaders.erase(item);
        else
            ++item;
    }
    while (m_knownReaders.size() > maxKnownReaders) {
        const auto last = std::min_element(
            m_knownReaders.begin(), m_knownReaders.end(), [this](const auto& a, const auto& b) {
                return std::make_pair(a.second.isElected, getScore(a.first))
                    < std::make_pair(b.second.isElected, getScore(b.first));
            });
        m_knownReaders.erase(last);
    }
}

void reader_election::updatePromotion(std::size_t rank, milliseconds now)
{
    const auto* other = findPreferredReader(now, false);
    if (m_role == reader_role::Promoted) {
        const bool hasBetterReader
            = other && (m_knownReaders.at(*other).isElected || isPreferred(*other, m_self));
        if (hasBetterReader)
            m_role = reader_role::None;
        m_noReaderSince = now;
        return;
    }
    if (other) {
        m_noReaderSince = std::max(m_noReaderSince, m_knownReaders.at(*other).contactAt);
        m_promoteAt.reset();
        return;
    }
    if (!m_promoteAt)
        m_promoteAt = std::max(now, m_noReaderSince + m_options.readerTimeout)
            + m_options.promotionDelayPerRank * static_cast<double>(rank - m_options.readersPerZone)
            + m_options.promotionJitter * m_random();
    if (now < *m_promoteAt)
        return;
    m_promoteAt.reset();
    m_role = reader_role::Promoted;
    m_callBudget.configure(m_callBudget.getPerSecond(), 1, now);
}

} // namespace fuchsiagauge
