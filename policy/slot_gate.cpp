#include "policy/slot_gate.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace fuchsiagauge {
namespace {

    /// Weight of the newest sample in the moving average, which covers about the last 20 requests.
    constexpr double serviceTimeWeight = 0.05;
    /// Weight of the newest sample in the moving average of rejections, which covers about 20 requests too.
    constexpr double rejectionWeight = 0.05;
    /// A target that states a lower rate still gets a request now and then, as only its responses show when
    /// the limit ends.
    constexpr double minRatePerSecond = 0.5;
    /// Sends that may follow each other at once, as a share of those of one second.
    constexpr double rateBurstShare = 0.25;
    constexpr double msPerSecond = 1000;

} // namespace

milliseconds slot_report::estimateWait() const
{
    const int ahead = std::max(0, busy + waiting + 1 - slots);
    return std::max(serviceTime * (static_cast<double>(ahead) / std::max(1, slots)), getStartTime(waiting));
}

milliseconds slot_report::getStartTime(double count) const
{
    return rateLimit ? milliseconds(count * msPerSecond / std::max(*rateLimit, minRatePerSecond))
                     : milliseconds();
}

void slot_gate::submit(milliseconds now, const slot_request& request, decision_hook decide)
{
    if (m_isClosed) {
        decide(error_kind::TargetLeaving);
        return;
    }
    if (m_busy < getUsableSlots(request) && m_queue.empty() && tryCountSend(now)) {
        m_pace.onSend(now, ++m_busy);
        decide(std::nullopt);
        return;
    }
    const queue_key key { request.priority, -request.depth, request.rank, ++m_sequence };
    m_queue.emplace(key, waiting_request { request, std::move(decide) });
    m_queueKeys.emplace(request.id, key);
    startQueuedRequests(now);
    refuseUnservable(now);
}

void slot_gate::finish(milliseconds now, std::optional<milliseconds> heldFor)
{
    m_busy = std::max(0, m_busy - 1);
    if (heldFor) {
        const double sampleMs = heldFor->getCount();
        m_serviceMs
            = m_serviceMs == 0 ? sampleMs : m_serviceMs + serviceTimeWeight * (sampleMs - m_serviceMs);
    }
    startQueuedRequests(now);
    refuseUnservable(now);
}

void slot_gate::recordOutcome(
    milliseconds now, fill_outcome outcome, milliseconds heldFor, const std::optional<fill_hint>& hint)
{
    m_pace.onEnd(now, outcome, heldFor, hint ? hint->usualTime : milliseconds());
}

void slot_gate::recordArrival(bool isRejected)
{
    m_rejectedShare += rejectionWeight * ((isRejected ? 1 : 0) - m_rejectedShare);
}

bool slot_gate::cancel(std::uint64_t id)
{
    const auto found = m_queueKeys.find(id);
    if (found == m_queueKeys.end())
        return false;
    m_queue.erase(found->second);
    m_queueKeys.erase(found);
    return true;
}

void slot_gate::tick(milliseconds now)
{
    m_pace.tick(now, m_busy, milliseconds(m_serviceMs));
    startQueuedRequests(now);
    refuseUnservable(now);
}

void slot_gate::setSlots(int slots, milliseconds now)
{
    m_slots = std::max(1, slots);
    m_pace.setSlots(m_slots);
    startQueuedRequests(now);
    refuseUnservable(now);
}

void slot_gate::setRateLimit(std::optional<double> perSecond, milliseconds now)
{
    if (perSecond == m_rateLimit)
        return;
    m_rateLimit = perSecond;
    if (perSecond) {
        const double rate = std::max(*perSecond, minRatePerSecond);
        m_sendTokens.configure(rate, std::max(1.0, rate * rateBurstShare), now);
    } else {
        m_sendTokens = token_bucket(0, 0, 0);
    }
    startQueuedRequests(now);
    refuseUnservable(now);
}

/// Counts a request that is about to be sent to the target.
/// @return whether the rate limit allows it.
bool slot_gate::tryCountSend(milliseconds now) { return !m_rateLimit || m_sendTokens.tryTake(1, now); }

void slot_gate::setClosed(bool isClosed)
{
    m_isClosed = isClosed;
    if (!isClosed)
        return;
    auto refused = std::move(m_queue);
    m_queue.clear();
    m_queueKeys.clear();
    for (const auto& [key, item] : refused)
        item.decide(error_kind::TargetLeaving);
}

slot_report slot_gate::getReport() const
{
    return { m_busy, static_cast<int>(m_queue.size()), m_pace.getUsableSlots(), milliseconds(m_serviceMs),
        m_rejectedShare, m_rateLimit, m_pace.isFilling() ? m_slots : 0 };
}

void slot_gate::startQueuedRequests(milliseconds now)
{
    while (m_busy < m_slots && !m_queue.empty()) {
        // Requests that the window limits don't hold up others.
        const auto first = std::find_if(m_queue.begin(), m_queue.end(),
            [this](const auto& item) { return m_busy < getUsableSlots(item.second.request); });
        if (first == m_queue.end() || !tryCountSend(now))
            return;
        auto decide = std::move(first->second.decide);
        m_queueKeys.erase(first->second.request.id);
        m_queue.erase(first);
        m_pace.onSend(now, ++m_busy);
        decide(std::nullopt);
    }
}

/// @return how many requests may run at once for the request to start. The window doesn't limit requests
/// whose callers know no other instance; these would lose time and gain nothing.
int slot_gate::getUsableSlots(const slot_request& request) const
{
    const bool isLimited = request.hint && request.hint->others != other_instances::None;
    return isLimited ? m_pace.getUsableSlots() : m_slots;
}

/// @param ahead number of waiting requests that start earlier.
/// @return whether the request would wait for a usable slot behind another one, and its caller knows another
/// instance with room.
bool slot_gate::shouldGoElsewhere(const slot_request& request, int ahead) const
{
    const int usable = m_pace.getUsableSlots();
    return m_pace.isFilling() && request.hint && request.hint->others == other_instances::Free
        && ahead + std::max(0, m_busy - usable) >= 1;
}

milliseconds slot_gate::getStartInterval() const { return milliseconds(m_serviceMs / m_slots); }

void slot_gate::refuseUnservable(milliseconds now)
{
    const auto startInterval = getStartInterval();
    const auto report = getReport();
    const double tokens = m_rateLimit ? m_sendTokens.getTokens(now) : 0;
    std::vector<decision_hook> refused;
    int ahead = 0;
    const int overfull = std::max(0, m_busy - m_slots);
    for (auto item = m_queue.begin(); item != m_queue.end();) {
        const int position = overfull + ahead;
        const auto untilSend = report.getStartTime(std::max(0.0, position + 1 - tokens));
        const auto expectedStart = now + std::max(startInterval * (position + 1), untilSend);
        const auto& request = item->second.request;
        if (expectedStart <= request.startBy && !shouldGoElsewhere(request, ahead)) {
            ++ahead;
            ++item;
            continue;
        }
        refused.push_back(std::move(item->second.decide));
        m_queueKeys.erase(item->second.request.id);
        item = m_queue.erase(item);
    }
    for (const auto& decide : refused)
        decide(error_kind::Shed);
}

} // namespace fuchsiagauge
