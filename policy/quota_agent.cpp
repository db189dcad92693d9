#include "policy/quota_agent.h"

#include "core/digest.h"

#include <algorithm>
#include <utility>

namespace fuchsiagauge {
namespace {

    constexpr milliseconds holdTime { 50 };
    constexpr milliseconds urgentInterval { 50 }; ///< For one organisation.
    constexpr milliseconds urgentIntervalIfGranted { 20 }; ///< A second request must not wait in vain.
    constexpr milliseconds urgentBundling { 10 }; ///< For all organisations of a node.
    constexpr milliseconds creditTime { 60 }; ///< As the coordinator counts it.
    constexpr milliseconds leastBlock { 50 };
    constexpr milliseconds largestBlock { 500 };
    constexpr milliseconds exchangeTimeout { 250 };
    constexpr int maxFailures = 2;
    constexpr milliseconds avoidTime { 30000 };
    constexpr milliseconds lendMargin {
        5
    }; ///< Clocks of different machines run at slightly different speeds.
    constexpr milliseconds maxGap { 3000 }; ///< After a longer one the process counts as restarted.
    constexpr milliseconds startPeriod { 10000 };
    constexpr double startGrowth = 1.1;
    constexpr milliseconds tickInterval { 100 };
    constexpr milliseconds callInterval { 200 };
    constexpr milliseconds callRepetition { 2000 };
    constexpr std::size_t maxWaiting = 64;
    constexpr milliseconds never { 1e8 };
    constexpr milliseconds longAgo { -1e6 };

    std::uint32_t hashTable(const std::vector<organisation>& limits)
    {
        std::string names;
        for (const auto& limit : limits)
            names += limit.name + '\n';
        return static_cast<std::uint32_t>(computeHash(names));
    }

} // namespace

quota_agent::quota_agent(milliseconds now, std::string self, std::uint32_t process, hooks agentHooks)
    : m_self(std::move(self))
    , m_process(std::max(1U, process))
    , m_hooks(std::move(agentHooks))
    , m_coordinator(m_process)
    , m_startedAt(now)
    , m_ownUsableAt(now + m_timing.loan)
    , m_observedAt(now)
{
}

void quota_agent::setTolerance(const quota_tolerance& tolerance)
{
    m_tolerance = tolerance;
    // What the process before may have lent ends within one lease. The unused half of the tolerance covers
    // it, so that no requests are refused for that time.
    if (tolerance.overshoot > 0)
        m_ownUsableAt = m_startedAt;
}

void quota_agent::setRules(milliseconds now, const traffic_rules& rules)
{
    std::vector<organisation> limits;
    for (const auto& [name, owner] : rules.organisations) {
        if (owner.ratePerSecond > 0)
            limits.push_back(m_tolerance.apply(owner));
    }
    if (limits == m_limits)
        return;
    for (std::size_t index = 0; index < m_queues.size(); ++index)
        refuseWaiting(now, index);
    const auto table = hashTable(limits);
    if (table != m_table)
        m_active.clear();
    m_limits = std::move(limits);
    m_table = table;
    m_queues = std::vector<queue>(m_limits.size());
    m_share.setLimits(now, m_limits);
    m_coordinator.setLimits(now, m_limits, m_table);
    updateOwnShare(now);
}

double quota_agent::getUsableShare(milliseconds now, const std::string& organisation) const
{
    const auto found = std::find_if(
        m_limits.begin(), m_limits.end(), [&](const auto& limit) { return limit.name == organisation; });
    return found == m_limits.end()
        ? 0
        : m_share.getUsableShare(now, static_cast<std::size_t>(std::distance(m_limits.begin(), found)));
}

void quota_agent::setNodes(milliseconds now, std::vector<std::string> hosts, bool isRefreshed)
{
    observe(now);
    std::sort(hosts.begin(), hosts.end());
    hosts.erase(std::unique(hosts.begin(), hosts.end()), hosts.end());
    if (hosts.empty())
        return;
    const bool isListed = std::binary_search(hosts.begin(), hosts.end(), m_self);
    const double before = m_size.get();
    m_size.update(now, hosts.size() + (isListed ? 0 : 1), isRefreshed);
    m_timing = quota_timing::make(m_size.get());
    m_coordinator.setTiming(m_timing);
    // A fleet that starts is listed bit by bit, and no node sees the others at the same time.
    if (before > 0 && m_size.get() > before * startGrowth && now - m_startedAt < startPeriod)
        m_ownUsableAt = std::max(m_ownUsableAt, now + m_timing.loan);
    updateOwnShare(now);
    if (hosts == m_hosts)
        return;
    m_hosts = std::move(hosts);
    rankCandidates();
    chooseCoordinator(now, "listing");
}

/// Orders the listed nodes by a hash, so that all nodes choose the same coordinator.
void quota_agent::rankCandidates()
{
    std::map<std::string, candidate> known;
    for (auto& entry : m_candidates)
        known[entry.host] = entry;
    std::vector<std::pair<std::uint64_t, candidate>> ranked;
    for (const auto& host : m_hosts) {
        auto& entry = known[host];
        entry.host = host;
        ranked.emplace_back(computeHash("quota/" + host), entry);
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    m_candidates.clear();
    for (auto& [rank, entry] : ranked)
        m_candidates.push_back(std::move(entry));
}

void quota_agent::chooseCoordinator(milliseconds now, const char* reason)
{
    const auto found = std::find_if(m_candidates.begin(), m_candidates.end(),
        [&](const candidate& entry) { return entry.avoidedUntil <= now; });
    const auto host = found != m_candidates.end() ? found->host
        : m_candidates.empty()                    ? ""
                                                  : m_candidates[0].host;
    if (host == m_chosen)
        return;
    const auto before = std::exchange(m_chosen, host);
    m_failures = 0;
    if (isEnabled() && m_hooks.onCoordinatorChanged)
        m_hooks.onCoordinatorChanged(m_chosen, before, reason);
}

/// Treats a time in which the process did not run as a restart: the others may use its shares.
void quota_agent::observe(milliseconds now)
{
    if (now - m_observedAt > maxGap) {
        m_ownUsableAt = now + m_timing.loan;
        m_share.setOwnShare(now, 0);
        m_share.discardTokens(now);
    }
    m_observedAt = std::max(m_observedAt, now);
}

void quota_agent::updateOwnShare(milliseconds now)
{
    const bool isUsable = now >= m_ownUsableAt && m_size.get() >= 1;
    m_share.setOwnShare(now, isUsable ? static_cast<std::uint32_t>(wholeShare / m_size.get()) : 0);
}

std::optional<std::size_t> quota_agent::find(const std::string& organisation) const
{
    const auto found = std::lower_bound(m_limits.begin(), m_limits.end(), organisation,
        [](const fuchsiagauge::organisation& limit, const std::string& name) { return limit.name < name; });
    if (found == m_limits.end() || found->name != organisation)
        return std::nullopt;
    return static_cast<std::size_t>(found - m_limits.begin());
}

double quota_agent::getShare(milliseconds now, const std::string& organisation) const
{
    const auto found = find(organisation);
    return found ? m_share.getUsableShare(now, *found) : 0;
}

bool quota_agent::isAskDue(milliseconds now, const queue& line) const
{
    return !m_chosen.empty() && now >= line.blockedUntil && now - line.askedAt >= urgentInterval;
}

void quota_agent::admit(milliseconds now, const std::string& organisation, decision_hook onDecision)
{
    const auto found = find(organisation);
    if (!found) {
        onDecision({ true, {} });
        return;
    }
    observe(now);
    const auto index = *found;
    auto& line = m_queues[index];
    m_share.countDemand(now, index);
    if (line.waiters.empty() && m_share.tryTake(now, index)) {
        decide(onDecision, true, {});
        return;
    }
    const bool isNear = m_share.getWait(now, index, line.waiters.size()) <= holdTime;
    const bool mayAsk = !m_chosen.empty() && now >= line.blockedUntil;
    if (line.waiters.size() >= maxWaiting || (!isNear && !mayAsk)) {
        decide(onDecision, false, getRetryAfter(now, index));
        return;
    }
    line.waiters.push_back({ now + holdTime, std::move(onDecision) });
    ++m_waitingCount;
    if (!isNear && isAskDue(now, line) && now - m_urgentAt >= urgentBundling)
        sendUrgentReport(now);
}

void quota_agent::decide(const decision_hook& onDecision, bool isAdmitted, milliseconds retryAfter)
{
    ++(isAdmitted ? m_statistics.admitted : m_statistics.refused);
    onDecision({ isAdmitted, retryAfter });
}

milliseconds quota_agent::getRetryAfter(milliseconds now, std::size_t organisation)
{
    const auto& line = m_queues[organisation];
    const auto byShare = m_share.getWait(now, organisation, line.waiters.size());
    if (byShare < never)
        return byShare;
    const auto at = std::max(line.grantableAt, line.blockedUntil);
    return at > now ? at - now : m_timing.loan;
}

void quota_agent::giveBack(milliseconds now, const std::string& organisation)
{
    const auto found = find(organisation);
    if (!found)
        return;
    ++m_statistics.returned;
    m_share.giveBack(now, *found);
}

void quota_agent::serveWaiting(milliseconds now, std::size_t organisation, std::uint32_t credits)
{
    auto& line = m_queues[organisation];
    while (!line.waiters.empty()) {
        if (credits > 0)
            --credits;
        else if (!m_share.tryTake(now, organisation))
            return;
        const auto served = std::move(line.waiters.front().onDecision);
        line.waiters.pop_front();
        --m_waitingCount;
        decide(served, true, {});
    }
}

void quota_agent::refuseWaiting(milliseconds now, std::size_t organisation)
{
    auto waiters = std::exchange(m_queues[organisation].waiters, {});
    m_waitingCount -= waiters.size();
    for (const auto& waiting : waiters)
        decide(waiting.onDecision, false, getRetryAfter(now, organisation));
}

void quota_agent::block(milliseconds now, std::size_t organisation, milliseconds wait)
{
    auto& line = m_queues[organisation];
    line.grantableAt = now + wait;
    line.blockedUntil = now + std::clamp(wait, leastBlock, largestBlock);
}

quota_answer quota_agent::handleReport(
    milliseconds now, const std::string& sender, const quota_report& report)
{
    auto answer = m_coordinator.handleReport(now, sender, report);
    if (m_coordinator.takeActivation())
        callNodes(now);
    return answer;
}

void quota_agent::handleCall(milliseconds now, const std::string& sender, const quota_answer& call)
{
    observe(now);
    if (call.table != m_table || m_candidates.empty())
        return;
    const auto found = std::find_if(m_candidates.begin(), m_candidates.end(),
        [&](const candidate& entry) { return entry.host == sender; });
    if (found == m_candidates.end())
        return;
    if (found == m_candidates.begin()) {
        found->avoidedUntil = milliseconds(-1);
        chooseCoordinator(now, "called");
    }
    if (sender != m_chosen)
        return;
    adoptStamp(sender, call);
    if (now - m_reportedAt >= callInterval)
        sendRegularReport(now);
}

void quota_agent::adoptStamp(const std::string& host, const quota_answer& answer)
{
    const bool isOlder = host == m_stampHost && answer.stamp.process == m_stamp.process
        && answer.stamp.sentAtMs < m_stamp.sentAtMs;
    if (isOlder)
        return;
    m_stampHost = host;
    m_stamp = answer.stamp;
    m_active = answer.active;
    m_active.erase(std::remove_if(m_active.begin(), m_active.end(),
                       [this](std::uint32_t index) { return index >= m_limits.size(); }),
        m_active.end());
}

/// As the coordinator, calls the nodes that have not reported of late while shares are needed.
void quota_agent::callNodes(milliseconds now)
{
    if (m_chosen != m_self)
        return;
    const auto call = m_coordinator.makeCall(now);
    if (!call)
        return;
    m_calledAt = now;
    if (!m_coordinator.hasHeardOf(now, m_self) && now - m_reportedAt >= callInterval) {
        adoptStamp(m_self, *call);
        sendRegularReport(now);
    }
    for (auto& entry : m_candidates) {
        if (entry.host == m_self || m_coordinator.hasHeardOf(now, entry.host)
            || now - entry.calledAt < callRepetition)
            continue;
        entry.calledAt = now;
        m_hooks.sendCall(entry.host, *call, exchangeTimeout);
    }
}

bool quota_agent::hasNeed(milliseconds now)
{
    if (!m_active.empty())
        return true;
    for (std::size_t index = 0; index < m_limits.size(); ++index) {
        if (m_share.needsMore(now, index))
            return true;
    }
    return false;
}

void quota_agent::sendRegularReport(milliseconds now)
{
    m_reportedAt = now;
    quota_report report;
    const bool hasStamp = m_stampHost == m_chosen && m_stamp.process != 0;
    const bool mayLend = hasStamp && (m_borrower.process == m_stamp.process || now >= m_lentUntil);
    const auto lendUntil = now + m_timing.loan + lendMargin;
    report.loanMs = static_cast<std::uint32_t>(m_timing.loan.getCount());
    for (std::uint32_t index = 0; index < m_limits.size(); ++index) {
        const bool isLent = mayLend && std::binary_search(m_active.begin(), m_active.end(), index);
        const auto need = m_share.report(now, index, m_number + 1, true, isLent ? &lendUntil : nullptr);
        if (need.loan > 0 || need.credit > 0 || need.demand > 0)
            report.needs.push_back(need);
        if (need.loan > 0) {
            m_borrower = m_stamp;
            m_lentUntil = std::max(m_lentUntil, lendUntil);
        }
    }
    send(now, report);
}

/// Asks for shares for all organisations whose requests wait and can't be admitted soon.
void quota_agent::sendUrgentReport(milliseconds now)
{
    quota_report report;
    report.isUrgent = true;
    for (std::uint32_t index = 0; index < m_queues.size(); ++index) {
        auto& line = m_queues[index];
        if (line.waiters.empty() || !isAskDue(now, line))
            continue;
        auto need = m_share.report(now, index, m_number + 1, false, nullptr);
        need.waiting = static_cast<std::uint32_t>(line.waiters.size());
        line.askedAt = now;
        report.needs.push_back(need);
    }
    if (report.needs.empty())
        return;
    m_urgentAt = now;
    send(now, report);
}

void quota_agent::send(milliseconds now, const quota_report& report)
{
    if (m_chosen.empty())
        return;
    auto numbered = report;
    numbered.table = m_table;
    numbered.process = m_process;
    numbered.number = ++m_number;
    if (m_stampHost == m_chosen)
        numbered.stamp = m_stamp;
    auto& sent = m_sent[m_number];
    sent.host = m_chosen;
    sent.sentAt = now;
    sent.isUrgent = report.isUrgent;
    for (const auto& need : report.needs)
        sent.organisations.push_back(need.organisation);
    if (m_chosen == m_self) {
        onAnswer(now, numbered.number, handleReport(now, m_self, numbered));
        return;
    }
    ++m_statistics.reports;
    const auto host = m_chosen;
    m_hooks.sendReport(host, numbered, exchangeTimeout,
        [this, weak = std::weak_ptr<bool>(m_life), number = numbered.number](
            milliseconds answeredAt, const std::optional<quota_answer>& answer) {
            if (!weak.expired())
                onAnswer(answeredAt, number, answer);
        });
}

void quota_agent::onAnswer(milliseconds now, std::uint64_t number, const std::optional<quota_answer>& answer)
{
    observe(now);
    const auto found = m_sent.find(number);
    if (found == m_sent.end())
        return;
    const auto sent = std::move(found->second);
    m_sent.erase(found);
    if (answer) {
        if (sent.host == m_chosen)
            m_failures = 0;
        applyAnswer(now, number, sent, *answer);
        return;
    }
    onFailure(now, sent.host);
    if (!sent.isUrgent)
        return;
    for (const auto index : sent.organisations) {
        if (index < m_queues.size())
            block(now, index, {});
    }
}

void quota_agent::onFailure(milliseconds now, const std::string& host)
{
    if (host != m_chosen || ++m_failures < maxFailures)
        return;
    for (auto& entry : m_candidates) {
        if (entry.host == host)
            entry.avoidedUntil = now + avoidTime;
    }
    chooseCoordinator(now, "no answer");
}

void quota_agent::applyAnswer(
    milliseconds now, std::uint64_t number, const exchange& sent, const quota_answer& answer)
{
    if (answer.table != m_table)
        return;
    const bool wasUnknown = m_stampHost != sent.host || m_stamp.process != answer.stamp.process;
    if (sent.host == m_chosen)
        adoptStamp(sent.host, answer);
    const auto until = sent.sentAt + milliseconds(answer.grantMs);
    for (const auto& grant : answer.grants) {
        const auto index = grant.organisation;
        if (index >= m_limits.size() || now >= until)
            continue;
        m_share.applyGrant(now, grant, number, until);
        const bool isInTime = now < sent.sentAt + creditTime;
        serveWaiting(now, index, isInTime ? grant.requests : 0);
        if (grant.requests > 0)
            m_queues[index].askedAt = sent.sentAt + urgentIntervalIfGranted - urgentInterval;
        const bool isEmpty = grant.requests == 0 && grant.credit < creditUnit;
        if (sent.isUrgent && isEmpty && !m_queues[index].waiters.empty()
            && m_share.getWait(now, index, m_queues[index].waiters.size() - 1) > holdTime) {
            block(now, index, milliseconds(grant.waitMs));
            refuseWaiting(now, index);
        }
    }
    if (wasUnknown && !m_active.empty() && sent.host == m_chosen && sent.host != m_self)
        sendRegularReport(now);
}

/// Ends the waits that have taken too long.
void quota_agent::expire(milliseconds now)
{
    for (std::size_t index = 0; index < m_queues.size() && m_waitingCount > 0; ++index) {
        serveWaiting(now, index, 0);
        auto& line = m_queues[index];
        while (!line.waiters.empty() && line.waiters.front().until <= now) {
            const auto refused = std::move(line.waiters.front().onDecision);
            line.waiters.pop_front();
            --m_waitingCount;
            decide(refused, false, getRetryAfter(now, index));
        }
    }
}

void quota_agent::tick(milliseconds now)
{
    observe(now);
    if (!isEnabled())
        return;
    updateOwnShare(now);
    if (now - m_tickedAt >= tickInterval) {
        m_tickedAt = now;
        m_share.tick(now);
        m_coordinator.tick(now);
        chooseCoordinator(now, "retried");
    }
    if (m_waitingCount > 0) {
        expire(now);
        sendUrgentReport(now);
    }
    if (now - m_reportedAt >= m_timing.renewal && hasNeed(now))
        sendRegularReport(now);
    if (now - m_calledAt >= callInterval)
        callNodes(now);
}

} // namespace fuchsiagauge
