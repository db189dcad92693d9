#pragma once

#include "core/clock.h"
#include "core/instance_record.h"

#include <cstdint>
#include <optional>

namespace fuchsiagauge {

/// An instance that started longer ago has no after-effects of the start; covers the cold time of instances
/// that state none.
constexpr milliseconds recentStartTime { 10000 };

/// How far an instance has been opened to requests.
enum class fill_state {
    Full, ///< All slots are usable.
    Starting, ///< The instance has just started.
    Recovering, ///< The instance has failed or stopped responding.
};

/// @return the stable name of a state, such as `starting`.
const char* getFillStateName(fill_state state);

/// How a request ended at the instance, as far as it shows how much the instance can take.
enum class fill_outcome {
    Answered,
    Rejected, ///< The instance did not run the request.
    Failed, ///< The instance failed the request or did not respond to it.
};

/// Checks whether an instance that a node sees for the first time has just started. It has not if only the
/// node was restarted.
/// @param record the listed entry of the instance.
/// @param wallTimeMs Unix time in milliseconds, of the clock of the instance's VM.
/// @param isReplaced whether another start of the instance was listed before; decides if the entry does not
/// state when the instance started.
bool isRecentStart(const instance_record& record, std::uint64_t wallTimeMs, bool isReplaced);

/// Decides how many requests an instance may run at once after it has started or recovered.
///
/// The window starts small. It doubles with each round of answers within the usual time of their routes,
/// grows less with slower ones, and is halved if many requests of a round are rejected or fail, or if the
/// answers of a round are much slower than those to fewer requests at once. From the first
/// answer on it also grows with time, so that an instance that is slow but answers is not left idle. Once it
/// reaches the slots of the instance, it has no effect.
///
/// Belongs to the gate of the instance, which sees the requests of all callers.
class fill_pace {
public:
    /// Starts with a small window.
    /// @param reason Starting or Recovering.
    void begin(milliseconds now, fill_state reason);

    /// Sets the number of the instance's slots.
    void setSlots(int slots);

    /// Records that the instance was sent a request.
    /// @param busy number of requests at the instance, including this one.
    void onSend(milliseconds now, int busy);

    /// Records how a request ended.
    /// @param heldFor how long the instance took.
    /// @param usualTime how long requests of the route usually take; 0 if that is not known.
    void onEnd(milliseconds now, fill_outcome outcome, milliseconds heldFor, milliseconds usualTime);

    /// Lets the window grow with time, and notices an instance that has stopped responding.
    /// @param busy number of requests at the instance.
    /// @param serviceTime mean time that a request takes there.
    void tick(milliseconds now, int busy, milliseconds serviceTime);

    /// @return the number of requests that the instance may run at once, 1 to the number of its slots.
    int getUsableSlots() const;

    fill_state getState() const { return m_state; }

    /// @return whether fewer than all slots are usable.
    bool isFilling() const { return m_state != fill_state::Full; }

private:
    double getStartWindow() const;
    milliseconds getLongestFill() const;
    void startRound();
    void endRound();
    void raiseTo(double window);

    fill_state m_state = fill_state::Full;
    int m_slots = 1;
    double m_window = 1;
    milliseconds m_beganAt;
    bool m_isWaitingForAnswer = false; ///< No answer since the start or since the last bad round.
    milliseconds m_floorSince; ///< When the window that grows with time was 0.
    int m_roundSize = 1; ///< Requests that end in this round.
    int m_roundEnds = 0; ///< Requests that have ended in this round.
    int m_roundBad = 0; ///< Those of them that were rejected or failed.
    double m_roundSlowdown = 0; ///< Sum of the factors on the usual times of the others.
    /// Least mean factor of a round. It shows how slow the instance is without many requests at once.
    std::optional<double> m_leastSlowdown;
    double m_failedShare = 0; ///< Moving average over the last requests.
    milliseconds m_unansweredSince; ///< Last answer, or the first request after a time with none.
    milliseconds m_recoveringSince { -1e9 }; ///< Start of the last recovery.
    int m_relapses = 0; ///< Recoveries in a row that did not last.
};

} // namespace fuchsiagauge
