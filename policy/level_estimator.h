#pragma once

#include "core/clock.h"

#include <cstdint>
#include <deque>
#include <map>

namespace fuchsiagauge {

/// Computes the admission level, the rank below which callers should not send requests, from the ranks of
/// recent arrivals.
///
/// Under overload the level is set so that the number of arrivals above it roughly matches the completions.
/// After the overload it falls in steps: first by a fraction of one class's ranks, then by more in each
/// window that stays within the recovery thresholds.
class level_estimator {
public:
    /// @param overloadThreshold share of refusals above which a window counts as overloaded.
    /// @param recoveryThreshold share of refusals up to which the level may fall.
    explicit level_estimator(double overloadThreshold = 0, double recoveryThreshold = 0);

    /// Counts an arrival.
    void onArrival(milliseconds now, std::uint32_t rank);

    /// Counts a started request.
    /// @param waited how long the request waited in the queue.
    void onStart(milliseconds waited);

    /// Counts a completed request.
    void onCompletion() { ++m_completions; }

    /// Counts a request refused because of overload.
    void onRefusal() { ++m_refusals; }

    /// Updates the level at the end of a window.
    /// @param now the current time.
    /// @param queueTarget waiting time above which the target counts as overloaded.
    void tick(milliseconds now, milliseconds queueTarget);

    /// @return the level; 0: all requests may be sent.
    std::uint32_t get() const { return m_level; }

private:
    struct arrival {
        milliseconds at;
        std::uint32_t rank;
    };

    double getRefusedShare() const;
    void removeExpired(milliseconds now);
    void raiseLevel();
    void lowerLevel();
    void beginWindow(milliseconds now);

    double m_overloadThreshold;
    double m_recoveryThreshold;
    std::deque<arrival> m_arrivals;
    std::deque<int> m_completionHistory; ///< Completions per window, the newest last.
    std::map<std::uint32_t, milliseconds> m_lastArrivals; ///< Last arrival of each priority.
    milliseconds m_windowStart;
    int m_completions = 0;
    int m_refusals = 0;
    int m_starts = 0;
    double m_waitedMs = 0;
    double m_step = 0; ///< Next step by which the level falls, in classes.
    std::uint32_t m_level = 0;
};

} // namespace fuchsiagauge
