#pragma once

#include "core/clock.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>

namespace fuchsiagauge {

/// Stack size of each coroutine.
constexpr std::size_t coroutineStackBytes = 131072;

/// Starts a coroutine.
///
/// No strand is needed, since the io_context runs on a single thread.
/// @param io runs the coroutine.
/// @param body function that is executed in the coroutine.
inline void startCoroutine(boost::asio::io_context& io, std::function<void(boost::asio::yield_context)> body)
{
    void (*onEnd)() = [] {};
    boost::asio::spawn(
        boost::asio::bind_executor(boost::asio::any_io_executor(io.get_executor()), onEnd),
        [body = std::move(body)](boost::asio::yield_context yield) { body(yield); },
        boost::coroutines::attributes(coroutineStackBytes));
}

/// @return a duration as a type of the standard library, truncated to whole microseconds.
inline std::chrono::microseconds toChrono(milliseconds duration)
{
    constexpr double microsecondsPerMillisecond = 1000;
    return std::chrono::microseconds(
        static_cast<long long>(duration.getCount() * microsecondsPerMillisecond));
}

/// Suspends the calling coroutine for a duration.
inline void sleepFor(boost::asio::io_context& io, milliseconds duration, boost::asio::yield_context yield)
{
    boost::asio::steady_timer timer(io, toChrono(duration));
    boost::system::error_code code;
    timer.async_wait(yield[code]);
}

/// Suspends a coroutine until another handler releases it. Can be used once.
class coroutine_latch {
public:
    explicit coroutine_latch(boost::asio::io_context& io)
        : m_timer(io, std::chrono::steady_clock::time_point::max())
    {
    }

    /// Releases the coroutine. May be called before wait(), which then returns at once.
    void release()
    {
        m_isReleased = true;
        m_timer.cancel();
    }

    /// Suspends the calling coroutine until release() has been called.
    void wait(boost::asio::yield_context yield)
    {
        boost::system::error_code code;
        while (!m_isReleased)
            m_timer.async_wait(yield[code]);
    }

private:
    boost::asio::steady_timer m_timer;
    bool m_isReleased = false;
};

} // namespace fuchsiagauge
