#include "policy/router.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fuchsiagauge {
namespace {

    constexpr milliseconds never { -1e9 };
    constexpr milliseconds reportLifetime { 5000 }; ///< Older reports are ignored.
    constexpr milliseconds leavingLifetime { 30000 }; ///< A leaving instance gets no calls for this time.
    constexpr milliseconds pruneInterval { 1000 };
    /// If every instance refuses a call's rank, a few such calls are still sent, as new admission levels
    /// arrive on responses only: one to each instance that got no call for the interval, and a fraction of
    /// the rest to random instances.
    constexpr milliseconds shedProbeInterval { 200 };
    constexpr double shedProbeShare = 0.01;
    constexpr double defaultLimit = 32; ///< Used for instances that have not reported a limit.
    constexpr double successRateWeight = 0.1; ///< Weight of the newest outcome in the success rate.
    constexpr int minConsecutiveFailures = 5;
    constexpr int minOutcomes = 10; ///< Required before the success rate may lead to ejection.
    constexpr double minSuccessRate = 0.5;
    /// How far the success rate must be below the mean of the other instances.
    constexpr double outlierMargin = 0.2;
    constexpr double maxEjectedShare = 0.5; ///< Maximum fraction of a service's instances ejected at once.
    constexpr milliseconds minBackoff { 250 };
    constexpr milliseconds maxBackoff { 1500 };
    constexpr double backoffFactor = 2;
    constexpr milliseconds backoffResetDelay { 10000 }; ///< Without ejection, before the backoff starts anew.
    /// Additional delay for calls that should not probe.
    constexpr milliseconds atMostOnceProbeDelay { 3000 };
    constexpr milliseconds slowStartDuration { 2000 };
    constexpr double slowStartInitialShare = 0.1; ///< Grows linearly to 1.

    bool isInstanceFailure(error_kind kind)
    {
        switch (kind) {
        case error_kind::TargetUnreachable:
        case error_kind::ConnectionLost:
        case error_kind::AnswerTimeout:
        case error_kind::BrokenAnswer:
        case error_kind::Internal:
            return true;
        default:
            return false;
        }
    }

    bool isExcluded(const routing_request& request, const std::string& id)
    {
        return std::find(request.excluded.begin(), request.excluded.end(), id) != request.excluded.end();
    }

} // namespace

router::router(std::string region, std::string zone, random_hook random, router_switches switches)
    : m_region(std::move(region))
    , m_zone(std::move(zone))
    , m_random(std::move(random))
    , m_switches(switches)
{
}

std::optional<std::string> router::choose(
    milliseconds now, const routing_request& request, const fleet_view& fleet)
{
    m_lastNow = now;
    pruneUnlisted(now, fleet);
    const auto candidates = findCandidates(now, request, fleet);
    if (candidates.empty())
        return fail(error_kind::NoTarget, "no live instance of `" + request.service + "` may be called");
    if (const auto* ejectionProbe = findEjectionProbe(now, request, candidates)) {
        ejectionProbe->stats->probeAt = now + maxBackoff;
        return ejectionProbe->instance->id;
    }
    auto healthy = filter(candidates, [](const candidate& item) { return !item.stats->isEjected; });
    if (healthy.empty())
        healthy = candidates;
    const auto accepting
        = filter(healthy, [&](const candidate& item) { return !isShedding(*item.stats, request.rank, now); });
    if (!accepting.empty())
        return selectNearest(now, accepting).instance->id;
    const auto shedProbe = selectShedProbe(now, healthy);
    if (!shedProbe)
        return fail(error_kind::Shed, "every instance of `" + request.service + "` refuses the rank");
    return shedProbe->instance->id;
}

bool router::isUsable(const std::string& id, milliseconds now) const
{
    const auto found = m_stats.find(id);
    if (found == m_stats.end())
        return true;
    const bool isEjected = m_switches.hasEjection && found->second.isEjected;
    return !isEjected && now >= found->second.leavingUntil;
}

void router::onSend(const std::string& id, milliseconds now)
{
    m_lastNow = now;
    auto& stats = m_stats[id];
    ++stats.ownInFlight;
    ++stats.sentSinceReport;
    stats.sentAt = now;
}

void router::onResponse(const std::string& id, milliseconds now, const node_report& report,
    milliseconds /*latency*/, bool isSuccess)
{
    m_lastNow = now;
    auto& stats = m_stats[id];
    stats.ownInFlight = std::max(0, stats.ownInFlight - 1);
    if (stats.reportStart != 0 && stats.reportStart != report.startNumber)
        resetAfterRestart(stats, now);
    stats.reportStart = report.startNumber;
    stats.report = report;
    stats.reportedAt = now;
    stats.sentSinceReport = 0;
    if (report.isLeaving)
        stats.leavingUntil = now + leavingLifetime;
    recordOutcome(stats, now, isSuccess);
}

void router::onFailure(const std::string& id, milliseconds now, error_kind kind)
{
    m_lastNow = now;
    auto& stats = m_stats[id];
    stats.ownInFlight = std::max(0, stats.ownInFlight - 1);
    if (kind == error_kind::TargetLeaving)
        onLeaving(id);
    if (isInstanceFailure(kind))
        recordOutcome(stats, now, false);
}

void router::onLeaving(const std::string& id) { m_stats[id].leavingUntil = m_lastNow + leavingLifetime; }

void router::onHealth(const std::string& /*id*/, bool /*isHealthy*/) { }

router_snapshot router::describe(const std::string& service, milliseconds now, const fleet_view& fleet) const
{
    router_snapshot result;
    result.service = service;
    const instance_stats noStats;
    for (const auto& [id, instance] : fleet.instances) {
        if (instance.service != service)
            continue;
        const auto found = m_stats.find(id);
        const auto& stats = found == m_stats.end() ? noStats : found->second;
        instance_snapshot item;
        item.id = id;
        item.distance = getDistance(instance);
        item.ownInFlight = stats.ownInFlight;
        item.load = getLoad(stats, now);
        item.admissionLevel = stats.report.admissionLevel;
        item.successRate = stats.successRate;
        item.isEjected = stats.isEjected;
        item.isLeaving = instance.state != instance_state::Live || now < stats.leavingUntil;
        item.slowStartShare = getSlowStartShare(stats, now);
        result.instances.push_back(item);
    }
    return result;
}

router::candidate_list router::findCandidates(
    milliseconds now, const routing_request& request, const fleet_view& fleet)
{
    candidate_list candidates;
    for (const auto& [id, instance] : fleet.instances) {
        if (instance.service != request.service)
            continue;
        auto& stats = updateFromView(now, instance);
        const auto distance = getDistance(instance);
        const bool isAllowed = request.mayCrossRegions || distance != instance_distance::OtherRegion;
        const bool isLive = instance.state == instance_state::Live && now >= stats.leavingUntil;
        if (isAllowed && isLive && !isExcluded(request, id))
            candidates.push_back({ &instance, &stats, distance });
    }
    return candidates;
}

router::instance_stats& router::updateFromView(milliseconds now, const instance_view& instance)
{
    const auto [position, isNew] = m_stats.try_emplace(instance.id);
    auto& stats = position->second;
    stats.service = instance.service;
    if (isNew)
        stats.returnedAt = now;
    if (stats.viewStart != 0 && instance.startNumber != 0 && stats.viewStart != instance.startNumber)
        resetAfterRestart(stats, now);
    if (instance.startNumber != 0)
        stats.viewStart = instance.startNumber;
    return stats;
}

void router::pruneUnlisted(milliseconds now, const fleet_view& fleet)
{
    if (now - m_lastPruneAt < pruneInterval)
        return;
    m_lastPruneAt = now;
    for (auto item = m_stats.begin(); item != m_stats.end();) {
        const bool isUnlisted = fleet.instances.count(item->first) == 0 && item->second.ownInFlight == 0;
        item = isUnlisted ? m_stats.erase(item) : std::next(item);
    }
}

void router::resetAfterRestart(instance_stats& stats, milliseconds now)
{
    stats.report = node_report {};
    stats.reportedAt = never;
    stats.sentSinceReport = 0;
    stats.successRate = 1;
    stats.outcomeCount = 0;
    stats.consecutiveFailures = 0;
    stats.isEjected = false;
    stats.backoff = milliseconds();
    stats.leavingUntil = never;
    stats.returnedAt = now;
}

instance_distance router::getDistance(const instance_view& instance) const
{
    if (!m_switches.hasLocality || (instance.region == m_region && instance.zone == m_zone))
        return instance_distance::SameZone;
    return instance.region == m_region ? instance_distance::SameRegion : instance_distance::OtherRegion;
}

double router::getLoad(const instance_stats& stats, milliseconds now) const
{
    const bool isFresh = now - stats.reportedAt <= reportLifetime && stats.report.limit > 0;
    if (!isFresh)
        return stats.ownInFlight / defaultLimit;
    const int inFlight = std::max(stats.ownInFlight, stats.report.inFlight + stats.sentSinceReport);
    return static_cast<double>(inFlight) / stats.report.limit;
}

double router::getSlowStartShare(const instance_stats& stats, milliseconds now) const
{
    if (!m_switches.hasSlowStart)
        return 1;
    const double progress = std::max(0.0, (now - stats.returnedAt) / slowStartDuration);
    return std::min(1.0, slowStartInitialShare + (1 - slowStartInitialShare) * progress);
}

bool router::isShedding(const instance_stats& stats, std::uint32_t rank, milliseconds now) const
{
    if (!m_switches.hasCallerShed || now - stats.reportedAt > reportLifetime)
        return false;
    return rank < stats.report.admissionLevel;
}

const router::candidate* router::findEjectionProbe(
    milliseconds now, const routing_request& request, const candidate_list& candidates)
{
    const auto extraDelay = request.mayProbe ? milliseconds() : atMostOnceProbeDelay;
    for (const auto& item : candidates) {
        if (item.stats->isEjected && now >= item.stats->probeAt + extraDelay)
            return &item;
    }
    return nullptr;
}

router::candidate_list router::filter(const candidate_list& candidates, const candidate_predicate& predicate)
{
    candidate_list selected;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(selected), predicate);
    return selected;
}

std::optional<router::candidate> router::selectShedProbe(milliseconds now, const candidate_list& candidates)
{
    const auto oldest = std::min_element(candidates.begin(), candidates.end(),
        [](const candidate& a, const candidate& b) { return a.stats->sentAt < b.stats->sentAt; });
    if (now - oldest->stats->sentAt >= shedProbeInterval)
        return *oldest;
    if (m_random() < shedProbeShare)
        return selectRandom(candidates);
    return std::nullopt;
}

router::candidate router::selectNearest(milliseconds now, const candidate_list& candidates)
{
    for (const auto distance :
        { instance_distance::SameZone, instance_distance::SameRegion, instance_distance::OtherRegion }) {
        const auto usable = filter(candidates, [&](const candidate& item) {
            return item.distance == distance
                && getLoad(*item.stats, now) < getSlowStartShare(*item.stats, now);
        });
        if (!usable.empty())
            return selectByLoad(now, usable);
    }
    return selectByLoad(now, candidates);
}

router::candidate router::selectByLoad(milliseconds now, const candidate_list& candidates)
{
    const auto first = selectRandom(candidates);
    if (!m_switches.hasTwoChoices)
        return first;
    const auto second = selectRandom(candidates);
    const auto getScore = [&](const candidate& item) {
        const double limit = item.stats->report.limit > 0 ? item.stats->report.limit : defaultLimit;
        return (getLoad(*item.stats, now) + 1 / limit) / getSlowStartShare(*item.stats, now);
    };
    return getScore(second) < getScore(first) ? second : first;
}

router::candidate router::selectRandom(const candidate_list& candidates)
{
    const auto index = static_cast<std::size_t>(m_random() * static_cast<double>(candidates.size()));
    return candidates[std::min(index, candidates.size() - 1)];
}

void router::recordOutcome(instance_stats& stats, milliseconds now, bool isSuccess)
{
    ++stats.outcomeCount;
    stats.successRate += successRateWeight * ((isSuccess ? 1 : 0) - stats.successRate);
    stats.consecutiveFailures = isSuccess ? 0 : stats.consecutiveFailures + 1;
    if (stats.isEjected && isSuccess) {
        stats.isEjected = false;
        stats.successRate = 1;
        stats.outcomeCount = 0;
        stats.returnedAt = now;
        return;
    }
    if (stats.isEjected) {
        eject(stats, now);
        return;
    }
    if (!isSuccess && isOutlier(stats))
        eject(stats, now);
}

bool router::isOutlier(const instance_stats& stats) const
{
    if (!m_switches.hasEjection)
        return false;
    const bool isFailing = stats.consecutiveFailures >= minConsecutiveFailures
        || (stats.outcomeCount >= minOutcomes && stats.successRate < minSuccessRate);
    if (!isFailing)
        return false;
    int count = 0;
    int ejected = 0;
    double othersRate = 0;
    int others = 0;
    for (const auto& [id, other] : m_stats) {
        if (other.service != stats.service)
            continue;
        ++count;
        ejected += other.isEjected ? 1 : 0;
        if (&other == &stats || other.isEjected)
            continue;
        ++others;
        othersRate += other.successRate;
    }
    const bool isUnderCeiling = ejected + 1 <= std::floor(count * maxEjectedShare);
    return isUnderCeiling && others > 0 && stats.successRate + outlierMargin <= othersRate / others;
}

void router::eject(instance_stats& stats, milliseconds now)
{
    const bool isFirst
        = stats.backoff == milliseconds() || (!stats.isEjected && now - stats.returnedAt > backoffResetDelay);
    stats.backoff = isFirst ? minBackoff : std::min(maxBackoff, stats.backoff * backoffFactor);
    stats.isEjected = true;
    const double jitter = 1 + m_random() / 2;
    stats.probeAt = now + stats.backoff * jitter;
}

} // namespace fuchsiagauge
