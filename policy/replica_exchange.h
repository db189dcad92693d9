#pragma once

#include "core/clock.h"
#include "policy/freshness_proof.h"
#include "policy/item_replica.h"
#include "policy/reader_selector.h"

#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace fuchsiagauge {

/// A node's question to a reader of its zone.
struct replica_poll {
    std::uint64_t after = 0; ///< Revision up to which the asking node holds every change.
    milliseconds wait; ///< How long the answer may be held back until there is a change.
    bool isOutdated = false; ///< The asking node has proof that its items are out of date.
    /// The asking node is not connected: it waits only until the answering node is, not for a change.
    bool isConfirmation = false;
    /// Epoch of `after`. Nodes of an earlier version, which compare revisions only, don't state it.
    std::optional<std::uint64_t> epoch = std::nullopt;

    friend bool operator==(const replica_poll& a, const replica_poll& b)
    {
        return std::tie(a.after, a.wait, a.isOutdated, a.isConfirmation, a.epoch)
            == std::tie(b.after, b.wait, b.isOutdated, b.isConfirmation, b.epoch);
    }
    friend bool operator!=(const replica_poll& a, const replica_poll& b) { return !(a == b); }
};

/// The answer to a replica_poll.
struct replica_answer {
    bool isReader = false; ///< The answering node reads the platform itself.
    bool isConnected = false; ///< It has an intact connection to the platform.
    milliseconds connectedFor; ///< How long it has been connected; 0 if it is not.
    milliseconds confirmedAgo; ///< How long ago the platform has confirmed that its items are current.
    item_changes changes;
    /// How long ago the answering node's items were proved current; nothing without proof.
    std::optional<milliseconds> provenAgo = std::nullopt;
    milliseconds heldFor {}; ///< How long the poll was held; not stated without proof.

    friend bool operator==(const replica_answer& a, const replica_answer& b)
    {
        return std::tie(a.isReader, a.isConnected, a.connectedFor, a.confirmedAgo, a.changes, a.provenAgo,
                   a.heldFor)
            == std::tie(
                b.isReader, b.isConnected, b.connectedFor, b.confirmedAgo, b.changes, b.provenAgo, b.heldFor);
    }
    friend bool operator!=(const replica_answer& a, const replica_answer& b) { return !(a == b); }
};

/// Keeps this node's replica of the published items current: directly from the platform while this node is a
/// reader, and always from another reader of its availability zone.
///
/// A reader polls another reader too, so changes reach it even while its own connection to the platform is
/// silent.
///
/// Each node knows when the platform has last confirmed its items, directly or through its source. A reader
/// whose items have not been confirmed for too long is no source any more, and another node then reads the
/// platform by itself. Together the two limits bound how long a node acts on items that are out of date,
/// whatever has failed in between.
///
/// The first set of items may be out of date, as the platform serves it from a cache. It is passed on only
/// after a source connected to the platform has brought it up to date, so an instance that has left is not
/// used again after a restart. If no source is connected, it is used after a timeout.
class replica_exchange {
public:
    using answer_hook = std::function<void(const std::optional<replica_answer>&)>;

    struct options {
        reader_selector::options readers;
        milliseconds pollWait { 600 }; ///< A reader answers after this time at the latest.
        /// Time allowed for an answer beyond the wait. Longer than a scheduling delay of a loaded VM.
        milliseconds answerMargin { 400 };
        /// After this many polls in a row without a usable source, a node reads the platform by itself.
        int maxFailedPolls = 2;
        /// A reader whose items the platform has not confirmed for longer does not count as connected. Longer
        /// than the platform client takes to notice that the platform is silent.
        milliseconds readerStaleness { 1500 };
        /// A node reads the platform by itself if its items have not been confirmed for longer. It leaves
        /// time for one read within the shortest time limit for applying a change.
        milliseconds nodeStaleness { 1700 };
        /// Items that no source connected has confirmed are used after this time all the same.
        milliseconds confirmationTimeout { 1500 };
        /// Time after the start in which the instances of a starting fleet register.
        milliseconds registrationTime { 4000 };
        /// Time between two reads of the platform that prove the items current; 0: nothing is proved.
        milliseconds proofInterval;
        /// A node reads the platform by itself if its items were proved current longer ago and its source
        /// has no newer proof. Used only with `proofInterval`.
        milliseconds maxProofAge;

        /// Sets the times for a limit on the time after which a revoked key may be accepted. They keep the
        /// proof of a node in contact younger than 0.6 of the limit, also while its reader is replaced.
        /// @param revokeTime the limit; 0 if there is none, which changes nothing.
        void limitProofAge(milliseconds revokeTime);
    };

    struct hooks {
        /// Sends a poll to the node at a host and reports its answer, or nothing if there is none in time.
        std::function<void(
            const std::string& host, const replica_poll& poll, milliseconds timeout, answer_hook onAnswer)>
            sendPoll;
        /// Receives a complete set of items that may be out of date. It serves to find the other nodes.
        std::function<void(const item_changes& listed)> onListed;
        /// Receives all items once they are confirmed, then the changes that are new to this node.
        std::function<void(const item_changes& added)> onChanges;
        /// Called when this node starts or stops reading the platform.
        std::function<void(bool isReader)> onRoleChanged;
        /// Called if another node has proof that the items are out of date.
        std::function<void()> onOutdated;
        /// Called when neither the platform nor a reader is connected any more.
        std::function<void(const std::string& reason)> onDisconnected;
        /// Called when this node is connected again.
        /// @param since when the source of its knowledge was connected again.
        std::function<void(milliseconds since)> onReconnected;
        /// Called before the changes of a higher epoch are passed on: the store was restored from an older
        /// copy, so items that are missing may be published again. May be empty.
        std::function<void()> onEpochRisen;
    };

    /// @param time this node's clock.
    /// @param config time limits.
    /// @param self this node's host.
    /// @param initialHooks connect the exchange to transport and node; all must be set.
    replica_exchange(clock time, const options& config, std::string self, hooks initialHooks);

    /// Sets the hosts of the nodes in this node's zone.
    void setNodes(const std::vector<std::string>& hosts);

    /// Merges changes that this node has read from the platform.
    void applyFromPlatform(const item_changes& changes);

    /// Records that the platform answers this node.
    void onPlatformReachable();

    /// Records that all changes up to a recent time have been passed to applyFromPlatform().
    /// @param ago how long ago that time is.
    void onPlatformConfirmed(milliseconds ago);

    /// Records an answer of the platform that did not come from a cache. Its changes have been passed to
    /// applyFromPlatform().
    /// @return when the next such answer is due.
    milliseconds onPlatformRead(const platform_read& read);

    /// Records that the platform does not answer this node.
    void onPlatformUnreachable(const std::string& reason);

    /// Answers the poll of another node, possibly later.
    void answer(const replica_poll& poll, std::function<void(const replica_answer&)> respond);

    /// Asks the source, or the platform if this node reads, for the newest changes at once.
    void reportOutdated();

    /// Sends polls that are due and answers held polls whose wait is over.
    void tick();

    /// Stops polling and tells other nodes to learn elsewhere. With `options::proofInterval`, polling goes
    /// on, since the node still serves requests for a while.
    void stop();

    /// @return the latest time for which it is certain that the items passed on by this node contain every
    /// change that the platform had acknowledged by then; freshness_proof::never if there is none.
    milliseconds getProvenAt() const
    {
        return m_isPublishing ? m_proof.getProvenAt() : freshness_proof::never;
    }

    /// @return whether the fleet seems to be starting: the instance beside this node is not registered yet,
    /// and neither may the others be that would show where the other nodes are.
    bool isAwaitingRegistrations() const;

    bool isReader() const { return m_isReader; }
    /// @return the number of nodes of the zone that are preferred as readers.
    std::size_t getRank() const { return m_selector.getRank(); }
    bool isConnected() const { return m_isConnected; }
    /// @return the host of the node that this node learns from; empty if it has none.
    const std::string& getSource() const { return m_source; }
    const item_replica& getReplica() const { return m_replica; }

private:
    struct held_poll {
        replica_poll poll;
        milliseconds since;
        milliseconds until;
        std::function<void(const replica_answer&)> respond;
    };

    void updateRole();
    bool mustRead() const;
    void checkStaleness(milliseconds now);
    void checkProof(milliseconds now);
    bool isProving() const { return m_options.proofInterval > milliseconds(); }
    bool isPolling() const { return !m_isStopped || isProving(); }
    replica_poll makePoll(milliseconds wait, bool isOutdated, bool isConfirmation) const;
    bool isBehind(const replica_poll& poll) const;
    void mergeAnswer(const replica_answer& answer, milliseconds sentAt, milliseconds now);
    void sendDuePoll();
    void sendRecheck(milliseconds now);
    bool recordAnswer(const std::string& host, const std::optional<replica_answer>& answer,
        milliseconds sentAt, milliseconds now);
    void onSourceAnswer(
        const std::string& host, const std::optional<replica_answer>& answer, milliseconds sentAt);
    void merge(const item_changes& changes, milliseconds now);
    void publishIfConfirmed(milliseconds now);
    bool hasNews(const replica_poll& poll) const;
    replica_answer makeAnswer(const held_poll& held, milliseconds now) const;
    void answerHeldPolls(milliseconds now);
    void updateConnection(milliseconds now, const std::string& reason);
    bool isReadingIntact(milliseconds now) const;

    clock m_time;
    options m_options;
    hooks m_hooks;
    reader_selector m_selector;
    item_replica m_replica;
    freshness_proof m_proof;
    /// Up to when another node has proved this node's items current.
    milliseconds m_relayedProvenAt = freshness_proof::never;
    bool m_isProofOverdue = false; ///< This node reads by itself until its source has a newer proof.
    std::list<held_poll> m_heldPolls;
    std::string m_source;
    bool m_isReader = true; ///< Until the zone's nodes are known.
    bool m_isPlatformReachable = false;
    milliseconds m_platformReachableSince;
    milliseconds m_platformConfirmedAt { -1e9 };
    bool m_isSourceConnected = false;
    milliseconds m_sourceConnectedSince;
    /// When the platform has confirmed the items of the source, or of this node while it was a reader.
    milliseconds m_sourceConfirmedAt { -1e9 };
    bool m_isSourceStale = false; ///< This node reads by itself until a source has been confirmed again.
    bool m_isConnected = false;
    bool m_wasSource = false; ///< Whether it was a usable source when held polls were last answered.
    bool m_isPollOpen = false;
    int m_failedPolls = 0; ///< Polls in a row that found no usable source.
    bool m_isStopped = false;
    bool m_isPublishing = false; ///< The items are confirmed and are passed on.
    milliseconds m_startedAt;
    milliseconds m_completeSince;
};

} // namespace fuchsiagauge
