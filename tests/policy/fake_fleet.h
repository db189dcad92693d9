#pragma once

#include "policy/fleet_agent.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// A document that the fake platform publishes.
struct published_document {
    std::uint64_t revision = 0;
    std::string text;
};

/// One node of the fake fleet.
struct fake_node {
    std::string id;
    std::string region;
    std::string zone;
    std::uint64_t startNumber = 0;
    bool isPaused = false;
    std::unique_ptr<fleet_agent> agent; ///< Null while the node is down.
    std::vector<document_version> adopted; ///< Versions adopted since the last start.
    std::vector<audit_event> audit;
};

/// Simulates a small fleet: agents on virtual time that exchange messages in memory, and a fake platform.
class fake_fleet {
public:
    /// Creates nodes that are down. Node i is in zone i modulo `zones`; each region has half of the zones.
    fake_fleet(int nodes, int zones, unsigned seed);

    /// Starts or restarts a node, each time with the next start number.
    void start(int node);
    void startAll();
    void stop(int node);

    /// Advances the virtual time by `span`, in steps of 50 ms.
    void run(milliseconds span);

    /// Runs until a condition holds.
    /// @return the elapsed virtual time; at least `limit` if the condition did not hold in time.
    milliseconds runUntil(const std::function<bool()>& isDone, milliseconds limit);

    /// Publishes the next revision of the presets.
    /// @return the revision.
    std::uint64_t publish(const std::string& text);

    /// Publishes a VM list of the nodes that are running now.
    void publishList();

    bool isOnRevision(std::uint64_t revision) const;
    const document_version& getVersion(int node) const { return m_versions.at(getNode(node).id); }
    fake_node& getNode(int node) { return m_nodes.at(static_cast<std::size_t>(node)); }
    const fake_node& getNode(int node) const { return m_nodes.at(static_cast<std::size_t>(node)); }
    int getSize() const { return static_cast<int>(m_nodes.size()); }
    fleet_status getStatus(int node) const { return getNode(node).agent->getStatus(m_now); }
    milliseconds getNow() const { return m_now; }
    std::uint64_t getPlatformCalls() const { return m_platformCalls; }
    std::uint64_t getSentBytes() const { return m_sentBytes; }

    /// @return the highest number of platform calls within a second.
    std::uint64_t getPeakCallsPerSecond() const;

    // Injected faults.
    bool isPlatformDown = false;
    bool isPlatformStale = false; ///< Serves the documents of the last freezePlatform().
    double dropRatio = 0; ///< Fraction of messages that are lost while the links stay up.
    /// Whether two nodes can't communicate; empty: none are partitioned.
    std::function<bool(const fake_node&, const fake_node&)> isPartitioned;
    /// Whether a node can't reach the platform; empty: all reach it.
    std::function<bool(const fake_node&)> isPartitionedFromPlatform;

    /// Makes the platform serve its current documents until isPlatformStale is reset.
    void freezePlatform();

    published_document presets;
    published_document vmList;

private:
    struct link_connection {
        int from = 0;
        int to = 0;
        link_id fromLink = 0;
        link_id toLink = 0;
    };

    struct event {
        int node = 0;
        std::uint64_t startNumber = 0;
        std::function<void()> action;
    };

    struct watch {
        bool isOpen = false;
        std::uint64_t lastRevision = 0;
        bool hasRevision = false;
        milliseconds openedAt;
        milliseconds nextAt;
        double retryDelayMs = 0;
    };

    using link_endpoint = std::pair<int, link_id>;

    double drawUniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    void step();
    void schedule(int node, milliseconds delay, std::function<void()> action);
    void dial(int node, link_id link, const std::string& address);
    void send(int node, link_id link, std::string bytes);
    void close(int node, link_id link);
    void deliverDue();
    void readPlatform(int node);
    void updateWatch(int node, document_kind kind, watch& watched);
    int findNode(const std::string& address) const;
    bool arePartitioned(int a, int b) const;
    const published_document& getServedDocument(document_kind kind) const;
    void finishWatch(watch& watched, bool hasSucceeded);

    std::mt19937 m_random;
    milliseconds m_now { 1000 };
    std::vector<fake_node> m_nodes;
    std::map<std::string, document_version> m_versions;
    std::map<link_endpoint, link_endpoint> m_linkPeers;
    std::multimap<double, event> m_events;
    std::map<std::pair<int, int>, watch> m_watches;
    published_document m_stalePresets;
    published_document m_staleList;
    std::uint64_t m_platformCalls = 0;
    std::map<long, std::uint64_t> m_callsBySecond;
    std::uint64_t m_sentBytes = 0;
};

/// @return a document that differs for each number, padded to at least `bytes` bytes.
std::string makeDocumentText(int number, std::size_t bytes = 0);

} // namespace fuchsiagauge
