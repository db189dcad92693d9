#pragma once

#include "policy/quota_agent.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

/// Nodes that keep quotas together, with fake links, in virtual time.
class quota_fleet {
public:
    /// Poisson arrivals of one organisation's requests at one node.
    struct load {
        std::size_t node = 0;
        std::string organisation;
        double perSecond = 0;
        fuchsiagauge::milliseconds nextAt;
    };

    struct outcome {
        fuchsiagauge::milliseconds at;
        std::string organisation;
        bool isAdmitted = false;
    };

    explicit quota_fleet(std::size_t size, unsigned seed = 1);

    void setLimit(const std::string& organisation, double perSecond, double burst);
    void addLoad(std::size_t node, const std::string& organisation, double perSecond);
    void spreadLoad(const std::string& organisation, double perSecond); ///< Over all nodes.
    void clearLoads() { m_loads.clear(); }
    void restart(std::size_t node); ///< Starts a new process, or ends it if the node is not listed.
    void setFrozen(std::size_t node, bool isFrozen);
    void setListed(std::size_t node, bool isListed) { m_nodes[node].isListed = isListed; }
    void run(double forMs);
    void request(std::size_t node, const std::string& organisation);

    std::size_t findCoordinator() const; ///< As the first running node sees it.
    fuchsiagauge::quota_agent& getAgent(std::size_t node) { return *m_nodes[node].agent; }
    double getNow() const { return m_now.getCount(); }

    /// @return the largest number admitted in any window of 5 s.
    double findBusiestWindow(const std::string& organisation) const;
    /// @return the share of refused requests since a time.
    double getRefusedShare(const std::string& organisation, double sinceMs) const;
    double getAdmittedPerSecond(const std::string& organisation, double sinceMs) const;

    std::function<bool(std::size_t from, std::size_t to)> isCut; ///< May be empty.
    std::function<double()> extraDelayMs; ///< Added to each message; may be empty.
    fuchsiagauge::quota_tolerance tolerance; ///< Of processes that start from then on.
    double largestShareSum = 0; ///< Of the shares in use of organisation `a` at all running nodes.
    bool areMessagesDoubled = false;
    std::vector<outcome> outcomes;
    std::size_t messageCount = 0; ///< Reports and calls sent between nodes.

private:
    struct node {
        std::unique_ptr<fuchsiagauge::quota_agent> agent;
        bool isFrozen = false;
        bool isListed = true;
        std::vector<std::function<void()>> deferred; ///< Arrived while it was frozen.
    };

    std::size_t findNode(const std::string& host) const;
    void deliver(std::size_t from, std::size_t to, const std::function<void()>& action);
    void runOn(std::size_t node, std::function<void()> action);
    void tickNodes();
    void recordShares();
    fuchsiagauge::quota_agent::hooks makeHooks(std::size_t index);

    std::mt19937 m_random;
    fuchsiagauge::milliseconds m_now { 1000 };
    std::multimap<double, std::function<void()>> m_events;
    std::vector<node> m_nodes;
    std::map<std::string, std::size_t> m_hosts;
    std::vector<load> m_loads;
    fuchsiagauge::traffic_rules m_rules;
};
