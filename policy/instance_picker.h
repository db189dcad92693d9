#pragma once

#include "core/clock.h"
#include "policy/instance_directory.h"
#include "policy/slot_gate.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// Where a node stands.
struct node_location {
    std::string zone; ///< Availability zone.
    std::map<std::string, std::string> regions; ///< Region of each zone.

    /// @return whether both zones are known to lie in one region.
    bool isSameRegion(const std::string& a, const std::string& b) const;
};

/// What a request asks of its instance.
struct pick_request {
    std::string service;
    milliseconds latencyTarget; ///< Time within which the answer has its full value.
    milliseconds spareTime; ///< What it can lose on its way without harm; at most the latency target.
    bool isIdempotent = false;
    std::vector<std::string> excluded; ///< Instances that are not to be chosen.
};

/// How an attempt at an instance ended, as evidence on that instance.
enum class health_signal {
    Success,
    Failure, ///< It failed the request or its answer was lost or broken.
    Refusal, ///< It had no room.
    Unreachable, ///< Neither it nor its node could be reached; nothing was sent.
    Leaving, ///< It takes no new work.
    Misdirected, ///< Another instance has the address.
    TimedOut, ///< Nothing came before the time was over: counts against an instance that is silent.
    Cancelled, ///< Given up by the client: says nothing.
};

/// Chooses the instance for each attempt by expected delay.
///
/// Each candidate has a cost in milliseconds: the expected wait and run time there, a surcharge for leaving
/// the availability zone and the region, and one for recent failures. The least cost wins. An answer that
/// comes within the latency target has its full value, so the surcharges for distance are shares of the time
/// that the request can spare: a near instance is used as long as its queue leaves the answer in time, then a
/// farther one. Everything learned fades, so an instance that was avoided is tried again.
///
/// An instance that has requests of this node and answers none of them for much longer than it takes for one
/// is silent: it, its node or the link may be frozen. It gets no further requests until it answers again.
class instance_picker {
public:
    using random_hook = std::function<double()>;

    /// @param place where the node stands.
    /// @param random gives numbers in [0, 1).
    instance_picker(node_location location, random_hook random);

    /// Chooses an instance.
    /// @return the instance, or null with error_kind::NoTarget.
    const instance_directory::entry* choose(
        milliseconds now, const pick_request& request, const instance_directory& directory);

    /// @return whether an instance is left to try that is neither avoided nor silent.
    bool hasHealthyCandidate(
        milliseconds now, const pick_request& request, const instance_directory& directory) const;

    /// Counts an attempt that is sent; onEnd() follows.
    void onSend(const std::string& id, milliseconds now);

    /// Takes in how an attempt ended.
    void onEnd(const std::string& id, milliseconds now, health_signal signal);

    /// Takes in the load that an instance's node stated.
    void onReport(const std::string& id, milliseconds now, const slot_report& report);

    /// @param sentAt when a request was sent to the instance.
    /// @return whether the instance has answered nothing for suspiciously long since then.
    bool isUnresponsive(const std::string& id, milliseconds now, milliseconds sentAt) const;

    /// @return the expected wait at the best instance of a service, for Retry-After.
    milliseconds estimateWait(
        milliseconds now, const std::string& service, const instance_directory& directory) const;

    /// Forgets instances that are no longer listed.
    void pruneUnlisted(const instance_directory& directory);

private:
    /// What is known of one instance.
    struct instance_stats {
        int ownInFlight = 0;
        int sentSinceReport = 0;
        slot_report report;
        milliseconds reportedAt { -1e9 };
        milliseconds sentAt { -1e9 };
        milliseconds
            unansweredSince; ///< Of the last answer, or of the first request after a time without any.
        bool hasAnswered = false; ///< Since it was listed.

        void recordAnswer(milliseconds now)
        {
            unansweredSince = now;
            hasAnswered = true;
        }

        double failureRate = 0; ///< Smoothed; fades with time.
        milliseconds failureRateAt;
        milliseconds avoidUntil { -1e9 }; ///< Unreachable, leaving or misdirected.
        milliseconds avoidDuration;
    };

    struct scored_candidate {
        const instance_directory::entry* candidate;
        double cost;
    };

    double getCost(milliseconds now, const pick_request& request, const instance_directory::entry& candidate,
        const instance_stats& stats) const;
    double getDistanceCost(const pick_request& request, const std::string& zone) const;
    static bool isUnresponsive(const instance_stats& stats, milliseconds unansweredTime);
    static double estimateQueueWait(milliseconds now, const instance_stats& stats);
    static double getFailureRate(const instance_stats& stats, milliseconds now);
    bool isEligible(milliseconds now, const pick_request& request, const instance_directory::entry& candidate,
        bool mayUseAvoided) const;
    const instance_directory::entry* findIdleInstance(
        milliseconds now, const pick_request& request, const instance_directory& directory) const;

    node_location m_location;
    random_hook m_random;
    std::map<std::string, instance_stats> m_stats;
};

} // namespace fuchsiagauge
