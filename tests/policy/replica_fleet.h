#pragma once

#include "policy/replica_exchange.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/// Nodes of several availability zones that share what they read from one store, on simulated time.
///
/// Each node has a real replica_exchange. Links take a fraction of a millisecond. The store client is
/// modelled by its delays: it watches, gathers changes, notices silence, and retries.
class replica_fleet {
public:
    /// State of a node that a test may change at any time.
    struct node_faults {
        bool isDown = false; ///< Connections to it are refused.
        bool isFrozen = false; ///< It does nothing; connections to it hang.
        bool isCutFromStore = false;
        fuchsiagauge::milliseconds answerDelay; ///< By which its answers to polls arrive later.
        bool isCutFromZone = false; ///< Connections to and from the other nodes hang.
    };

    replica_fleet(
        int zoneCount, int nodesPerZone, const fuchsiagauge::replica_exchange::options& config = {});

    /// Runs the fleet.
    void advance(fuchsiagauge::milliseconds duration);

    /// Changes the item `config` in the store.
    void publish(const std::string& value);

    /// Replaces the store's content by a copy without the last changes, in a new epoch.
    void restoreStore(std::size_t lostChanges);

    /// Runs until every node that is neither down nor frozen has a value of `config`.
    /// @return how long it took; more than `limit` if it did not happen in time.
    fuchsiagauge::milliseconds awaitValue(const std::string& value, fuchsiagauge::milliseconds limit);

    /// Restarts a node that knows nothing.
    void restart(std::size_t index);

    /// @return the indexes of the nodes of a zone that read the store.
    std::vector<std::size_t> findReaders(int zone) const;

    std::size_t getNodeCount() const { return m_nodes.size(); }
    node_faults& getFaults(std::size_t index) { return m_nodes[index]->faults; }
    const fuchsiagauge::replica_exchange& getExchange(std::size_t index) const;
    void setStoreSilent(bool isSilent) { m_isStoreSilent = isSilent; }
    /// @return the calls to the store so far.
    int getStoreCalls() const { return m_storeCalls; }
    fuchsiagauge::milliseconds getNow() const { return m_now; }
    /// @return the reads of the store itself that were sent only for their proof.
    int getProofReads() const { return m_proofReads; }
    /// @return how often a node returned to a lower epoch of the store.
    int getEpochReversionCount() const { return m_epochReversionCount; }
    /// @return how often a node that lacked a change claimed that it contained it.
    int getFalseProofCount() const { return m_falseProofCount; }
    /// @return the age of the oldest proof of the nodes that are neither down nor frozen.
    fuchsiagauge::milliseconds getOldestProofAge() const;
    /// Runs the fleet.
    /// @return the largest age of a proof meanwhile.
    fuchsiagauge::milliseconds advanceAndGetOldestProofAge(fuchsiagauge::milliseconds duration);
    /// @return how often any node's value of `config` went back to an older one.
    int getReversionCount() const { return m_reversionCount; }

private:
    struct sim_node {
        int zone = 0;
        std::string host;
        node_faults faults;
        std::unique_ptr<fuchsiagauge::replica_exchange> exchange;
        std::string value;
        std::uint64_t epoch = 0; ///< The highest epoch of the store that the node has reached.
        bool isReading = true;
        bool isReachable = false;
        fuchsiagauge::milliseconds confirmedAt; ///< When the store has last confirmed the node's items.
        std::uint64_t life = 0; ///< Events of an earlier life are dropped.
        std::uint64_t proofRun = 0; ///< Proof reads of an earlier contact with the store are dropped.
        std::uint64_t reading = 0; ///< Store events of an earlier time as a reader are dropped.
    };

    using action = std::function<void()>;

    void schedule(fuchsiagauge::milliseconds delay, action run);
    void scheduleOn(sim_node& node, fuchsiagauge::milliseconds delay, action run);
    void start(sim_node& node);
    void tick(sim_node& node);
    void sendPoll(sim_node& from, const std::string& host, const fuchsiagauge::replica_poll& poll,
        fuchsiagauge::milliseconds timeout, const fuchsiagauge::replica_exchange::answer_hook& onAnswer);
    void readStore(sim_node& node, int failures);
    void watchStore(sim_node& node, fuchsiagauge::milliseconds openedAt);
    fuchsiagauge::item_changes getNews(const sim_node& node) const;
    void proveItems(sim_node& node, fuchsiagauge::milliseconds dueAt);
    void checkProofs();
    bool isStoreAnswering(const sim_node& node) const;
    void applyChanges(sim_node& node, const fuchsiagauge::item_changes& added);

    fuchsiagauge::milliseconds m_now;
    std::multimap<double, action> m_events;
    std::vector<std::unique_ptr<sim_node>> m_nodes;
    std::map<std::string, sim_node*> m_byHost;
    fuchsiagauge::item_replica m_store;
    std::uint64_t m_revision = 1;
    std::uint64_t m_epoch = 0;
    int m_epochReversionCount = 0;
    bool m_isStoreSilent = false;
    fuchsiagauge::replica_exchange::options m_options;
    std::vector<std::pair<fuchsiagauge::milliseconds, std::string>> m_published; ///< Times and values.
    int m_proofReads = 0;
    int m_falseProofCount = 0;
    int m_storeCalls = 0;
    int m_reversionCount = 0;
};
