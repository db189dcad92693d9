#pragma once

#include "policy/document_store.h"
#include "policy/membership.h"
#include "policy/peer_message.h"
#include "policy/reader_election.h"
#include "policy/token_bucket.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// Names a peer link within one node.
using link_id = std::uint64_t;

/// What the parts of a node that act with other nodes share.
struct fleet_state {
    membership members;
    std::array<document_store, documentKindCount> documents;
    reader_election election;

    document_store& getDocument(document_kind kind) { return documents[static_cast<std::size_t>(kind)]; }
    const document_store& getDocument(document_kind kind) const
    {
        return documents[static_cast<std::size_t>(kind)];
    }
};

/// Spreads statements and documents over the node's peer links.
///
/// New statements and new versions are passed on at once; heartbeats carry digests, and what differs is
/// exchanged. Documents are pulled, as a delta against the asking side's, from a peer that has shown a newer
/// version. A token bucket of bytes holds back what can wait.
class gossip {
public:
    struct options {
        milliseconds heartbeatInterval { 2000 };
        milliseconds receiveTimeout { 6000 }; ///< A link without a word for this long is given up.
        milliseconds flushInterval { 500 }; ///< Statements that can wait are sent this often.
        milliseconds exchangeInterval { 10000 }; ///< Shortest pause between digest exchanges on a link.
        milliseconds exchangeDelay { 3000 }; ///< Digests that differ for less are left to the pushes.
        milliseconds pullTimeout { 1000 };
        milliseconds refreshInterval { 240000 }; ///< A node restates itself this often.
        double bytesPerSecond = 6000; ///< Sent, before frame overhead.
        double burstBytes = 15000;
        double maxDebtBytes = 120000;
    };

    /// What varies.
    struct hooks {
        std::function<double()> random; ///< In [0, 1).
        std::function<void(link_id, std::string bytes)> send;
    };

    gossip(const options& config, fleet_state& state, hooks callbacks, milliseconds now);

    void addLink(link_id link, const std::string& peer, bool isOutgoing, milliseconds now);
    void removeLink(link_id link);

    /// Takes a message.
    /// @return false if the link has to be closed.
    bool receive(link_id link, const std::string& bytes, milliseconds now);

    /// Sends what is due.
    void tick(milliseconds now);

    /// Passes on that an instance's state changed, at once.
    void pushFact(const std::string& instance, milliseconds now);

    /// Passes on that an instance restated itself, when bytes can be spared.
    void enqueueRefresh(const std::string& instance, milliseconds now);

    /// Sends all statements that wait, at once.
    void flushAll(milliseconds now);

    /// Tells the peers that have not shown it themselves of a version that was adopted, at once.
    void pushVersions(milliseconds now);

    /// Counts the links' silence anew, after this node was paused.
    void restartReceiveTimeouts(milliseconds now);

    /// @return the links that have been silent for too long.
    std::vector<link_id> findTimedOutLinks(milliseconds now) const;

    std::uint64_t getSentBytes() const { return m_sentBytes; }
    std::uint64_t getReceivedBytes() const { return m_receivedBytes; }
    std::uint64_t getBadMessageCount() const { return m_badMessageCount; }

    /// @return documents received whole or as deltas.
    std::uint64_t getPullCount() const { return m_pullCount; }

    /// @return whether a peer has said what it has since its link came up.
    bool hasReceivedHeartbeat() const;

private:
    struct peer_state {
        std::string peer;
        bool isOutgoing = false;
        bool hasSentHeartbeat = false;
        bool needsFullDocument = false; ///< A delta from it did not fit.
        milliseconds lastReceivedAt;
        milliseconds heartbeatDueAt;
        milliseconds exchangeDueAt;
        std::optional<milliseconds> differsSince;
        std::array<document_version, documentKindCount> versions;
        std::map<std::string, bool> pending; ///< Instances to pass on; true: with names and addresses.
    };

    struct document_pull {
        link_id link = 0;
        milliseconds startedAt;
        bool isInFlight = false;
    };

    using link_map = std::map<link_id, peer_state>;

    void handle(link_map::value_type& link, const peer_heartbeat& message, milliseconds now);
    void handle(link_map::value_type& link, const peer_facts& message, milliseconds now);
    void handle(link_map::value_type& link, const peer_fact_digests& message, milliseconds now);
    void handle(link_map::value_type& link, const document_request& message, milliseconds now);
    void handle(link_map::value_type& link, const document_response& message, milliseconds now);
    void removePendingIfKnown(peer_state& peer, const std::string& instance, std::uint64_t startNumber,
        std::uint64_t sequence, milliseconds now);
    void enqueueFact(
        const std::string& instance, membership::merge_result result, link_id from, milliseconds now);
    bool isPeerBehind(const peer_state& peer) const;
    void sendHeartbeat(link_map::value_type& link, milliseconds now);
    void sendDigests(link_map::value_type& link, bool isReply, milliseconds now);
    void flush(link_map::value_type& link, milliseconds now);
    void exchangeIfDue(link_map::value_type& link, milliseconds now);
    void pullIfBehind(document_kind kind, milliseconds now);
    link_map::value_type* choosePullSource(document_kind kind);
    void send(link_id link, const peer_message& message, milliseconds now);
    std::uint64_t getFactsDigest(milliseconds now);

    options m_options;
    fleet_state& m_state;
    hooks m_hooks;
    link_map m_links;
    token_bucket m_sendBudget;
    std::array<document_pull, documentKindCount> m_pulls;
    milliseconds m_flushDueAt;
    milliseconds m_refreshDueAt;
    milliseconds m_digestAt { -1 };
    std::uint64_t m_digest = 0;
    std::uint64_t m_digestChangeCount = 0;
    std::uint64_t m_sentBytes = 0;
    std::uint64_t m_receivedBytes = 0;
    std::uint64_t m_badMessageCount = 0;
    std::uint64_t m_pullCount = 0;
};

} // namespace fuchsiagauge
