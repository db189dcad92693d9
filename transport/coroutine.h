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

/// Bytes of stack of each coroutine.
constexpr std::size_t coroutineStackBytes = 131072;

/// Starts a coroutine.
///
/// The io_context runs on one thread, so that the coroutine needs no strand.
/// @param io runs it.
/// @param body the coroutine's function.
inline void startCoroutine(boost::asio::io_context& io, std::function<void(boost::asio::yield_context)> body)
{
    void (*onEnd)() = [] {};
    boost::asio::spawn(
        boost::asio::bind_executor(boost::asio::any_io_executor(io.get_executor()), onEnd),
        [body = std::move(body)](boost::asio::yield_context yield) { body(yield); },
        boost::coroutines::attributes(coroutineStackBytes));
}

/// @return a span as the standard library's type.
inline std::chrono::microseconds toChrono(milliseconds duration)
{
    constexpr double microsecondsPerMillisecond = 1000;
    return std::chrono::microseconds(
        static_cast<long long>(duration.getCount() * microsecondsPerMillisecond));
}

/// Suspends the coroutine for a span.
inline void sleepFor(boost::asio::io_context& io, milliseconds duration, boost::asio::yield_context yield)
{
    boost::asio::steady_timer timer(io, toChrono(duration));
    boost::system::error_code code;
    timer.async_wait(yield[code]);
}

/// Suspends a coroutine until another handler releases it.
class coroutine_latch {
public:
    explicit coroutine_latch(boost::asio::io_context& io)
        : m_timer(io, std::chrono::steady_clock::time_point::max())
    {
    }

    /// Releases the coroutine; it may come before wait().
    void release()
    {
        m_isReleased = true;
        m_timer.cancel();
    }

    /// Suspends until release() has been called.
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
