#include "policy/instance_picker.h"

#include "core/error.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fuchsiagauge {
namespace {

    /// Shares of the spare time: the wait in the own zone that is borne before another is used.
    constexpr double otherZoneShare = 0.1;
    constexpr double otherRegionShare = 0.5;
    constexpr double comfortShare = 0.4; ///< Of the latency target: run times below it hardly count.
    constexpr double jitterShare = 0.05; ///< Of the run time.
    constexpr double comfortWeight = 0.1;
    /// Cost of a sure failure, in latency targets: a failed attempt costs the request its value.
    constexpr double failureTargets = 4;
    constexpr double toleratedFailures = 0.12; ///< Just above a single failure: sound instances have some.
    constexpr double failureWeight = 0.1; ///< Of the newest outcome: about the last ten attempts count.
    constexpr milliseconds failureHalfLife {
        2000
    }; ///< Without new evidence a failing instance is tried again.
    constexpr milliseconds shortestAvoidance { 250 };
    constexpr milliseconds longestAvoidance { 2000 };
    constexpr milliseconds misdirectedAvoidance {
        5000
    }; ///< The listing follows within a heartbeat or three.
    /// Shorter pauses between answers come from links and from short runs at a busy instance.
    constexpr milliseconds shortestSilence { 500 };
    /// Run times without an answer that are suspicious: one and a part of these by the requests that wait, as
    /// any of them could have been answered.
    constexpr double silentRunTimes = 6;
    constexpr double silentWaits = 2; ///< Stated waits without an answer that are suspicious besides.
    constexpr double coldFactor = 2; ///< A cold instance takes about twice as long.
    constexpr milliseconds newcomerInterval { 500 }; ///< An instance of the zone without requests gets one.
    constexpr double assumedServiceMs = 50; ///< Of an instance that has not answered yet.

} // namespace

bool node_place::isSameRegion(const std::string& a, const std::string& b) const
{
    const auto first = regions.find(a);
    const auto second = regions.find(b);
    return first != regions.end() && second != regions.end() && first->second == second->second;
}

instance_picker::instance_picker(node_place place, random_hook random)
    : m_place(std::move(place))
    , m_random(std::move(random))
{
}

const instance_directory::entry* instance_picker::choose(
    milliseconds now, const pick_request& request, const instance_directory& directory)
{
    if (const auto* newcomer = findNewcomer(now, request, directory))
        return newcomer;
    for (const bool isLenient : { false, true }) {
        priced best { nullptr, 0 };
        for (const auto* candidate : directory.findService(request.service)) {
            if (!isWanted(now, request, *candidate, isLenient))
                continue;
            const double cost = getCost(now, request, *candidate, m_evidence[candidate->record.id]);
            if (!best.candidate || cost < best.cost)
                best = { candidate, cost };
        }
        if (best.candidate)
            return best.candidate;
    }
    fail(error_kind::NoTarget, "no instance of `" + request.service + "` is left to try");
    return nullptr;
}

bool instance_picker::hasGoodChoice(
    milliseconds now, const pick_request& request, const instance_directory& directory) const
{
    const auto& candidates = directory.findService(request.service);
    return std::any_of(candidates.begin(), candidates.end(),
        [&](const auto* candidate) { return isWanted(now, request, *candidate, false); });
}

void instance_picker::onSend(const std::string& id, milliseconds now)
{
    auto& known = m_evidence[id];
    if (known.ownInFlight == 0)
        known.silentSince = now;
    ++known.ownInFlight;
    ++known.sentSinceReport;
    known.sentAt = now;
}

void instance_picker::onEnd(const std::string& id, milliseconds now, attempt_evidence evidence)
{
    auto& known = m_evidence[id];
    const bool wasSilent = isSilent(known, now - known.silentSince);
    known.ownInFlight = std::max(0, known.ownInFlight - 1);
    const auto avoid = [&](milliseconds span) { known.avoidUntil = now + span; };
    const auto avoidForLonger = [&] {
        known.avoidSpan = std::clamp(known.avoidSpan * 2, shortestAvoidance, longestAvoidance);
        avoid(known.avoidSpan);
    };
    switch (evidence) {
    case attempt_evidence::Cancelled:
        return;
    case attempt_evidence::TimedOut:
        if (wasSilent)
            avoidForLonger();
        return;
    case attempt_evidence::Refusal:
        known.noteAnswer(now);
        return;
    case attempt_evidence::Misdirected:
        avoid(misdirectedAvoidance);
        return;
    case attempt_evidence::Leaving:
    case attempt_evidence::Unreachable:
        avoidForLonger();
        return;
    case attempt_evidence::Success:
    case attempt_evidence::Failure:
        break;
    }
    known.noteAnswer(now);
    const bool isFailure = evidence == attempt_evidence::Failure;
    known.failureRate = getFailureRate(known, now);
    known.failureRate += failureWeight * ((isFailure ? 1 : 0) - known.failureRate);
    known.failureRateAt = now;
    if (!isFailure)
        known.avoidSpan = milliseconds();
}

void instance_picker::onReport(const std::string& id, milliseconds now, const slot_report& report)
{
    auto& known = m_evidence[id];
    known.report = report;
    known.reportedAt = now;
    known.sentSinceReport = 0;
}

void instance_picker::forgetGone(const instance_directory& directory)
{
    for (auto item = m_evidence.begin(); item != m_evidence.end();) {
        const bool isGone = !directory.find(item->first) && item->second.ownInFlight == 0;
        item = isGone ? m_evidence.erase(item) : std::next(item);
    }
}

bool instance_picker::isSilent(const std::string& id, milliseconds now, milliseconds sentAt) const
{
    const auto found = m_evidence.find(id);
    return found != m_evidence.end()
        && isSilent(found->second, now - std::max(found->second.silentSince, sentAt));
}

bool instance_picker::isSilent(const evidence& known, milliseconds silence)
{
    // An instance that has not answered yet may just be starting.
    if (known.ownInFlight == 0 || !known.hasAnswered)
        return false;
    const auto& report = known.report;
    const auto limit
        = report.serviceTime * (1 + silentRunTimes / known.ownInFlight) + report.estimateWait() * silentWaits;
    return silence > std::max(shortestSilence, limit);
}

milliseconds instance_picker::estimateWait(
    milliseconds now, const std::string& service, const instance_directory& directory) const
{
    std::optional<double> least;
    for (const auto* candidate : directory.findService(service)) {
        const auto found = m_evidence.find(candidate->record.id);
        const double waitMs = found == m_evidence.end() ? 0 : getWait(now, found->second);
        least = std::min(least.value_or(waitMs), waitMs);
    }
    return milliseconds(least.value_or(0));
}

double instance_picker::getCost(milliseconds now, const pick_request& request,
    const instance_directory::entry& candidate, const evidence& known) const
{
    const double serviceMs
        = known.report.serviceTime.getCount() > 0 ? known.report.serviceTime.getCount() : assumedServiceMs;
    const double speedFactor = now < candidate.coldUntil ? coldFactor : 1;
    const double targetMs = request.latencyTarget.getCount();
    const double failureCost
        = std::max(0.0, getFailureRate(known, now) - toleratedFailures) * failureTargets * targetMs;
    // A little randomness keeps nodes with the same view from choosing alike.
    const double jitter = m_random() * serviceMs * jitterShare;
    // A slower instance costs little as long as its run time leaves room within the latency target.
    const double runMs = serviceMs * speedFactor;
    const double runCost = runMs * comfortWeight + std::max(0.0, runMs - comfortShare * targetMs);
    return getDistanceCost(request, candidate.record.zone) + getWait(now, known) + runCost + failureCost
        + jitter;
}

double instance_picker::getDistanceCost(const pick_request& request, const std::string& zone) const
{
    const double spareMs = request.spareTime.getCount();
    if (zone == m_place.zone)
        return 0;
    return m_place.isSameRegion(zone, m_place.zone) ? otherZoneShare * spareMs : otherRegionShare * spareMs;
}

double instance_picker::getWait(milliseconds now, const evidence& known)
{
    const auto& report = known.report;
    if (report.serviceTime.getCount() <= 0)
        return 0;
    // The instance has gone on working since the report.
    const double drained = report.slots * ((now - known.reportedAt) / report.serviceTime);
    const double reported = report.busy + report.waiting + known.sentSinceReport - std::max(0.0, drained);
    const double ahead = std::max<double>(reported, known.ownInFlight) + 1 - report.slots;
    return ahead <= 0 ? 0 : report.serviceTime.getCount() * ahead / report.slots;
}

double instance_picker::getFailureRate(const evidence& known, milliseconds now)
{
    if (known.failureRate == 0)
        return 0;
    return known.failureRate * std::exp2(-((now - known.failureRateAt) / failureHalfLife));
}

bool instance_picker::isWanted(milliseconds now, const pick_request& request,
    const instance_directory::entry& candidate, bool isLenient) const
{
    const auto& tried = request.tried;
    if (std::find(tried.begin(), tried.end(), candidate.record.id) != tried.end())
        return false;
    if (candidate.record.isDraining)
        return false;
    const auto found = m_evidence.find(candidate.record.id);
    if (isLenient || found == m_evidence.end())
        return true;
    return now >= found->second.avoidUntil && !isSilent(found->second, now - found->second.silentSince);
}

/// Finds an instance of the own zone that has had no request for a while, so that new and avoided ones are
/// tried with a request that may be repeated.
const instance_directory::entry* instance_picker::findNewcomer(
    milliseconds now, const pick_request& request, const instance_directory& directory) const
{
    if (!request.isIdempotent || !request.tried.empty())
        return nullptr;
    const auto& candidates = directory.findService(request.service);
    for (const auto* candidate : candidates) {
        if (candidate->record.zone != m_place.zone || !isWanted(now, request, *candidate, false))
            continue;
        const auto found = m_evidence.find(candidate->record.id);
        if (found == m_evidence.end() || now - found->second.sentAt > newcomerInterval)
            return candidate;
    }
    return nullptr;
}

} // namespace fuchsiagauge
