#include "policy/instance_picker.h"

#include "core/error.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fuchsiagauge {
namespace {

    /// Distance penalties, as fractions of the request's spare time: how much longer the wait in the node's
    /// own availability zone may be before an instance in another zone or region is used.
    constexpr double otherZoneCostShare = 0.2;
    constexpr double otherRegionCostShare = 0.45;
    constexpr double jitterShare = 0.05; ///< Maximum random cost, as a fraction of the run time.
    /// Cost per millisecond of run time; prefers the faster of two instances that are equal otherwise.
    constexpr double runTimeWeight = 0.05;
    /// Cost of a response that is certain to miss the latency target, in multiples of the target. It is lower
    /// than that of a failure, since a late response still has a part of its value.
    constexpr double lateCostInTargets = 3;
    /// Cost of a failure rate of 1, in multiples of the latency target. It is high because a failed attempt
    /// costs the request its value.
    constexpr double failureCostInTargets = 4;
    /// Just above the effect of a single failure, as healthy instances fail sometimes too.
    constexpr double toleratedFailureRate = 0.12;
    /// Weight of the newest outcome; the average covers about ten attempts.
    constexpr double failureRateWeight = 0.1;
    /// The failure rate decays without new outcomes, so that a failing instance is tried again.
    constexpr milliseconds failureRateHalfLife { 2000 };
    constexpr milliseconds shortestAvoidance { 250 };
    constexpr milliseconds longestAvoidance { 2000 };
    /// Covers the one to three heartbeats until the platform's listing shows the new owner of the address.
    constexpr milliseconds misdirectedAvoidance { 5000 };
    /// Shorter pauses between responses also occur with link delays and with short runs on a busy instance.
    constexpr milliseconds minUnresponsiveTime { 500 };
    /// An instance is unresponsive after 1 + unresponsiveRunTimes / (requests in flight) run times without a
    /// response, plus unresponsiveWaits reported queue waits. The time shrinks with the number of requests in
    /// flight, as any of them could have been answered.
    constexpr double unresponsiveRunTimes = 6;
    constexpr double unresponsiveWaits = 2;
    /// The nodes send their first requests to a new instance within this time.
    constexpr milliseconds introductionTime { 500 };
    /// Instances that are listed within this time have started together; none of them is new to the others.
    constexpr milliseconds commonStartTime { 1000 };
    constexpr milliseconds passingSlownessHalfLife { 500 };
    constexpr int unreportedSlots = 1; ///< Assumed of a new instance.
    /// An instance with a longer wait, as a share of the request's spare time, is no alternative to a new
    /// one.
    constexpr double alternativeWaitShare = 0.25;
    constexpr double alternativeFailureRate = 0.5; ///< Nor is one that fails more often.
    /// Instances of the own zone that were idle for longer get a request.
    constexpr milliseconds idleProbeInterval { 500 };
    /// Used for an instance that has not reported its service time yet.
    constexpr double defaultServiceTimeMs = 50;

} // namespace

bool node_location::isSameRegion(const std::string& a, const std::string& b) const
{
    const auto first = regions.find(a);
    const auto second = regions.find(b);
    return first != regions.end() && second != regions.end() && first->second == second->second;
}

instance_picker::instance_picker(node_location location, random_hook random)
    : m_location(std::move(location))
    , m_random(std::move(random))
{
}

const instance_directory::entry* instance_picker::choose(
    milliseconds now, const pick_request& request, const instance_directory& directory)
{
    scheduleIntroductions(request.service, directory);
    if (const auto* idle = findIdleInstance(now, request, directory))
        return idle;
    for (const bool mayUseAvoided : { false, true }) {
        scored_candidate best { nullptr, 0 };
        for (const auto* candidate : directory.findService(request.service)) {
            if (!isEligible(now, request, *candidate, mayUseAvoided))
                continue;
            // Jitter keeps nodes with the same view from all choosing the same instance.
            const double cost
                = getCost(now, request, *candidate, m_stats[candidate->record.id]).getTotal(m_random());
            if (!best.candidate || cost < best.cost)
                best = { candidate, cost };
        }
        if (best.candidate)
            return best.candidate;
    }
    fail(error_kind::NoTarget, "no eligible instance of `" + request.service + "`");
    return nullptr;
}

bool instance_picker::hasHealthyCandidate(
    milliseconds now, const pick_request& request, const instance_directory& directory) const
{
    const auto& candidates = directory.findService(request.service);
    return std::any_of(candidates.begin(), candidates.end(),
        [&](const auto* candidate) { return isEligible(now, request, *candidate, false); });
}

void instance_picker::onSend(const std::string& id, milliseconds now)
{
    auto& stats = m_stats[id];
    if (stats.ownInFlight == 0)
        stats.unansweredSince = now;
    ++stats.ownInFlight;
    ++stats.sentSinceReport;
    stats.sentAt = now;
}

void instance_picker::onEnd(const std::string& id, milliseconds now, health_signal signal)
{
    auto& stats = m_stats[id];
    const bool wasUnresponsive = isUnresponsive(stats, now - stats.unansweredSince);
    stats.ownInFlight = std::max(0, stats.ownInFlight - 1);
    const auto avoid = [&](milliseconds duration) { stats.avoidUntil = now + duration; };
    const auto avoidForLonger = [&] {
        stats.avoidDuration = std::clamp(stats.avoidDuration * 2, shortestAvoidance, longestAvoidance);
        avoid(stats.avoidDuration);
    };
    switch (signal) {
    case health_signal::Cancelled:
        return;
    case health_signal::TimedOut:
        if (wasUnresponsive)
            avoidForLonger();
        return;
    case health_signal::Refusal:
        stats.recordResponse(now);
        return;
    case health_signal::Misdirected:
        avoid(misdirectedAvoidance);
        return;
    case health_signal::Leaving:
    case health_signal::Unreachable:
        avoidForLonger();
        return;
    case health_signal::Success:
    case health_signal::Failure:
        break;
    }
    stats.recordResponse(now);
    const bool isFailure = signal == health_signal::Failure;
    stats.failureRate = getFailureRate(stats, now);
    stats.failureRate += failureRateWeight * ((isFailure ? 1 : 0) - stats.failureRate);
    stats.failureRateAt = now;
    if (!isFailure)
        stats.avoidDuration = milliseconds();
}

void instance_picker::onReport(const std::string& id, milliseconds now, const slot_report& report)
{
    auto& stats = m_stats[id];
    m_runTimes.fade(id, stats.getSlownessShare(now));
    stats.report = report;
    if (report.isFilling())
        stats.filledAt = now;
    stats.reportedAt = now;
    stats.sentSinceReport = 0;
}

double instance_picker::instance_stats::getSlownessShare(milliseconds now) const
{
    return isSlownessPassing(now) ? std::exp2(-((now - reportedAt) / passingSlownessHalfLife)) : 1;
}

std::optional<double> instance_picker::getRateLimit(const std::string& id) const
{
    const auto found = m_stats.find(id);
    return found == m_stats.end() ? std::nullopt : found->second.report.rateLimit;
}

void instance_picker::pruneUnlisted(const instance_directory& directory)
{
    for (auto item = m_stats.begin(); item != m_stats.end();) {
        const bool isUnlisted = !directory.find(item->first) && item->second.ownInFlight == 0;
        if (isUnlisted)
            m_runTimes.forget(item->first);
        item = isUnlisted ? m_stats.erase(item) : std::next(item);
    }
}

bool instance_picker::isUnresponsive(const std::string& id, milliseconds now, milliseconds sentAt) const
{
    const auto found = m_stats.find(id);
    return found != m_stats.end()
        && isUnresponsive(found->second, now - std::max(found->second.unansweredSince, sentAt));
}

bool instance_picker::isUnresponsive(const instance_stats& stats, milliseconds unansweredTime)
{
    // An instance that has never answered may still be starting.
    if (stats.ownInFlight == 0 || !stats.hasAnswered)
        return false;
    const auto& report = stats.report;
    const auto limit = report.serviceTime * (1 + unresponsiveRunTimes / stats.ownInFlight)
        + report.estimateWait() * unresponsiveWaits;
    return unansweredTime > std::max(minUnresponsiveTime, limit);
}

milliseconds instance_picker::estimateWait(
    milliseconds now, const std::string& service, const instance_directory& directory) const
{
    std::optional<double> least;
    for (const auto* candidate : directory.findService(service)) {
        const auto found = m_stats.find(candidate->record.id);
        const double waitMs = found == m_stats.end() ? 0 : estimateQueueWait(now, found->second, *candidate);
        least = std::min(least.value_or(waitMs), waitMs);
    }
    return milliseconds(least.value_or(0));
}

pick_cost instance_picker::getCost(milliseconds now, const pick_request& request,
    const instance_directory::entry& candidate, const instance_stats& stats) const
{
    const double serviceMs = stats.report.serviceTime.getCount() > 0 ? stats.report.serviceTime.getCount()
                                                                     : defaultServiceTimeMs;
    const double targetMs = request.latencyTarget.getCount();
    const double failureRate = std::max(getFailureRate(stats, now), getRejectedShare(stats, now));
    const double failureCost
        = std::max(0.0, failureRate - toleratedFailureRate) * failureCostInTargets * targetMs;
    pick_cost cost;
    cost.distance = getDistanceCost(request, candidate.record.zone);
    cost.wait = estimateQueueWait(now, stats, candidate);
    cost.run = getRunCost(now, request, candidate, stats);
    cost.failure = failureCost;
    if (!stats.hasReport(candidate))
        cost.introduction = std::max(0.0, (stats.introducedAt - now).getCount());
    cost.maxJitter = serviceMs * jitterShare;
    return cost;
}

double instance_picker::getRunCost(milliseconds now, const pick_request& request,
    const instance_directory::entry& candidate, const instance_stats& stats) const
{
    auto estimate = m_runTimes.estimate(candidate.record.id, request.route);
    if (!estimate)
        return 0;
    const double usual = m_runTimes.getUsualLogMean(request.route);
    estimate->logMean = usual + (estimate->logMean - usual) * stats.getSlownessShare(now);
    const auto usualMean = estimate->getMean();
    const double slowdown = stats.report.pace.getExpected(now - stats.reportedAt);
    estimate->logMean += std::log(slowdown);
    // Unlike the usual run time, what a slow moment adds is the same loss as a wait in the queue.
    return usualMean.getCount() * (runTimeWeight + slowdown - 1)
        + estimate->getExcessProbability(request.latencyTarget) * lateCostInTargets
        * request.latencyTarget.getCount();
}

void instance_picker::onRunTime(const std::string& id, const std::string& route, milliseconds duration)
{
    m_runTimes.record(id, route, duration);
}

double instance_picker::getExcessProbability(
    const std::string& id, const std::string& route, milliseconds limit) const
{
    const auto estimate = m_runTimes.estimate(id, route);
    return estimate ? estimate->getExcessProbability(limit) : 0;
}

double instance_picker::getDistanceCost(const pick_request& request, const std::string& zone) const
{
    const double spareMs = request.spareTime.getCount();
    if (zone == m_location.zone)
        return 0;
    return m_location.isSameRegion(zone, m_location.zone) ? otherZoneCostShare * spareMs
                                                          : otherRegionCostShare * spareMs;
}

double instance_picker::estimateQueueWait(
    milliseconds now, const instance_stats& stats, const instance_directory::entry& candidate)
{
    const auto& report = stats.report;
    const double untilStart = estimateRateWait(now, stats);
    if (!stats.hasReport(candidate)) {
        const bool isNew = stats.introducedSince == candidate.firstSeenAt;
        const int slots = isNew ? unreportedSlots : std::max(1, candidate.record.slots);
        const int ahead = std::max(0, stats.ownInFlight + 1 - slots);
        return std::max(untilStart, defaultServiceTimeMs * ahead / slots);
    }
    if (report.serviceTime.getCount() <= 0)
        return untilStart;
    // The instance has completed requests since the report.
    const double completed = report.slots * ((now - stats.reportedAt) / report.serviceTime);
    const double reported = report.busy + report.waiting + stats.sentSinceReport - std::max(0.0, completed);
    const double ahead = std::max<double>(reported, stats.ownInFlight) + 1 - report.slots;
    return std::max(untilStart, report.serviceTime.getCount() * std::max(0.0, ahead) / report.slots);
}

/// Draws the moments of this node's first requests to new instances.
void instance_picker::scheduleIntroductions(const std::string& service, const instance_directory& directory)
{
    std::optional<milliseconds> firstKnownAt;
    std::vector<const instance_directory::entry*> unknown;
    for (const auto* candidate : directory.findService(service)) {
        const auto found = m_stats.find(candidate->record.id);
        if (found != m_stats.end() && found->second.hasReport(*candidate))
            firstKnownAt = std::min(firstKnownAt.value_or(candidate->firstSeenAt), candidate->firstSeenAt);
        else
            unknown.push_back(candidate);
    }
    for (const auto* candidate : unknown) {
        if (!firstKnownAt || candidate->firstSeenAt - *firstKnownAt < commonStartTime)
            continue;
        auto& stats = m_stats[candidate->record.id];
        if (stats.introducedSince == candidate->firstSeenAt)
            continue;
        stats.introducedSince = candidate->firstSeenAt;
        stats.introducedAt = candidate->firstSeenAt + introductionTime * m_random();
    }
}

std::optional<fill_hint> instance_picker::makeFillHint(milliseconds now, const pick_request& request,
    const instance_directory::entry& chosen, const instance_directory& directory) const
{
    const auto found = m_stats.find(chosen.record.id);
    const bool isFull
        = found != m_stats.end() && found->second.hasReport(chosen) && !found->second.report.isFilling();
    if (isFull)
        return std::nullopt;
    const auto& candidates = directory.findService(request.service);
    const auto hasOther = [&](bool isBusyToo) {
        return std::any_of(candidates.begin(), candidates.end(), [&](const auto* candidate) {
            return candidate != &chosen && isAlternative(now, request, *candidate, isBusyToo);
        });
    };
    auto others = other_instances::None;
    if (hasOther(false))
        others = other_instances::Free;
    else if (hasOther(true))
        others = other_instances::Busy;
    return fill_hint { m_runTimes.getUsualTime(request.route), others };
}

/// @param isBusyToo whether an instance at which requests wait counts.
/// @return whether the request could go to this instance, which has not just started or recovered.
bool instance_picker::isAlternative(milliseconds now, const pick_request& request,
    const instance_directory::entry& candidate, bool isBusyToo) const
{
    const auto found = m_stats.find(candidate.record.id);
    if (found == m_stats.end() || !isEligible(now, request, candidate, false))
        return false;
    const auto& stats = found->second;
    const double longestWait = request.spareTime.getCount() * alternativeWaitShare;
    return stats.hasReport(candidate) && !stats.report.isFilling()
        && getFailureRate(stats, now) < alternativeFailureRate
        && (isBusyToo || estimateQueueWait(now, stats, candidate) <= longestWait);
}

/// @return the expected wait for the rate limit of the instance, in milliseconds.
double instance_picker::estimateRateWait(milliseconds now, const instance_stats& stats)
{
    const auto queued = stats.report.getStartTime(stats.report.waiting + stats.sentSinceReport);
    return std::max(0.0, (queued - (now - stats.reportedAt)).getCount());
}

double instance_picker::getFailureRate(const instance_stats& stats, milliseconds now)
{
    if (stats.failureRate == 0)
        return 0;
    return stats.failureRate * std::exp2(-((now - stats.failureRateAt) / failureRateHalfLife));
}

/// @return the reported share of rejections, which fades as the report ages, so that the instance is tried
/// again.
double instance_picker::getRejectedShare(const instance_stats& stats, milliseconds now)
{
    return stats.report.rejectedShare * std::exp2(-((now - stats.reportedAt) / failureRateHalfLife));
}

bool instance_picker::isEligible(milliseconds now, const pick_request& request,
    const instance_directory::entry& candidate, bool mayUseAvoided) const
{
    return !findExclusion(now, request, candidate, mayUseAvoided);
}

/// @return why the request must not go to the instance, or null if it may.
const char* instance_picker::findExclusion(milliseconds now, const pick_request& request,
    const instance_directory::entry& candidate, bool mayUseAvoided) const
{
    const auto& excluded = request.excluded;
    if (std::find(excluded.begin(), excluded.end(), candidate.record.id) != excluded.end())
        return "already tried";
    if (candidate.isLeaving())
        return "leaving";
    const auto found = m_stats.find(candidate.record.id);
    if (mayUseAvoided || found == m_stats.end())
        return nullptr;
    if (now < found->second.avoidUntil)
        return "avoided";
    return isUnresponsive(found->second, now - found->second.unansweredSince) ? "unresponsive" : nullptr;
}

/// Finds an instance of the node's own availability zone that has been idle for a while. New and previously
/// avoided instances are thus tried, but only with idempotent requests, which can be retried elsewhere.
const instance_directory::entry* instance_picker::findIdleInstance(
    milliseconds now, const pick_request& request, const instance_directory& directory) const
{
    if (!request.isIdempotent || !request.excluded.empty())
        return nullptr;
    const auto& candidates = directory.findService(request.service);
    for (const auto* candidate : candidates) {
        if (candidate->record.zone != m_location.zone || !isEligible(now, request, *candidate, false))
            continue;
        const auto found = m_stats.find(candidate->record.id);
        const bool isDue = found == m_stats.end()
            || (now - found->second.sentAt > idleProbeInterval && now >= found->second.introducedAt);
        if (isDue)
            return candidate;
    }
    return nullptr;
}

} // namespace fuchsiagauge
