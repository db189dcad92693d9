#include "policy/quota_share.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fuchsiagauge {
namespace {

    constexpr double msPerSecond = 1000;
    constexpr double demandUnit = 100;
    constexpr milliseconds demandMemory { 1500 };
    /// With fewer requests per second, a granted share mostly ends unused and its tokens are lost.
    constexpr double leastShareDemand = 6;
    /// A borrower keeps its grant down to this demand, so that it doesn't change with each request.
    constexpr double leastKeptDemand = 3;
    /// What a node keeps for bursts, in roots of its demand. The rest of its share serves the bursts of all
    /// nodes.
    constexpr double keptHeadroom = 0.5;
    constexpr double leastUsefulTokens = 2;
    constexpr double leastDemand = 0.1;
    constexpr milliseconds never { 1e9 };

    double toFraction(std::uint32_t share) { return static_cast<double>(share) / wholeShare; }

    /// Arrivals of a Poisson process exceed their mean by more than twice its root rarely.
    double addHeadroom(double perSecond, double roots) { return perSecond + roots * std::sqrt(perSecond); }

} // namespace

double quota_share::bucket::getCapacity() const { return toFraction(share) * limit.burst; }

void quota_share::setLimits(milliseconds now, const std::vector<organisation>& limits)
{
    auto previous = std::exchange(m_buckets, {});
    for (const auto& limit : limits) {
        const auto known = std::find_if(previous.begin(), previous.end(),
            [&](const bucket& before) { return before.limit.name == limit.name; });
        bucket added;
        if (known != previous.end()) {
            settle(now, *known);
            added = std::move(*known);
        } else {
            added.settledAt = now;
            added.demandAt = now;
        }
        added.limit = limit;
        added.limit.burst = std::max(1.0, limit.burst);
        settle(now, added);
        added.tokens = std::min(added.tokens, added.getCapacity());
        m_buckets.push_back(std::move(added));
    }
}

void quota_share::setOwnShare(milliseconds now, std::uint32_t share)
{
    if (share == m_ownShare)
        return;
    for (auto& owner : m_buckets)
        settle(now, owner);
    m_ownShare = share;
    for (auto& owner : m_buckets)
        settle(now, owner);
}

void quota_share::discardTokens(milliseconds now)
{
    for (auto& owner : m_buckets) {
        settle(now, owner);
        owner.tokens = std::min(owner.tokens, 0.0);
        owner.returned = 0;
    }
}

/// @return the node's own share without what it has lent.
std::uint32_t quota_share::getKept(milliseconds now, const bucket& owner) const
{
    if (!owner.hasLeases)
        return m_ownShare;
    return m_ownShare - std::min(m_ownShare, owner.lent.getAmount(now));
}

std::uint32_t quota_share::getShare(milliseconds now, const bucket& owner) const
{
    return getKept(now, owner) + (owner.grantedUntil > now ? owner.granted : 0);
}

/// Adds the tokens that have accrued since the last call. A share that has changed in between counts by the
/// smaller amount.
void quota_share::settle(milliseconds now, bucket& owner)
{
    const auto share = getShare(now, owner);
    const double elapsedS = std::max(0.0, (now - owner.settledAt).getCount()) / msPerSecond;
    owner.tokens += toFraction(std::min(share, owner.share)) * owner.limit.ratePerSecond * elapsedS;
    owner.share = share;
    owner.settledAt = std::max(owner.settledAt, now);
    owner.tokens = std::min(owner.tokens, owner.getCapacity());
}

void quota_share::countDemand(milliseconds now, std::size_t organisation)
{
    auto& owner = m_buckets.at(organisation);
    owner.demand = getDemand(now, owner) + msPerSecond / demandMemory.getCount();
    owner.demandAt = now;
}

double quota_share::getDemand(milliseconds now, const bucket& owner)
{
    return owner.demand * std::exp(-std::max(0.0, (now - owner.demandAt) / demandMemory));
}

bool quota_share::tryTake(milliseconds now, std::size_t organisation)
{
    auto& owner = m_buckets.at(organisation);
    settle(now, owner);
    if (owner.tokens < 1)
        return false;
    owner.tokens -= 1;
    return true;
}

void quota_share::giveBack(milliseconds now, std::size_t organisation)
{
    auto& owner = m_buckets.at(organisation);
    settle(now, owner);
    owner.tokens += 1;
    const double excess = std::max(0.0, owner.tokens - owner.getCapacity());
    owner.tokens -= excess;
    owner.returned = std::min(owner.limit.burst, owner.returned + excess);
}

milliseconds quota_share::getWait(milliseconds now, std::size_t organisation, std::size_t ahead)
{
    auto& owner = m_buckets.at(organisation);
    settle(now, owner);
    const double missing = static_cast<double>(ahead) + 1 - owner.tokens;
    if (missing <= 0)
        return {};
    if (owner.getCapacity() < 1)
        return never;
    return milliseconds(missing / (toFraction(owner.share) * owner.limit.ratePerSecond) * msPerSecond);
}

/// @return the part of the own share that the node's requests need.
std::uint32_t quota_share::getNeededShare(milliseconds now, const bucket& owner) const
{
    const double demand = getDemand(now, owner);
    if (demand < leastDemand || toFraction(m_ownShare) * owner.limit.burst < leastUsefulTokens)
        return 0;
    const double needed = std::max(
        addHeadroom(demand, keptHeadroom) / owner.limit.ratePerSecond, leastUsefulTokens / owner.limit.burst);
    return std::min(m_ownShare, static_cast<std::uint32_t>(std::min(1.0, needed) * wholeShare));
}

/// @return the requests per second that the own share doesn't admit.
double quota_share::getUnmetDemand(milliseconds now, const bucket& owner) const
{
    const double demand = getDemand(now, owner);
    if (demand < (owner.grantedUntil > now && owner.granted > 0 ? leastKeptDemand : leastShareDemand))
        return 0;
    const auto kept = getNeededShare(now, owner);
    if (kept > 0 && kept < m_ownShare)
        return 0;
    return std::max(0.0, addHeadroom(demand, 1) - toFraction(kept) * owner.limit.ratePerSecond);
}

bool quota_share::needsMore(milliseconds now, std::size_t organisation)
{
    return getUnmetDemand(now, m_buckets.at(organisation)) > 0;
}

quota_need quota_share::report(milliseconds now, std::size_t organisation, std::uint64_t number,
    bool isRegular, const milliseconds* lendUntil)
{
    auto& owner = m_buckets.at(organisation);
    settle(now, owner);
    quota_need need;
    need.organisation = static_cast<std::uint32_t>(organisation);
    need.demand = static_cast<std::uint32_t>(getUnmetDemand(now, owner) * demandUnit);
    double credit = std::floor(owner.returned * creditUnit);
    owner.returned -= credit / creditUnit;
    const double before = owner.tokens;
    if (isRegular && need.demand == 0) {
        owner.granted = 0;
        owner.grantsFrom = number;
    }
    if (lendUntil) {
        need.loan = m_ownShare - getNeededShare(now, owner);
        if (need.loan > 0) {
            owner.lent.add(need.loan, *lendUntil);
            owner.hasLeases = true;
        }
    }
    settle(now, owner);
    credit += std::floor(std::max(0.0, before - std::max(0.0, owner.tokens)) * creditUnit);
    need.credit = static_cast<std::uint32_t>(credit);
    return need;
}

void quota_share::applyGrant(
    milliseconds now, const quota_grant& grant, std::uint64_t number, milliseconds until)
{
    auto& owner = m_buckets.at(grant.organisation);
    if (number < owner.grantsFrom)
        return;
    settle(now, owner);
    owner.granted = grant.share;
    owner.grantedUntil = until;
    owner.hasLeases = true;
    settle(now, owner);
    owner.tokens = std::min(owner.getCapacity(), owner.tokens + grant.credit / creditUnit);
}

void quota_share::tick(milliseconds now)
{
    for (auto& owner : m_buckets) {
        if (!owner.hasLeases)
            continue;
        settle(now, owner);
        const bool hasLent = !owner.lent.prune(now);
        owner.hasLeases = hasLent || owner.grantedUntil > now;
    }
}

double quota_share::getUsableShare(milliseconds now, std::size_t organisation) const
{
    return toFraction(getShare(now, m_buckets.at(organisation)));
}

double quota_share::getLentShare(milliseconds now) const
{
    double sum = 0;
    for (const auto& owner : m_buckets)
        sum += toFraction(std::min(m_ownShare, owner.lent.getAmount(now)));
    return sum;
}

double quota_share::getBorrowedShare(milliseconds now) const
{
    double sum = 0;
    for (const auto& owner : m_buckets)
        sum += owner.grantedUntil > now ? toFraction(owner.granted) : 0;
    return sum;
}

} // namespace fuchsiagauge
