#include "policy/fair_share.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace fuchsiagauge {
namespace {

    constexpr milliseconds decayTime { 5000 }; ///< Work counts by 1/e after this time.
    constexpr milliseconds decayInterval { 50 }; ///< Amounts are not decayed more often, to save time.
    constexpr double negligibleMs = 0.1; ///< Organisations that received less are forgotten.

} // namespace

void fair_share::start(milliseconds now, const std::string& organisation, milliseconds work)
{
    decay(now);
    m_turnMs = std::max(m_turnMs, getReceived(organisation).getCount());
    add(organisation, work.getCount());
}

void fair_share::correct(milliseconds now, const std::string& organisation, milliseconds work)
{
    decay(now);
    add(organisation, work.getCount());
}

void fair_share::join(milliseconds now, const std::string& organisation, milliseconds maxLead)
{
    decay(now);
    const double missingMs = m_turnMs - maxLead.getCount() - getReceived(organisation).getCount();
    if (missingMs > 0)
        add(organisation, missingMs);
}

void fair_share::add(const std::string& organisation, double workMs)
{
    auto& receivedMs = m_received[organisation];
    receivedMs = std::max(0.0, receivedMs + workMs);
    limitSize(organisation);
}

milliseconds fair_share::getReceived(const std::string& organisation) const
{
    const auto found = m_received.find(organisation);
    return found == m_received.end() ? milliseconds() : milliseconds(found->second);
}

void fair_share::decay(milliseconds now)
{
    const auto elapsed = now - m_decayedAt;
    if (elapsed < decayInterval)
        return;
    m_decayedAt = now;
    const double factor = std::exp(-elapsed.getCount() / decayTime.getCount());
    m_turnMs *= factor;
    for (auto item = m_received.begin(); item != m_received.end();) {
        item->second *= factor;
        item = item->second < negligibleMs ? m_received.erase(item) : std::next(item);
    }
}

/// Forgets the organisation that received least if there are too many, but not the one named.
void fair_share::limitSize(const std::string& kept)
{
    if (m_received.size() <= maxOrganisations)
        return;
    auto least = m_received.end();
    for (auto item = m_received.begin(); item != m_received.end(); ++item) {
        if (item->first != kept && (least == m_received.end() || item->second < least->second))
            least = item;
    }
    m_received.erase(least);
}

} // namespace fuchsiagauge
