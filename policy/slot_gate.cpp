#include "policy/slot_gate.h"

#include <algorithm>
#include <cmath>
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
    /// Other work on a shared VM comes and goes within a fraction of a second.
    constexpr milliseconds paceHalfLife { 200 };
    constexpr double msPerSecond = 1000;

} // namespace

double pace_report::getExpected(milliseconds sinceReport) const
{
    if (slowdown == 1)
        return 1;
    return 1 + (slowdown - 1) * std::exp2(-((age + sinceReport) / paceHalfLife));
}

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
    if (m_busy < m_slots && m_queue.empty() && tryCountSend(now)) {
        ++m_busy;
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
    startQueuedRequests(now);
    refuseUnservable(now);
}

void slot_gate::setSlots(int slots, milliseconds now)
{
    m_slots = std::max(1, slots);
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
    return { m_busy, static_cast<int>(m_queue.size()), m_slots, milliseconds(m_serviceMs), m_rejectedShare,
        m_rateLimit, {} };
}

void slot_gate::startQueuedRequests(milliseconds now)
{
    while (m_busy < m_slots && !m_queue.empty() && tryCountSend(now)) {
        const auto first = m_queue.begin();
        auto decide = std::move(first->second.decide);
        m_queueKeys.erase(first->second.request.id);
        m_queue.erase(first);
        ++m_busy;
        decide(std::nullopt);
    }
}

milliseconds slot_gate::getStartInterval() const { return milliseconds(m_serviceMs / m_slots); }

void slot_gate::refuseUnservable(milliseconds now)
{
    const auto startInterval = getStartInterval();
    const auto report = getReport();
    const double tokens = m_rateLimit ? m_sendTokens.getTokens(now) : 0;
    std::vector<decision_hook> refused;
    int position = std::max(0, m_busy - m_slots);
    for (auto item = m_queue.begin(); item != m_queue.end();) {
        const auto untilSend = report.getStartTime(std::max(0.0, position + 1 - tokens));
        const auto expectedStart = now + std::max(startInterval * (position + 1), untilSend);
        if (expectedStart <= item->second.request.startBy) {
            ++position;
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
