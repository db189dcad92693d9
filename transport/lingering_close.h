#pragma once

#include "core/clock.h"

#include <cstddef>

namespace fuchsiagauge {

/// Decides how long a connection stays open after its sending direction has been shut down.
///
/// Closing it while the remote side is still sending makes the kernel reset it, which discards what the
/// remote side has not received yet. The connection therefore stays open until the remote side closes it. It
/// does not wait for a remote side that takes no data for the send timeout, or that has received everything
/// and does not close.
class lingering_close {
public:
    /// How long the remote side may keep the connection open once it has received everything.
    static constexpr milliseconds maxIdleTime { 1000 };

    /// Starts when the sending direction is shut down.
    void begin(milliseconds now) { m_progressAt = now; }

    /// Must be called regularly after begin().
    /// @param unacknowledgedBytes what the remote side has not received yet.
    /// @param sendTimeout how long it may receive nothing.
    /// @param now the current time.
    /// @return whether to close the connection without waiting any longer.
    bool isOver(std::size_t unacknowledgedBytes, milliseconds sendTimeout, milliseconds now)
    {
        if (unacknowledgedBytes != m_unacknowledgedBytes) {
            m_unacknowledgedBytes = unacknowledgedBytes;
            m_progressAt = now;
        }
        return now - m_progressAt > (unacknowledgedBytes > 0 ? sendTimeout : maxIdleTime);
    }

private:
    milliseconds m_progressAt;
    std::size_t m_unacknowledgedBytes = 0; ///< At the last call of isOver().
};

} // namespace fuchsiagauge
