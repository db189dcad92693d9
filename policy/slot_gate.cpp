#include "policy/slot_gate.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <queue>
#include <tuple>
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
    /// Work of all slots in this time is the most that an organisation may have received less than the others
    /// when it starts to compete with them.
    constexpr milliseconds maxLead { 100 };

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
    if (m_busy < getUsableSlots(request) && m_queue.empty() && tryCountSend(now)) {
        occupySlot(now, request);
        decide(std::nullopt);
        return;
    }
    enqueue(now, request, std::move(decide));
    startQueuedRequests(now);
    refuseUnservable(now);
}

/// Assigns a slot to a request and charges its organisation with the work that it is expected to take.
void slot_gate::occupySlot(milliseconds now, const slot_request& request)
{
    m_pace.onSend(now, ++m_busy);
    if (request.organisation.empty() && m_share.isEmpty())
        return;
    const milliseconds expected(m_serviceMs);
    m_share.start(now, request.organisation, expected);
    m_running[request.id] = { request.organisation, now, expected };
}

void slot_gate::enqueue(milliseconds now, const slot_request& request, decision_hook decide)
{
    const queue_position position { { request.priority, -request.depth }, request.organisation,
        { request.rank, ++m_sequence } };
    auto& waiting = m_queue[position.group];
    if (!m_share.isEmpty() && waiting.count(request.organisation) == 0)
        m_share.join(now, request.organisation, maxLead * m_slots);
    waiting[request.organisation].emplace(position.order, waiting_request { request, std::move(decide) });
    m_positions[request.id] = position;
}

/// Removes a request from the queue.
/// @return its hook; empty if it does not wait.
slot_gate::decision_hook slot_gate::removeWaiting(std::uint64_t id)
{
    const auto found = m_positions.find(id);
    if (found == m_positions.end())
        return {};
    const auto position = std::move(found->second);
    m_positions.erase(found);
    const auto waiting = m_queue.find(position.group);
    const auto requests = waiting->second.find(position.organisation);
    const auto item = requests->second.find(position.order);
    auto decide = std::move(item->second.decide);
    requests->second.erase(item);
    if (requests->second.empty())
        waiting->second.erase(requests);
    if (waiting->second.empty())
        m_queue.erase(waiting);
    return decide;
}

/// @return the request that starts next; there must be one.
const slot_gate::waiting_request& slot_gate::getFirst() const
{
    const auto& waiting = m_queue.begin()->second;
    const auto getOrder = [this](const auto& item) {
        return std::tuple(m_share.getReceived(item.first), item.second.begin()->first);
    };
    const auto first = std::min_element(waiting.begin(), waiting.end(),
        [&](const auto& a, const auto& b) { return getOrder(a) < getOrder(b); });
    return first->second.begin()->second;
}

/// @return the next request that may start; nothing if the window holds all of them back. Requests that the
/// window limits don't hold up others.
std::optional<slot_request> slot_gate::findStartable() const
{
    if (!m_pace.isFilling())
        return getFirst().request;
    std::optional<slot_request> found;
    for (const auto& [key, waiting] : m_queue) {
        forEachInOrder(waiting, [&](const slot_request& request) {
            const bool isStartable = !found && m_busy < getUsableSlots(request);
            if (isStartable)
                found = request;
            return isStartable;
        });
        if (found)
            break;
    }
    return found;
}

void slot_gate::finish(milliseconds now, std::optional<milliseconds> heldFor, std::uint64_t id)
{
    m_busy = std::max(0, m_busy - 1);
    const auto running = m_running.find(id);
    if (running != m_running.end()) {
        const auto& ended = running->second;
        m_share.correct(now, ended.organisation, now - ended.startedAt - ended.charged);
        m_running.erase(running);
    }
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

bool slot_gate::cancel(std::uint64_t id) { return removeWaiting(id) != nullptr; }

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
    m_positions.clear();
    for (const auto& [key, waiting] : refused) {
        for (const auto& [organisation, requests] : waiting) {
            for (const auto& [order, item] : requests)
                item.decide(error_kind::TargetLeaving);
        }
    }
}

slot_report slot_gate::getReport() const
{
    return { m_busy, static_cast<int>(m_positions.size()), m_pace.getUsableSlots(), milliseconds(m_serviceMs),
        m_rejectedShare, m_rateLimit, m_pace.isFilling() ? m_slots : 0, {} };
}

void slot_gate::startQueuedRequests(milliseconds now)
{
    while (m_busy < m_slots && !m_queue.empty()) {
        const auto request = findStartable();
        if (!request || !tryCountSend(now))
            return;
        const auto decide = removeWaiting(request->id);
        occupySlot(now, *request);
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
    int ahead = 0;
    const int overfull = std::max(0, m_busy - m_slots);
    const auto isServable = [&](const slot_request& request) {
        const int position = overfull + ahead;
        const auto untilSend = report.getStartTime(std::max(0.0, position + 1 - tokens));
        return now + std::max(startInterval * (position + 1), untilSend) <= request.startBy
            && !shouldGoElsewhere(request, ahead);
    };
    std::vector<std::uint64_t> refusedIds;
    for (const auto& [key, waiting] : m_queue) {
        forEachInOrder(waiting, [&](const slot_request& request) {
            const bool isInTime = isServable(request);
            if (isInTime)
                ++ahead;
            else
                refusedIds.push_back(request.id);
            return isInTime;
        });
    }
    std::vector<decision_hook> refused;
    refused.reserve(refusedIds.size());
    for (const auto id : refusedIds)
        refused.push_back(removeWaiting(id));
    for (const auto& decide : refused)
        decide(error_kind::Shed);
}

/// Visits the waiting requests of a group in the order in which they are expected to start.
/// @param visit returns whether the request is expected to start.
void slot_gate::forEachInOrder(
    const group& waiting, const std::function<bool(const slot_request&)>& visit) const
{
    using cursor = std::tuple<milliseconds, order_key, const organisation_queue*>;
    std::vector<cursor> cursors;
    cursors.reserve(waiting.size());
    for (const auto& [name, requests] : waiting)
        cursors.emplace_back(m_share.getReceived(name), requests.begin()->first, &requests);
    const auto isLater = [](const cursor& a, const cursor& b) {
        return std::tie(std::get<0>(a), std::get<1>(a)) > std::tie(std::get<0>(b), std::get<1>(b));
    };
    std::priority_queue<cursor, std::vector<cursor>, decltype(isLater)> next(isLater, std::move(cursors));
    while (!next.empty()) {
        auto [received, order, requests] = next.top();
        next.pop();
        const auto item = requests->find(order);
        if (visit(item->second.request))
            received = received + milliseconds(m_serviceMs);
        if (const auto following = std::next(item); following != requests->end())
            next.emplace(received, following->first, requests);
    }
}

} // namespace fuchsiagauge
