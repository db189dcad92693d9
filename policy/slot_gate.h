#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/fill_hint.h"
#include "policy/fair_share.h"
#include "policy/fill_pace.h"
#include "policy/token_bucket.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace fuchsiagauge {

/// A request for a slot of the local target.
struct slot_request {
    std::uint64_t id = 0; ///< Unique among the gate's requests.
    int priority = 0; ///< 0 is the highest priority.
    /// Depth in the call graph. Within a priority the deepest request starts first, because its failure
    /// wastes the most work.
    int depth = 0;
    int rank = 0; ///< Within a priority, depth and organisation the lowest rank starts first.
    milliseconds startBy; ///< Time after which a start is too late to be useful.
    /// Organisation that the request counts for; all requests without one count as one organisation.
    std::string organisation {};
    std::optional<fill_hint> hint {}; ///< What the caller's node knows of the other instances, if it says so.
};

/// What a target has stated of its pace. It changes many times a second if the VM is shared with others.
struct pace_report {
    double slowdown = 1; ///< How much longer than usual work takes, as a factor.
    milliseconds age; ///< How long ago the target has stated it, at the time of the report.

    /// @return the expected slowdown some time after the report: the statement loses its effect with its age.
    double getExpected(milliseconds sinceReport) const;

    friend bool operator==(const pace_report& a, const pace_report& b)
    {
        return a.slowdown == b.slowdown && a.age == b.age;
    }
    friend bool operator!=(const pace_report& a, const pace_report& b) { return !(a == b); }
};

/// Load of a gate, as reported to the nodes that send requests to it.
struct slot_report {
    int busy = 0; ///< Slots in use.
    int waiting = 0; ///< Queued requests.
    int slots = 1; ///< Slots that are usable now.
    milliseconds serviceTime; ///< Moving average of the time that a request holds a slot.
    /// Moving average of the share of requests that the target rejected although slots were free.
    double rejectedShare = 0;
    std::optional<double> rateLimit; ///< Requests per second that the target takes at most, if it states it.
    int fullSlots = 0; ///< All slots of the target, while fewer are usable; 0 otherwise.
    pace_report pace;

    /// @return whether the target has just started or recovered and fewer than all slots are usable.
    bool isFilling() const { return fullSlots > 0; }

    /// @return the expected waiting time of a new request.
    milliseconds estimateWait() const;

    /// @return how long `count` requests take to start at the target's rate limit; 0 without a limit.
    milliseconds getStartTime(double count) const;
};

/// Assigns the slots of one target to requests, in order of priority.
///
/// A request that is not expected to start in time is refused immediately. A waiting request is refused as
/// soon as requests ahead of it delay its expected start too long.
///
/// While the target states a rate limit, requests start no faster than that, free slots or not. All requests
/// to the target pass its gate, so the limit holds for all nodes together.
///
/// After a start or a recovery of the target, `fill_pace` limits the slots that are usable. A request that
/// would wait behind another one is refused if its caller knows another instance with room.
///
/// Within a priority and depth the organisation that received least of the target's work in the last seconds
/// goes first. An organisation that sent nothing for a while gets only a short lead, so that its surge
/// doesn't keep the others waiting.
///
/// Of one organisation the lowest rank starts first. A request and all calls made for it have the
/// same rank at every gate. Under overload some requests therefore complete all of their calls, and the
/// others fail at the first one. In order of arrival every request would wait at each of its calls, and most
/// would exceed their deadlines after part of their work.
class slot_gate {
public:
    /// Receives std::nullopt to start the request, otherwise the reason for the refusal. Called exactly once
    /// for each request unless it is cancelled, possibly before submit() returns.
    using decision_hook = std::function<void(std::optional<error_kind>)>;

    /// Submits a request for a slot.
    void submit(milliseconds now, const slot_request& request, decision_hook decide);

    /// Releases a slot.
    /// @param now the current time.
    /// @param heldFor how long the request held the slot; std::nullopt if this says nothing about the
    /// target's speed.
    /// @param id the request whose organisation has held the slot.
    void finish(milliseconds now, std::optional<milliseconds> heldFor, std::uint64_t id = 0);

    /// Counts a request that reached the target.
    /// @param isRejected whether the target rejected it although it had free slots.
    void recordArrival(bool isRejected);

    /// Removes a waiting request without calling its hook.
    /// @return whether the request was waiting.
    bool cancel(std::uint64_t id);

    /// Refuses waiting requests that can no longer start in time.
    void tick(milliseconds now);

    /// Sets the number of the target's slots, at least 1.
    void setSlots(int slots, milliseconds now);

    /// Makes few slots usable at first, since the target has just started.
    void beginFilling(milliseconds now) { m_pace.begin(now, fill_state::Starting); }

    /// Records how a request that the target was sent ended. Must precede finish().
    /// @param heldFor how long the target took.
    /// @param hint what the caller's node said with the request.
    void recordOutcome(
        milliseconds now, fill_outcome outcome, milliseconds heldFor, const std::optional<fill_hint>& hint);

    /// @return how far the target has been opened to requests.
    fill_state getFillState() const { return m_pace.getState(); }

    /// Sets the number of requests per second that may reach the target, or lifts the limit.
    void setRateLimit(std::optional<double> perSecond, milliseconds now);

    /// Counts another send of a request that holds a slot against the rate limit.
    /// @return whether the limit allows it.
    bool tryCountResend(milliseconds now) { return tryCountSend(now); }

    /// Closes or opens the gate. A closed gate refuses new and waiting requests with TargetLeaving.
    void setClosed(bool isClosed);

    /// @return whether the gate refuses all requests.
    bool isClosed() const { return m_isClosed; }

    /// @return the gate's current load.
    slot_report getReport() const;

private:
    using group_key = std::pair<int, int>; ///< Priority and depth, deepest first.
    using order_key = std::pair<int, std::uint64_t>; ///< Rank and arrival.

    struct waiting_request {
        slot_request request;
        decision_hook decide;
    };

    using organisation_queue = std::map<order_key, waiting_request>;
    /// The waiting requests of a priority and depth, by organisation; no organisation has an empty queue.
    using group = std::map<std::string, organisation_queue>;

    struct queue_position {
        group_key group;
        std::string organisation;
        order_key order;
    };

    /// A started request that counts for an organisation.
    struct running_request {
        std::string organisation;
        milliseconds startedAt;
        milliseconds charged; ///< Work that it was expected to take.
    };

    bool tryCountSend(milliseconds now);
    void occupySlot(milliseconds now, const slot_request& request);
    void enqueue(milliseconds now, const slot_request& request, decision_hook decide);
    decision_hook removeWaiting(std::uint64_t id);
    const waiting_request& getFirst() const;
    std::optional<slot_request> findStartable() const;
    int getUsableSlots(const slot_request& request) const;
    bool shouldGoElsewhere(const slot_request& request, int ahead) const;
    /// Starts queued requests while slots are free and the rate limit allows it.
    void startQueuedRequests(milliseconds now);
    /// Refuses queued requests that are expected to start after their `startBy` time.
    void refuseUnservable(milliseconds now);
    void forEachInOrder(const group& waiting, const std::function<bool(const slot_request&)>& visit) const;
    /// @return the mean time between two starts while all slots are in use.
    milliseconds getStartInterval() const;

    std::map<group_key, group> m_queue; ///< No group is empty.
    std::unordered_map<std::uint64_t, queue_position> m_positions; ///< Of the waiting requests, by id.
    fair_share m_share;
    std::unordered_map<std::uint64_t, running_request> m_running; ///< Empty without organisations.
    std::uint64_t m_sequence = 0;
    int m_slots = 1;
    int m_busy = 0;
    fill_pace m_pace;
    double m_serviceMs = 0;
    double m_rejectedShare = 0;
    std::optional<double> m_rateLimit; ///< As stated by the target, in requests per second.
    token_bucket m_sendTokens { 0, 0, 0 }; ///< One for each send that the rate limit allows now.
    bool m_isClosed = false;
};

} // namespace fuchsiagauge
