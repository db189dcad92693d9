#pragma once

#include "core/clock.h"
#include "core/fill_hint.h"
#include "policy/instance_directory.h"
#include "policy/instance_placement.h"
#include "policy/run_time_model.h"
#include "policy/slot_gate.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// Where a node runs.
struct node_location {
    std::string zone; ///< The node's availability zone.
    std::map<std::string, std::string> regions; ///< Region of each availability zone, by zone.

    /// @return whether both zones are known and belong to the same region.
    bool isSameRegion(const std::string& a, const std::string& b) const;
};

/// The request for which an instance is chosen.
struct pick_request {
    std::string service;
    std::string route; ///< Name of the route; requests of one route take similar times.
    milliseconds latencyTarget; ///< A response that arrives within this time has its full value.
    milliseconds spareTime; ///< Delay that the request can tolerate; at most the latency target.
    bool isIdempotent = false;
    std::vector<std::string> excluded; ///< Ids of instances that must not be chosen.
};

/// What the end of an attempt indicates about the health of the instance.
enum class health_signal {
    Success,
    Failure, ///< The instance failed the request, or its response was lost or malformed.
    Refusal, ///< The instance had no free slot.
    Unreachable, ///< Neither the instance nor its node could be reached; nothing was sent.
    Leaving, ///< The instance accepts no new requests.
    Misdirected, ///< Another instance now has the address.
    TimedOut, ///< No response in time; counts against the instance only if it is unresponsive.
    Cancelled, ///< Ended by the client or for a reason unrelated to the instance; ignored.
};

/// Chooses the instance for each attempt by expected delay.
///
/// Each candidate has a cost in milliseconds: the expected queue wait, penalties for leaving the availability
/// zone or the region, for the probability of a run beyond the latency target, and for recent failures. The
/// candidate with the lowest cost is chosen. A response that arrives within the latency target has its full
/// value, so the distance penalties are fractions of the request's spare time: a near instance is used as
/// long as its queue lets it respond in time, then one farther away. All statistics decay, so an instance
/// that was avoided is eventually tried again.
///
/// An instance whose node has not reported counts as one with few free slots. If it was listed later than
/// others that have, the nodes send it their first requests at different, random moments: they all see it at
/// the same time, and know nothing of each other's requests.
///
/// An instance that has requests from this node in flight and answers none of them for much longer than one
/// request takes is unresponsive: the instance, its node or the link may be frozen. Unless no other instance
/// is eligible, it gets no further requests until it responds again, or until its requests have ended and the
/// time for which it is avoided has passed.
class instance_picker {
public:
    using random_hook = std::function<double()>;

    /// @param location where the node runs.
    /// @param random returns numbers in [0, 1).
    instance_picker(node_location location, random_hook random);

    /// Chooses an instance.
    /// @return the instance, or null with error_kind::NoTarget.
    const instance_directory::entry* choose(
        milliseconds now, const pick_request& request, const instance_directory& directory);

    /// @return whether there is an eligible instance that is neither avoided nor unresponsive.
    bool hasHealthyCandidate(
        milliseconds now, const pick_request& request, const instance_directory& directory) const;

    /// @return what the node of the chosen instance should know, if the instance may have just started or
    /// recovered; nothing for others.
    std::optional<fill_hint> makeFillHint(milliseconds now, const pick_request& request,
        const instance_directory::entry& chosen, const instance_directory& directory) const;

    /// Describes where a request would go now, by the same decisions as choose(), without a choice.
    /// @return the instances of the service with what decides; they refer to the directory.
    request_placement place(
        milliseconds now, const pick_request& request, const instance_directory& directory) const;

    /// Records that an attempt was sent. Exactly one onEnd() must follow.
    void onSend(const std::string& id, milliseconds now);

    /// Records how an attempt ended.
    void onEnd(const std::string& id, milliseconds now, health_signal signal);

    /// Records the load that the instance's node reported.
    void onReport(const std::string& id, milliseconds now, const slot_report& report);

    /// @return the rate limit of the instance, in requests per second, as last reported by its node.
    std::optional<double> getRateLimit(const std::string& id) const;

    /// Records how long a successful request took that did not wait for a slot.
    void onRunTime(const std::string& id, const std::string& route, milliseconds duration);

    /// @return the probability that a request of a route runs longer than `limit` at the instance, 0 to 1; 0
    /// if none has ended there yet.
    double getExcessProbability(const std::string& id, const std::string& route, milliseconds limit) const;

    /// @param sentAt when a request was sent to the instance.
    /// @return whether the instance has not answered any request for an unusually long time since `sentAt`.
    bool isUnresponsive(const std::string& id, milliseconds now, milliseconds sentAt) const;

    /// @return the shortest expected queue wait among the instances of a service, used for Retry-After.
    milliseconds estimateWait(
        milliseconds now, const std::string& service, const instance_directory& directory) const;

    /// Removes the statistics of instances that are no longer listed and have no attempts in flight.
    void pruneUnlisted(const instance_directory& directory);

private:
    /// This node's statistics for one instance.
    struct instance_stats {
        int ownInFlight = 0; ///< Attempts of this node that have not ended.
        int sentSinceReport = 0; ///< Attempts sent since the last load report.
        slot_report report;
        milliseconds reportedAt { -1e9 };
        milliseconds sentAt { -1e9 };
        /// Time of the last response, or of the first request after a time with none in flight.
        milliseconds unansweredSince;
        bool hasAnswered = false; ///< Whether it has answered at least once since it was listed.

        void recordResponse(milliseconds now)
        {
            unansweredSince = now;
            hasAnswered = true;
        }

        double failureRate = 0; ///< Exponential moving average at `failureRateAt`; decays with time.
        milliseconds failureRateAt;
        /// Set when it is unreachable, leaving, misdirected or unresponsive.
        milliseconds avoidUntil { -1e9 };
        milliseconds avoidDuration; ///< Doubled with each avoidance in a row.
        milliseconds introducedSince { -1e9 }; ///< Start of the instance that `introducedAt` is for.
        milliseconds filledAt { -1e9 }; ///< Time of the last report of an instance that was filling.
        milliseconds introducedAt { -1e9 }; ///< When this node sends it requests like any other.

        /// @return whether the instance has just started or recovered, so that its slowness will end soon.
        bool isSlownessPassing(milliseconds now) const
        {
            return now - std::max(introducedSince, filledAt) < recentStartTime;
        }

        /// @return the share of the learned slowness that still counts. Without a request the node would not
        /// learn that the slowness has ended.
        double getSlownessShare(milliseconds now) const;

        /// @return whether the node of this start of the instance has reported.
        bool hasReport(const instance_directory::entry& candidate) const
        {
            return reportedAt >= candidate.firstSeenAt;
        }
    };

    struct scored_candidate {
        const instance_directory::entry* candidate;
        double cost;
    };

    pick_cost getCost(milliseconds now, const pick_request& request,
        const instance_directory::entry& candidate, const instance_stats& stats) const;
    double getRunCost(milliseconds now, const pick_request& request,
        const instance_directory::entry& candidate, const instance_stats& stats) const;
    double getDistanceCost(const pick_request& request, const std::string& zone) const;
    static bool isUnresponsive(const instance_stats& stats, milliseconds unansweredTime);
    static double estimateQueueWait(
        milliseconds now, const instance_stats& stats, const instance_directory::entry& candidate);
    void scheduleIntroductions(const std::string& service, const instance_directory& directory);
    bool isAlternative(milliseconds now, const pick_request& request,
        const instance_directory::entry& candidate, bool isBusyToo) const;
    static double estimateRateWait(milliseconds now, const instance_stats& stats);
    static double getFailureRate(const instance_stats& stats, milliseconds now);
    static double getRejectedShare(const instance_stats& stats, milliseconds now);
    instance_placement describe(
        milliseconds now, const pick_request& request, const instance_directory::entry& candidate) const;
    const char* findExclusion(milliseconds now, const pick_request& request,
        const instance_directory::entry& candidate, bool mayUseAvoided) const;
    bool isEligible(milliseconds now, const pick_request& request, const instance_directory::entry& candidate,
        bool mayUseAvoided) const;
    const instance_directory::entry* findIdleInstance(
        milliseconds now, const pick_request& request, const instance_directory& directory) const;

    node_location m_location;
    random_hook m_random;
    std::map<std::string, instance_stats> m_stats;
    run_time_model m_runTimes;
};

} // namespace fuchsiagauge
