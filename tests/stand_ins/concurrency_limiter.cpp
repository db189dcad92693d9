#include "tests/stand_ins/concurrency_limiter.h"

#include <algorithm>
#include <chrono>

namespace fuchsiagauge::stand_in {

concurrency_limiter::concurrency_limiter(boost::asio::io_context& context, int slots, int queue)
    : m_context(context)
    , m_slots(slots)
    , m_queueCapacity(queue)
{
}

admission_result concurrency_limiter::acquire(
    http_exchange& exchange, double timeoutMs, const boost::asio::yield_context& yield)
{
    if (m_inFlight < m_slots) {
        m_highestInFlight = std::max(m_highestInFlight, ++m_inFlight);
        return admission_result::Acquired;
    }
    if (getQueued() >= m_queueCapacity)
        return admission_result::QueueFull;
    boost::asio::steady_timer timer(
        m_context, std::chrono::microseconds(static_cast<long long>(timeoutMs * 1000)));
    exchange.setDisconnectHook([&timer] { timer.cancel(); });
    const auto position = m_waiters.insert(m_waiters.end(), &timer);
    boost::system::error_code code;
    timer.async_wait(yield[code]);
    exchange.setDisconnectHook({});
    const bool hasSlot = std::find(m_waiters.begin(), m_waiters.end(), &timer) == m_waiters.end();
    if (!hasSlot)
        m_waiters.erase(position);
    if (hasSlot && !exchange.isCallerDisconnected())
        return admission_result::Acquired;
    if (hasSlot)
        release();
    return exchange.isCallerDisconnected() ? admission_result::Cancelled : admission_result::Expired;
}

void concurrency_limiter::release()
{
    if (m_waiters.empty()) {
        --m_inFlight;
        return;
    }
    auto* next = m_waiters.front();
    m_waiters.pop_front();
    next->cancel();
}

} // namespace fuchsiagauge::stand_in
