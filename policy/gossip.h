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

/// Identifies a peer link within one node.
using link_id = std::uint64_t;

/// State that the fleet-wide parts of a node share.
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

/// Replicates announcements and documents over the node's peer links.
///
/// Changed announcements and new document versions are pushed at once. Heartbeats carry a digest of all
/// announcements; if it differs for long enough, the peers compare digests by bucket and exchange the
/// announcements of the buckets that differ (anti-entropy). Documents are pulled from a peer that advertises
/// a newer version, as a delta against the version of the requesting node. A token bucket of bytes delays
/// messages that are not urgent.
class gossip {
public:
    struct options {
        milliseconds heartbeatInterval { 2000 };
        /// A link on which nothing was received for this long is closed.
        milliseconds receiveTimeout { 6000 };
        milliseconds flushInterval { 500 }; ///< Interval at which announcements without changes are sent.
        milliseconds exchangeInterval { 10000 }; ///< Shortest interval between digest exchanges on a link.
        /// Time for pushes to arrive before differing digests are exchanged.
        milliseconds exchangeDelay { 3000 };
        milliseconds pullTimeout { 1000 };
        /// Average interval at which a node refreshes its own announcement.
        milliseconds refreshInterval { 240000 };
        double bytesPerSecond = 6000; ///< Rate limit of sent bytes, without frame overhead.
        double burstBytes = 15000;
        double maxDebtBytes = 120000;
    };

    /// Callbacks into the owner.
    struct hooks {
        std::function<double()> random; ///< In [0, 1).
        std::function<void(link_id, std::string bytes)> send;
    };

    gossip(const options& config, fleet_state& state, hooks callbacks, milliseconds now);

    void addLink(link_id link, const std::string& peer, bool isOutgoing, milliseconds now);
    void removeLink(link_id link);

    /// Handles a received message.
    /// @return false if the link has to be closed.
    bool receive(link_id link, const std::string& bytes, milliseconds now);

    /// Sends the messages that are due.
    void tick(milliseconds now);

    /// Queues an instance's changed announcement for all peers, to be sent in the next tick that the byte
    /// budget allows.
    void pushAnnouncement(const std::string& instance, milliseconds now);

    /// Queues an instance's refreshed announcement for all peers, to be sent within `flushInterval` if the
    /// byte budget allows.
    void enqueueRefresh(const std::string& instance, milliseconds now);

    /// Sends queued announcements on every link now.
    void flushAll(milliseconds now);

    /// Sends a heartbeat with the current versions to the peers that advertise older ones, now.
    void pushVersions(milliseconds now);

    /// Restarts the receive timeout of every link, after this node was paused.
    void restartReceiveTimeouts(milliseconds now);

    /// @return the links whose receive timeout has expired.
    std::vector<link_id> findTimedOutLinks(milliseconds now) const;

    std::uint64_t getSentBytes() const { return m_sentBytes; }
    std::uint64_t getReceivedBytes() const { return m_receivedBytes; }
    std::uint64_t getBadMessageCount() const { return m_badMessageCount; }

    /// @return the number of adoptable documents received, in full or as a delta.
    std::uint64_t getPullCount() const { return m_pullCount; }

    /// @return whether a heartbeat was received on any of the open links.
    bool hasReceivedHeartbeat() const;

private:
    struct peer_state {
        std::string peer;
        bool isOutgoing = false;
        bool hasSentHeartbeat = false;
        /// Its last document could not be rebuilt or did not match its digest.
        bool needsFullDocument = false;
        milliseconds lastReceivedAt;
        milliseconds heartbeatDueAt;
        milliseconds exchangeDueAt;
        std::optional<milliseconds> differsSince;
        std::array<document_version, documentKindCount> versions;
        /// Instances whose announcements are to be sent; true: with names and addresses.
        std::map<std::string, bool> pending;
    };

    struct document_pull {
        link_id link = 0;
        milliseconds startedAt;
        bool isInFlight = false;
    };

    using link_map = std::map<link_id, peer_state>;

    void handle(link_map::value_type& link, const peer_heartbeat& message, milliseconds now);
    void handle(link_map::value_type& link, const peer_announcements& message, milliseconds now);
    void handle(link_map::value_type& link, const peer_announcement_digests& message, milliseconds now);
    void handle(link_map::value_type& link, const document_request& message, milliseconds now);
    void handle(link_map::value_type& link, const document_response& message, milliseconds now);
    void removePendingIfKnown(peer_state& peer, const std::string& instance, std::uint64_t startNumber,
        std::uint64_t sequence, milliseconds now);
    void enqueueAnnouncement(
        const std::string& instance, membership::merge_result result, link_id from, milliseconds now);
    bool isPeerBehind(const peer_state& peer) const;
    void sendHeartbeat(link_map::value_type& link, milliseconds now);
    void sendDigests(link_map::value_type& link, bool isReply, milliseconds now);
    void flush(link_map::value_type& link, milliseconds now);
    void exchangeIfDue(link_map::value_type& link, milliseconds now);
    void pullIfBehind(document_kind kind, milliseconds now);
    link_map::value_type* choosePullSource(document_kind kind);
    void send(link_id link, const peer_message& message, milliseconds now);
    std::uint64_t getAnnouncementsDigest(milliseconds now);

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
