#pragma once

#include "core/clock.h"
#include "core/error.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <tuple>

namespace fuchsiagauge {

/// A request that asks for a slot of the local target.
struct slot_request {
    std::uint64_t id = 0; ///< Unique among the gate's requests.
    int priority = 0; ///< 0 is the most important.
    int depth = 0; ///< Among equals the deeper one starts first: more work is lost with it.
    int rank = 0; ///< Among equals of one depth the lower one starts first.
    milliseconds startBy; ///< Instant after which a start serves nobody well.
};

/// What a gate says of itself to those who send to it.
struct slot_report {
    int busy = 0; ///< Slots in use.
    int waiting = 0;
    int slots = 1;
    milliseconds serviceTime; ///< Smoothed time that a request holds a slot.

    /// @return how long a request that comes now waits for a slot.
    milliseconds estimateWait() const;
};

/// Hands out the slots of one target, the most important request first.
///
/// A request that can't be expected to start in time is refused at once, and one that waits is refused as
/// soon as more important ones have pushed it past its time.
///
/// Within a priority and depth the lowest rank starts first. A request and all calls made for it have one
/// rank at every gate, so under overload some requests get through all of their calls, and the others fail at
/// the first one. In order of arrival every request would wait at each of its calls, and most would run out
/// of time after part of their work.
class slot_gate {
public:
    /// Receives nothing to start, else why the request is refused. Called exactly once for each request
    /// unless it is cancelled, perhaps before submit() returns.
    using decision_hook = std::function<void(std::optional<error_kind>)>;

    /// Asks for a slot.
    void submit(milliseconds now, const slot_request& request, decision_hook decide);

    /// Gives a slot back.
    /// @param heldFor how long the request held it; nothing when that tells nothing of the target's speed.
    void finish(milliseconds now, std::optional<milliseconds> heldFor);

    /// Takes a waiting request out.
    /// @return whether it was waiting.
    bool cancel(std::uint64_t id);

    /// Refuses what can't start in time any more.
    void tick(milliseconds now);

    /// Sets the target's slots.
    void setSlots(int slots, milliseconds now);

    /// Refuses new and waiting requests while closed.
    void setClosed(bool isClosed);

    /// @return whether it refuses every request.
    bool isClosed() const { return m_isClosed; }

    /// @return the gate's state.
    slot_report getReport() const;

private:
    /// Priority, depth (deepest first), rank and arrival.
    using queue_key = std::tuple<int, int, int, std::uint64_t>;

    struct waiting_request {
        slot_request request;
        decision_hook decide;
    };

    using queue = std::map<queue_key, waiting_request>;

    void startQueuedRequests();
    void refuseUnservable(milliseconds now);
    milliseconds getStartInterval() const;

    queue m_queue;
    std::map<std::uint64_t, queue_key> m_queueKeys;
    std::uint64_t m_sequence = 0;
    int m_slots = 1;
    int m_busy = 0;
    double m_serviceMs = 0;
    bool m_isClosed = false;
};

} // namespace fuchsiagauge
