#include "policy/admission_controller.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fuchsiagauge {
namespace {

    /// Weight of the newest sample in the moving averages of the service time and its deviation.
    constexpr double serviceTimeWeight = 0.1;
    /// Number of mean deviations added to the mean in the service time estimate.
    constexpr double deviationMargin = 3;
    /// Limits the service time estimate to this share of the time that a request arrived with.
    constexpr double maxRequiredShare = 0.75;
    /// A probe that takes less than this share of the mean service time resets the averages.
    constexpr double probeResetShare = 0.5;
    /// Time without a service time sample after which a request that would miss its deadline starts as a
    /// probe.
    constexpr milliseconds probeInterval { 500 };

} // namespace

admission_controller::admission_controller(
    const service_rules& rules, admission_hooks hooks, admission_switches switches)
    : m_rules(rules)
    , m_hooks(std::move(hooks))
    , m_switches(switches)
    , m_limit(rules.minLimit, rules.maxLimit)
{
    m_notifiedLimit = getLimit();
}

void admission_controller::submit(milliseconds now, const admission_request& request, decision_hook decide)
{
    if (m_queueKeys.count(request.attemptId) > 0 || m_running.count(request.attemptId) > 0) {
        decide(error_kind::Cancelled);
        return;
    }
    if (m_isLeaving) {
        decide(error_kind::TargetLeaving);
        return;
    }
    if (m_switches.hasDownstreamLevel && !m_downstream.admit(now, request.rank)) {
        decide(error_kind::Shed);
        return;
    }
    m_level.onArrival(now, request.rank);
    const queue_key key { m_switches.hasRankOrder ? request.rank : 0, m_sequence++ };
    m_queueKeys.emplace(request.attemptId, key);
    m_queue.emplace(key, waiting_request { request, now, std::move(decide) });
    startQueuedRequests(now);
    refuseOverflow();
    deliverNotifications();
}

void admission_controller::finish(const std::string& attemptId, milliseconds now, bool isSuccess)
{
    const auto found = m_running.find(attemptId);
    if (found == m_running.end())
        return;
    const auto ended = found->second;
    const bool wasSaturated = isSaturated();
    m_running.erase(found);
    updateServiceTime(now, ended, isSuccess);
    m_limit.onFinish(now, wasSaturated);
    if (isSuccess)
        m_level.onCompletion();
    if (isSuccess || ended.isDownstreamShed)
        m_downstream.onEnd(ended.rank, isSuccess);
    startQueuedRequests(now);
    deliverNotifications();
}

void admission_controller::onDownstreamShed(const std::string& attemptId)
{
    const auto found = m_running.find(attemptId);
    if (found != m_running.end())
        found->second.isDownstreamShed = true;
}

void admission_controller::cancel(const std::string& attemptId, milliseconds now)
{
    const auto found = m_queueKeys.find(attemptId);
    if (found == m_queueKeys.end())
        return;
    refuse(m_queue.find(found->second), error_kind::Cancelled);
    startQueuedRequests(now);
    deliverNotifications();
}

void admission_controller::tick(milliseconds now)
{
    m_limit.tick(now);
    startQueuedRequests(now);
    refuseUnservable(now);
    m_level.tick(now, m_rules.queueTarget);
    m_downstream.tick(now);
    deliverNotifications();
}

void admission_controller::setRules(const service_rules& rules)
{
    m_rules = rules;
    applyLimitBounds();
    refuseOverflow();
    deliverNotifications();
}

void admission_controller::setPublishedSlots(int slots)
{
    if (slots == m_publishedSlots)
        return;
    m_publishedSlots = slots;
    applyLimitBounds();
    m_limit.setSlowStartLimit(slots / 2);
    deliverNotifications();
}

void admission_controller::setLeaving(bool isLeaving)
{
    m_isLeaving = isLeaving;
    if (isLeaving)
        refuseAll(error_kind::TargetLeaving);
    deliverNotifications();
}

int admission_controller::getLimit() const
{
    if (m_switches.hasAdaptiveLimit)
        return m_limit.get();
    return m_publishedSlots > 0 ? std::min(m_publishedSlots, m_rules.maxLimit) : m_rules.maxLimit;
}

std::uint32_t admission_controller::getAdmissionLevel() const
{
    if (!m_switches.hasLevel)
        return 0;
    return std::max(m_level.get(), m_switches.hasDownstreamLevel ? m_downstream.getLowestClassLevel() : 0);
}

milliseconds admission_controller::getServiceTimeEstimate() const
{
    return milliseconds(m_serviceMs + deviationMargin * m_deviationMs);
}

admission_controller::queue::iterator admission_controller::refuse(queue::iterator position, error_kind kind)
{
    const bool isOverload = kind != error_kind::Cancelled && kind != error_kind::TargetLeaving;
    if (isOverload)
        m_level.onRefusal();
    m_pendingDecisions.push_back({ std::move(position->second.decide), kind });
    m_queueKeys.erase(position->second.request.attemptId);
    return m_queue.erase(position);
}

void admission_controller::refuseAll(error_kind kind)
{
    while (!m_queue.empty())
        refuse(m_queue.begin(), kind);
}

void admission_controller::start(milliseconds now, queue::iterator position, bool isProbe)
{
    auto& item = position->second;
    m_limit.onStart(now);
    m_level.onStart(now - item.arrivedAt);
    m_running.emplace(item.request.attemptId, running_request { now, item.request.rank, false, isProbe });
    m_pendingDecisions.push_back({ std::move(item.decide), std::nullopt });
    m_queueKeys.erase(item.request.attemptId);
    m_queue.erase(position);
    if (isProbe)
        m_lastMeasurementAt = now;
}

void admission_controller::startQueuedRequests(milliseconds now)
{
    while (!m_queue.empty() && getInFlight() < getLimit()) {
        const auto first = m_queue.begin();
        const auto& item = first->second;
        if (now >= item.request.expiresAt)
            refuse(first, error_kind::DeadlineExceeded);
        else if (!willMissDeadline(now, item))
            start(now, first, false);
        else if (isProbeDue(now))
            start(now, first, true);
        else
            refuse(first, now > item.arrivedAt ? error_kind::QueueTimeout : error_kind::Shed);
    }
}

void admission_controller::refuseUnservable(milliseconds now)
{
    // Mean time between two starts while the limit is reached.
    const milliseconds startInterval(m_serviceMs / getLimit());
    auto expectedStart = now + startInterval;
    for (auto position = m_queue.begin(); position != m_queue.end();) {
        const auto& item = position->second;
        if (now >= item.request.expiresAt) {
            position = refuse(position, error_kind::DeadlineExceeded);
        } else if (willMissDeadline(expectedStart, item)) {
            position = refuse(position, error_kind::Shed);
        } else {
            expectedStart = expectedStart + startInterval;
            ++position;
        }
    }
}

void admission_controller::refuseOverflow()
{
    const auto maxQueueSize = static_cast<std::size_t>(std::max(0, m_rules.maxQueue));
    while (m_queue.size() > maxQueueSize)
        refuse(std::prev(m_queue.end()), error_kind::Shed);
}

bool admission_controller::isSaturated() const { return !m_queue.empty() || getInFlight() >= getLimit(); }

bool admission_controller::isProbeDue(milliseconds now) const
{
    return now - m_lastMeasurementAt >= probeInterval;
}

bool admission_controller::willMissDeadline(milliseconds expectedStart, const waiting_request& item) const
{
    return m_switches.hasWaitShed && expectedStart + getRequiredTime(item) > item.request.expiresAt;
}

milliseconds admission_controller::getRequiredTime(const waiting_request& item) const
{
    const auto timeBudget = item.request.expiresAt - item.arrivedAt;
    const double maxRequiredMs
        = std::max(m_serviceMs + m_deviationMs, timeBudget.getCount() * maxRequiredShare);
    return milliseconds(std::min(getServiceTimeEstimate().getCount(), maxRequiredMs));
}

void admission_controller::updateServiceTime(milliseconds now, const running_request& ended, bool isSuccess)
{
    const double elapsedMs = (now - ended.startedAt).getCount();
    const bool isFirst = m_serviceMs == 0;
    if (!isSuccess && (isFirst || elapsedMs < m_serviceMs))
        return;
    m_lastMeasurementAt = now;
    if (isFirst || (ended.isProbe && elapsedMs < m_serviceMs * probeResetShare)) {
        m_serviceMs = elapsedMs;
        m_deviationMs = elapsedMs / 2;
        return;
    }
    m_deviationMs += serviceTimeWeight * (std::abs(elapsedMs - m_serviceMs) - m_deviationMs);
    m_serviceMs += serviceTimeWeight * (elapsedMs - m_serviceMs);
}

void admission_controller::applyLimitBounds()
{
    const int maxLimit
        = m_publishedSlots > 0 ? std::min(m_publishedSlots, m_rules.maxLimit) : m_rules.maxLimit;
    m_limit.setBounds(m_rules.minLimit, maxLimit, m_publishedSlots > 0);
}

void admission_controller::deliverNotifications()
{
    if (getLimit() != m_notifiedLimit) {
        m_notifiedLimit = getLimit();
        if (m_hooks.onLimit)
            m_hooks.onLimit(m_notifiedLimit);
    }
    if (getAdmissionLevel() != m_notifiedLevel) {
        m_notifiedLevel = getAdmissionLevel();
        if (m_hooks.onLevel)
            m_hooks.onLevel(m_notifiedLevel);
    }
    while (!m_pendingDecisions.empty()) {
        const auto next = std::move(m_pendingDecisions.front());
        m_pendingDecisions.pop_front();
        next.decide(next.refusal);
    }
}

} // namespace fuchsiagauge
