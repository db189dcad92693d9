#pragma once

#include "policy/routing_policy.h"

#include <map>

namespace fuchsiagauge {

/// Enables the router's mechanisms individually, so that the effect of each one can be measured.
struct router_switches {
    bool hasLocality = true; ///< Prefer near instances.
    bool hasTwoChoices = true; ///< Use the less loaded of two random instances, not just one.
    bool hasCallerShed = true; ///< Refuse calls that all instances would refuse.
    bool hasEjection = true; ///< Eject instances that fail more often than the others.
    bool hasSlowStart = true; ///< Send few calls at first to new, reinstated and restarted instances.
};

/// Routing policy that prefers near instances and chooses among them by this node's own call statistics and
/// by the load that instances report on their responses.
class router : public routing_policy {
public:
    /// @param region the node's region.
    /// @param zone the node's availability zone.
    /// @param random returns random numbers in [0, 1).
    /// @param switches mechanisms to use.
    router(std::string region, std::string zone, random_hook random, router_switches switches = {});

    std::optional<std::string> choose(
        milliseconds now, const routing_request& request, const fleet_view& fleet) override;
    bool isUsable(const std::string& id, milliseconds now) const override;
    void onSend(const std::string& id, milliseconds now) override;
    void onResponse(const std::string& id, milliseconds now, const node_report& report, milliseconds latency,
        bool isSuccess) override;
    void onFailure(const std::string& id, milliseconds now, error_kind kind) override;
    void onLeaving(const std::string& id) override;

    /// Does nothing: the router relies on its own call statistics, as health endpoints may be late or wrong.
    void onHealth(const std::string& id, bool isHealthy) override;

    router_snapshot describe(
        const std::string& service, milliseconds now, const fleet_view& fleet) const override;

private:
    /// This node's statistics for one instance.
    struct instance_stats {
        std::string service;
        std::uint64_t viewStart = 0; ///< Start number in the fleet view.
        std::uint64_t reportStart = 0; ///< Start number in the last report.
        int ownInFlight = 0; ///< Calls of this node that are not answered yet.
        int sentSinceReport = 0; ///< Calls sent since the last report.
        milliseconds sentAt { -1e9 };
        node_report report;
        milliseconds reportedAt { -1e9 };
        double successRate = 1; ///< Exponential moving average.
        int outcomeCount = 0; ///< Number of calls included in the success rate.
        int consecutiveFailures = 0;
        bool isEjected = false;
        milliseconds probeAt; ///< Earliest time of the next probe while ejected.
        /// Time between probes, without jitter; 0 if not ejected since the instance started.
        milliseconds backoff;
        milliseconds leavingUntil { -1e9 }; ///< Gets no calls until then.
        milliseconds returnedAt { -1e9 }; ///< Start of the slow start.
    };

    struct candidate {
        const instance_view* instance;
        instance_stats* stats;
        instance_distance distance;
    };

    using candidate_list = std::vector<candidate>;
    using candidate_predicate = std::function<bool(const candidate&)>;

    candidate_list findCandidates(milliseconds now, const routing_request& request, const fleet_view& fleet);
    instance_stats& updateFromView(milliseconds now, const instance_view& instance);
    void pruneUnlisted(milliseconds now, const fleet_view& fleet);
    void resetAfterRestart(instance_stats& stats, milliseconds now);
    instance_distance getDistance(const instance_view& instance) const;
    double getLoad(const instance_stats& stats, milliseconds now) const;
    double getSlowStartShare(const instance_stats& stats, milliseconds now) const;
    bool isShedding(const instance_stats& stats, std::uint32_t rank, milliseconds now) const;
    static const candidate* findEjectionProbe(
        milliseconds now, const routing_request& request, const candidate_list& candidates);
    static candidate_list filter(const candidate_list& candidates, const candidate_predicate& predicate);
    std::optional<candidate> selectShedProbe(milliseconds now, const candidate_list& candidates);
    candidate selectNearest(milliseconds now, const candidate_list& candidates);
    candidate selectByLoad(milliseconds now, const candidate_list& candidates);
    candidate selectRandom(const candidate_list& candidates);
    void recordOutcome(instance_stats& stats, milliseconds now, bool isSuccess);
    bool isOutlier(const instance_stats& stats) const;
    void eject(instance_stats& stats, milliseconds now);

    std::string m_region;
    std::string m_zone;
    random_hook m_random;
    router_switches m_switches;
    std::map<std::string, instance_stats> m_stats;
    milliseconds m_lastNow;
    milliseconds m_lastPruneAt;
};

} // namespace fuchsiagauge
