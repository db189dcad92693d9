#pragma once

#include "tests/stand_ins/http_server.h"

#include <boost/asio/steady_timer.hpp>
#include <list>

namespace fuchsiagauge::stand_in {

/// How a request passed the gate.
enum class admission_result {
    Acquired, ///< It holds a slot until release().
    QueueFull,
    Cancelled, ///< The caller went away while it was queued.
    Expired, ///< Its deadline passed while it was queued.
};

/// A target's slots and the first-in first-out queue before them.
class concurrency_limiter {
public:
    concurrency_limiter(boost::asio::io_context& context, int slots, int queue);

    /// Takes a slot, or waits for one.
    /// @param exchange the request.
    /// @param timeoutMs longest wait.
    admission_result acquire(
        http_exchange& exchange, double timeoutMs, const boost::asio::yield_context& yield);

    /// Gives a slot back.
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
