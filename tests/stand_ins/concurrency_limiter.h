#pragma once

#include "tests/stand_ins/http_server.h"

#include <boost/asio/steady_timer.hpp>
#include <list>

namespace fuchsiagauge::stand_in {

/// Result of concurrency_limiter::acquire().
enum class admission_result {
    Acquired, ///< The request holds a slot until release() is called.
    QueueFull,
    Cancelled, ///< The caller disconnected while the request was queued.
    Expired, ///< The timeout passed while the request was queued.
};

/// Limits the number of requests that a target runs concurrently. Further requests wait for a slot in a
/// bounded first-in, first-out queue.
class concurrency_limiter {
public:
    concurrency_limiter(boost::asio::io_context& context, int slots, int queue);

    /// Acquires a slot; waits in the queue if none is free.
    /// @param exchange the request.
    /// @param timeoutMs maximum time in the queue.
    admission_result acquire(
        http_exchange& exchange, double timeoutMs, const boost::asio::yield_context& yield);

    /// Releases a slot; the first request in the queue gets it.
    void release();

    int getInFlight() const { return m_inFlight; }
    int getQueued() const { return static_cast<int>(m_waiters.size()); }
    int getSlots() const { return m_slots; }
    int getQueueCapacity() const { return m_queueCapacity; }
    int getHighestInFlight() const { return m_highestInFlight; }

private:
    boost::asio::io_context& m_context;
    int m_slots;
    int m_queueCapacity;
    int m_inFlight = 0;
    int m_highestInFlight = 0;
    std::list<boost::asio::steady_timer*> m_waiters;
};

} // namespace fuchsiagauge::stand_in
