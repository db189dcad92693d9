#pragma once

#include "policy/routing_policy.h"

#include <map>

namespace fuchsiagauge {

/// Switches a router's mechanisms off one by one, for measurements.
struct router_switches {
    bool hasLocality = true; ///< Near instances first.
    bool hasTwoChoices = true; ///< The less loaded of two random instances; else one random instance.
    bool hasCallerShed = true; ///< Refuses what the instances would refuse.
    bool hasEjection = true; ///< Leaves out instances that fail more than the others.
    bool hasSlowStart = true; ///< Small share at first for new, returned and restarted instances.
};

/// Chooses among near instances by own evidence and by the load that rides on answers.
class router : public routing_policy {
public:
    /// @param region the node's region.
    /// @param zone the node's availability zone.
    /// @param random source of randomness.
    /// @param switches mechanisms in use.
    router(std::string region, std::string zone, random_hook random, router_switches switches = {});

    std::optional<std::string> choose(
        milliseconds now, const routing_request& request, const fleet_view& fleet) override;
    bool isUsable(const std::string& id, milliseconds now) const override;
    void onSend(const std::string& id, milliseconds now) override;
    void onAnswer(const std::string& id, milliseconds now, const node_report& report, milliseconds latency,
        bool isSuccess) override;
    void onFailure(const std::string& id, milliseconds now, error_kind kind) override;
    void onLeaving(const std::string& id) override;

    /// Ignored: own evidence outweighs health endpoints, which lag or mislead.
    void onHealth(const std::string& id, bool isHealthy) override;

    router_snapshot describe(
        const std::string& service, milliseconds now, const fleet_view& fleet) const override;

private:
    /// Own evidence on one instance.
    struct instance_stats {
        std::string service;
        std::uint64_t viewStart = 0; ///< Start number in the fleet view.
        std::uint64_t reportStart = 0; ///< Start number in the last report.
        int ownInFlight = 0;
        int sentSinceReport = 0;
        milliseconds sentAt { -1e9 };
        node_report report;
        milliseconds reportedAt { -1e9 };
        double successRate = 1; ///< Smoothed.
        int outcomeCount = 0; ///< Calls that count as evidence.
        int consecutiveFailures = 0;
        bool isEjected = false;
        milliseconds probeAt; ///< Earliest next probe while ejected.
        milliseconds backoff;
        milliseconds leavingUntil { -1e9 };
        milliseconds returnedAt { -1e9 }; ///< Begin of slow start.
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
