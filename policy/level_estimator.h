#pragma once

#include "core/clock.h"

#include <cstdint>
#include <deque>
#include <map>

namespace fuchsiagauge {

/// Finds the rank below which callers should not send, from the ranks that arrived of late.
///
/// Under overload the level is set so that the arrivals above it fit the completions. Once calm it falls by
/// steps: a part of a class's ranks first, more with every calm window.
class level_estimator {
public:
    /// @param overloadThreshold share of refusals above which a window counts as overloaded.
    /// @param recoveryThreshold share of refusals up to which a window counts as calm.
    explicit level_estimator(double overloadThreshold = 0, double recoveryThreshold = 0);

    /// Counts an arrival.
    void onArrival(milliseconds now, std::uint32_t rank);

    /// Counts a started request.
    /// @param waited how long it waited.
    void onStart(milliseconds waited);

    /// Counts a completed request.
    void onCompletion() { ++m_completions; }

    /// Counts a request refused because of overload.
    void onRefusal() { ++m_refusals; }

    /// Moves the level when a window has passed.
    /// @param now the present instant.
    /// @param queueTarget waiting time above which the target counts as overloaded.
    void tick(milliseconds now, milliseconds queueTarget);

    /// @return the level; 0: everything may come.
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
    std::deque<int> m_completionHistory; ///< Completions of the last windows, the newest last.
    std::map<std::uint32_t, milliseconds> m_lastArrivals; ///< When each priority arrived last.
    milliseconds m_windowStart;
    int m_completions = 0;
    int m_refusals = 0;
    int m_starts = 0;
    double m_waitedMs = 0;
    double m_step = 0; ///< Next step down, in classes.
    std::uint32_t m_level = 0;
};

} // namespace fuchsiagauge
