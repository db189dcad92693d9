#include "policy/quota_coordinator.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace fuchsiagauge {
namespace {

    constexpr double msPerSecond = 1000;
    constexpr double demandUnit = 100;
    constexpr milliseconds tickInterval { 100 };
    /// A credit answers a request that waits for at most 50 ms.
    constexpr milliseconds creditTime { 60 };
    constexpr milliseconds activeMemory { 60000 };
    constexpr milliseconds nodeMemory { 60000 };
    constexpr milliseconds maxLoanTime { 60000 };
    constexpr double leastUsefulTokens = 2;
    /// The rest of the free share accrues tokens for waiting requests.
    constexpr double headroomShare = 0.7;
    /// Largest headroom in multiples of the demand, so that a few nodes don't get all that is free.
    constexpr double mostHeadroom = 2;
    constexpr milliseconds askedMemory { 2000 };
    /// When the others have lent their shares after a call, over two regions.
    constexpr double activationMs = 50;
    constexpr double reportsMissed = 2.5;
    constexpr double mostRequests = 64;

    double toFraction(std::uint64_t share) { return static_cast<double>(share) / wholeShare; }

} // namespace

double quota_coordinator::pool::getCapacity() const { return toFraction(getFree()) * limit.burst; }

double quota_coordinator::pool::getAsked(milliseconds now) const
{
    return asked * std::exp(-std::max(0.0, (now - askedAt) / askedMemory));
}

quota_coordinator::quota_coordinator(std::uint32_t process)
    : m_process(process)
{
}

void quota_coordinator::setLimits(
    milliseconds now, const std::vector<organisation>& limits, std::uint32_t table)
{
    tick(now);
    auto previous = std::exchange(m_pools, {});
    constexpr std::size_t none = SIZE_MAX;
    std::vector<std::size_t> sources;
    for (const auto& limit : limits) {
        const auto known = std::find_if(previous.begin(), previous.end(),
            [&](const pool& before) { return before.limit.name == limit.name; });
        sources.push_back(known == previous.end() ? none : std::distance(previous.begin(), known));
        pool added;
        added.settledAt = now;
        if (known != previous.end()) {
            settle(now, *known);
            added = *known;
        }
        added.limit = limit;
        added.limit.burst = std::max(1.0, limit.burst);
        settle(now, added);
        m_pools.push_back(std::move(added));
    }
    for (auto& [name, state] : m_nodes) {
        const auto rows = std::exchange(state.rows, {});
        for (const auto source : sources)
            state.rows.push_back(source == none ? row() : rows.at(source));
    }
    m_table = table;
}

quota_answer quota_coordinator::handleReport(
    milliseconds now, const std::string& node, const quota_report& report)
{
    if (now - m_tickedAt >= tickInterval)
        tick(now);
    quota_answer answer;
    answer.table = m_table;
    answer.stamp = makeStamp(now);
    if (report.table != m_table)
        return answer;
    answer.grantMs = static_cast<std::uint32_t>(m_timing.grant.getCount());
    auto& sender = m_nodes[node];
    sender.rows.resize(m_pools.size());
    sender.heardAt = now;
    if (accept(now, sender, report)) {
        if (!report.isUrgent)
            applyLoans(now, sender, report);
        for (const auto& need : report.needs) {
            if (need.organisation >= m_pools.size())
                continue;
            auto& owner = m_pools[need.organisation];
            settle(now, owner);
            // Requests that were given back have not run, so their credits can't run either.
            if (report.isUrgent)
                releaseCredits(owner, need.credit / creditUnit);
            owner.tokens = std::min(owner.tokens + need.credit / creditUnit,
                std::max(owner.tokens, owner.getCapacity() - owner.creditSum));
            if (need.demand == 0 && need.waiting == 0)
                continue;
            const bool isActivation = !isActive(now, owner);
            m_hasActivation |= isActivation;
            owner.neededAt = now;
            auto& entry = sender.rows[need.organisation];
            setDemand(owner, entry, need.demand);
            owner.asked = owner.getAsked(now);
            owner.askedAt = now;
            if (need.demand == 0)
                owner.asked += need.waiting * msPerSecond / askedMemory.getCount();
            answer.grants.push_back(grant(now, need, entry));
            if (isActivation)
                answer.grants.back().waitMs = activationMs;
        }
    }
    answer.active = findActive(now);
    return answer;
}

/// @return whether a report is new, neither repeated nor of a process that has ended.
bool quota_coordinator::accept(milliseconds now, node_state& sender, const quota_report& report) const
{
    (void)now;
    if (report.process != sender.process) {
        if (report.process == sender.previousProcess && report.process != 0)
            return false;
        sender.previousProcess = std::exchange(sender.process, report.process);
        sender.number = 0;
    }
    if (report.number <= sender.number)
        return false;
    sender.number = report.number;
    return true;
}

void quota_coordinator::applyLoans(milliseconds now, node_state& sender, const quota_report& report)
{
    const milliseconds stampedAt(static_cast<double>(report.stamp.sentAtMs));
    const bool isValid = report.stamp.process == m_process && stampedAt <= now;
    const auto loanTime = std::min(maxLoanTime, milliseconds(report.loanMs));
    const auto until = isValid ? stampedAt + loanTime - m_timing.grant : milliseconds();
    std::vector<std::uint32_t> loans(m_pools.size(), 0);
    std::vector<bool> hasDemand(m_pools.size(), false);
    for (const auto& need : report.needs) {
        if (need.organisation >= m_pools.size())
            continue;
        loans[need.organisation] = until > now ? std::min(need.loan, wholeShare) : 0;
        hasDemand[need.organisation] = need.demand > 0;
    }
    for (std::size_t index = 0; index < m_pools.size(); ++index) {
        auto& entry = sender.rows[index];
        setLoan(now, m_pools[index], entry, loans[index]);
        if (!hasDemand[index]) {
            setDemand(m_pools[index], entry, 0);
            entry.granted.clear();
            entry.latestGrant = 0;
        }
        updateGranted(now, m_pools[index], entry);
    }
    sender.loansUntil = until;
    sender.demandAt = now;
}

void quota_coordinator::setLoan(milliseconds now, pool& owner, row& entry, std::uint32_t loan)
{
    if (loan == entry.loan)
        return;
    settle(now, owner);
    owner.lent += loan;
    owner.lent -= entry.loan;
    entry.loan = loan;
    settle(now, owner);
}

void quota_coordinator::setDemand(pool& owner, row& entry, std::uint32_t demand)
{
    const double before = entry.demand / demandUnit;
    const double after = demand / demandUnit;
    owner.demand = std::max(0.0, owner.demand - before + after);
    owner.demandRoots = std::max(0.0, owner.demandRoots - std::sqrt(before) + std::sqrt(after));
    entry.demand = demand;
}

/// Accounts for grants that have ended or were added.
void quota_coordinator::updateGranted(milliseconds now, pool& owner, row& entry)
{
    const auto amount = entry.granted.getAmount(now);
    if (amount == entry.counted)
        return;
    settle(now, owner);
    owner.granted += amount;
    owner.granted -= entry.counted;
    entry.counted = amount;
    settle(now, owner);
}

/// Grants a share by demand, and single requests to those that wait in addition.
quota_grant quota_coordinator::grant(milliseconds now, const quota_need& need, row& entry)
{
    auto& owner = m_pools[need.organisation];
    entry.granted.prune(now);
    updateGranted(now, owner, entry);
    quota_grant result;
    result.organisation = need.organisation;
    result.share = findTarget(now, owner, entry);
    const auto before = entry.latestGrantUntil > now ? entry.latestGrant : 0;
    if (result.share > before && owner.getFree() > 0 && owner.tokens > 0) {
        const double part = std::min(
            1.0, static_cast<double>(result.share - before) / static_cast<double>(owner.getFree()));
        result.credit = static_cast<std::uint32_t>(owner.tokens * part * creditUnit);
        owner.tokens -= result.credit / creditUnit;
    }
    entry.latestGrant = result.share;
    entry.latestGrantUntil = now + m_timing.grant;
    entry.granted.add(result.share, entry.latestGrantUntil);
    updateGranted(now, owner, entry);
    const double unserved = need.waiting - std::floor(result.credit / creditUnit);
    if (unserved > 0) {
        result.requests = static_cast<std::uint32_t>(grantRequests(now, owner, unserved));
        if (result.requests == 0) {
            const double free = toFraction(owner.getFree());
            const double missing = std::min(1.0, owner.getCapacity()) - owner.tokens;
            const double waitMs = free > 0 ? missing / (free * owner.limit.ratePerSecond) * msPerSecond
                    + (owner.creditSum > 0 ? creditTime.getCount() : 0)
                                           : m_timing.loan.getCount();
            result.waitMs = static_cast<std::uint32_t>(std::clamp(waitMs, 1.0, maxLoanTime.getCount()));
        }
    }
    return result;
}

/// @return the share that a node is to have: what its demand takes and a part of what is left for bursts, or
/// in proportion to its demand if there is too little.
std::uint32_t quota_coordinator::findTarget(milliseconds now, const pool& owner, const row& entry) const
{
    if (entry.demand == 0)
        return 0;
    const double rate = owner.limit.ratePerSecond;
    const double own = entry.demand / demandUnit;
    const double demand = owner.demand + owner.getAsked(now);
    const double available = toFraction(owner.lent);
    double target = available * own / demand;
    if (demand / rate < available) {
        const double spare = (available - demand / rate) * headroomShare;
        const double part = std::sqrt(own) / std::max(owner.demandRoots, 1e-9);
        target = own / rate + std::min(spare * part, mostHeadroom * own / rate);
    }
    const auto others = owner.granted - entry.counted;
    const double left = toFraction(owner.lent > others ? owner.lent - others : 0);
    target = std::min(target, left);
    if (target * owner.limit.burst < leastUsefulTokens)
        return 0;
    return static_cast<std::uint32_t>(target * wholeShare);
}

/// Takes tokens for requests that are admitted at once. The pool holds as many fewer tokens while they may
/// still run.
double quota_coordinator::grantRequests(milliseconds now, pool& owner, double wanted)
{
    settle(now, owner);
    double count = std::min({ std::floor(owner.tokens + 1e-9), wanted, mostRequests });
    // Less than a whole limit is in the pool, so a burst of 1 would never fit.
    const double capacity = owner.getCapacity();
    const bool isFullButSmall = capacity < 1 && owner.getFree() >= wholeShare / 2 && owner.creditSum == 0
        && owner.tokens >= capacity * 0.999;
    if (isFullButSmall)
        count = 1;
    if (count < 1)
        return 0;
    owner.tokens -= count;
    owner.credits.emplace_back(count, now + creditTime);
    owner.creditSum += count;
    return count;
}

void quota_coordinator::releaseCredits(pool& owner, double count)
{
    for (auto& [amount, until] : owner.credits) {
        const double released = std::min(amount, count);
        amount -= released;
        count -= released;
        owner.creditSum -= released;
    }
}

/// Adds the tokens that have accrued since the last call, as in quota_share.
void quota_coordinator::settle(milliseconds now, pool& owner) const
{
    while (!owner.credits.empty() && owner.credits.front().second <= now) {
        owner.creditSum -= owner.credits.front().first;
        owner.credits.pop_front();
    }
    if (owner.credits.empty())
        owner.creditSum = 0;
    const auto free = owner.getFree();
    const double elapsedS = std::max(0.0, (now - owner.settledAt).getCount()) / msPerSecond;
    owner.tokens += toFraction(std::min(free, owner.freeShare)) * owner.limit.ratePerSecond * elapsedS;
    owner.freeShare = free;
    owner.settledAt = std::max(owner.settledAt, now);
    owner.tokens = std::min(owner.tokens, owner.getCapacity() - owner.creditSum);
}

bool quota_coordinator::isActive(milliseconds now, const pool& owner) const
{
    return owner.neededAt && now - *owner.neededAt < activeMemory;
}

std::vector<std::uint32_t> quota_coordinator::findActive(milliseconds now) const
{
    std::vector<std::uint32_t> active;
    for (std::size_t index = 0; index < m_pools.size(); ++index) {
        if (isActive(now, m_pools[index]))
            active.push_back(static_cast<std::uint32_t>(index));
    }
    return active;
}

quota_stamp quota_coordinator::makeStamp(milliseconds now) const
{
    return { m_process, static_cast<std::uint64_t>(std::max(0.0, now.getCount())) };
}

std::optional<quota_answer> quota_coordinator::makeCall(milliseconds now)
{
    quota_answer call;
    call.table = m_table;
    call.stamp = makeStamp(now);
    call.active = findActive(now);
    if (call.active.empty())
        return std::nullopt;
    return call;
}

bool quota_coordinator::hasHeardOf(milliseconds now, const std::string& node) const
{
    const auto found = m_nodes.find(node);
    return found != m_nodes.end() && now - found->second.demandAt <= m_timing.renewal * 2
        && found->second.number > 0;
}

void quota_coordinator::tick(milliseconds now)
{
    if (now - m_tickedAt < tickInterval)
        return;
    m_tickedAt = now;
    for (auto item = m_nodes.begin(); item != m_nodes.end();) {
        auto& state = item->second;
        const bool hasLapsed = state.loansUntil <= now;
        const bool isSilent = now - state.demandAt > m_timing.renewal * reportsMissed;
        bool isIdle = true;
        for (std::size_t index = 0; index < state.rows.size(); ++index) {
            auto& entry = state.rows[index];
            if (hasLapsed)
                setLoan(now, m_pools[index], entry, 0);
            if (isSilent)
                setDemand(m_pools[index], entry, 0);
            isIdle = entry.granted.prune(now) && isIdle;
            updateGranted(now, m_pools[index], entry);
        }
        item
            = isIdle && hasLapsed && now - state.heardAt > nodeMemory ? m_nodes.erase(item) : std::next(item);
    }
}

double quota_coordinator::getGrantedShare() const
{
    double sum = 0;
    for (const auto& owner : m_pools)
        sum += toFraction(owner.granted);
    return sum;
}

} // namespace fuchsiagauge
