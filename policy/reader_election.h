#pragma once

#include "core/clock.h"
#include "policy/token_bucket.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace fuchsiagauge {

/// A node that was recently in contact with the platform; relayed from peer to peer.
struct reader_status {
    std::string instance; ///< Empty if no reader is known.
    bool isElected = false; ///< Whether it reads because it was elected; false if it promoted itself.
    milliseconds age; ///< Time since its last contact with the platform.

    friend bool operator==(const reader_status& a, const reader_status& b)
    {
        return std::tie(a.instance, a.isElected, a.age) == std::tie(b.instance, b.isElected, b.age);
    }
    friend bool operator!=(const reader_status& a, const reader_status& b) { return !(a == b); }
};

/// Whether and why a node reads the platform.
enum class reader_role {
    None,
    Elected, ///< Among the highest-ranked instances of its zone, in its own view.
    Promoted, ///< Promoted itself, since no reader was known for too long.
};

/// Decides whether this node reads the platform, and how often it may.
///
/// The readers of an availability zone are its `readersPerZone` highest-ranked live instances by rendezvous
/// hashing. A node may become a reader because its view is wrong, so each node limits its calls to its share
/// of the fleet's rate. An elected node may also use the shares of the nodes that it has recently seen in its
/// zone, up to `maxSharesPerReader`. The fleet therefore stays within `fleetCallsPerSecond` while all views
/// agree, and within `maxSharesPerReader` times that for arbitrary views.
class reader_election {
public:
    struct options {
        std::size_t readersPerZone = 2;
        /// A reader without contact for this long is dropped; without any, a node promotes itself.
        milliseconds readerTimeout { 10000 };
        /// Delays a promotion by this for each higher-ranked instance that is not elected either.
        milliseconds promotionDelayPerRank { 250 };
        milliseconds promotionJitter { 3000 }; ///< Upper bound of the random delay added to that.
        /// Upper bound of the random delay of the first call after a start or an election.
        milliseconds firstCallJitter { 5000 };
        double fleetCallsPerSecond = 150; ///< Rate limit of the whole fleet.
        double expectedNodes = 800; ///< Lower bound of the fleet size that the shares are computed from.
        /// Upper bound of the shares that an elected reader may use, its own included.
        double maxSharesPerReader = 4;
        double burstCalls = 3; ///< Burst limit of an elected reader, in calls.
    };

    using random_hook = std::function<double()>;

    reader_election(const options& config, std::string self, random_hook random, milliseconds now);

    /// Updates the role and the call rate of this node from its view of the fleet.
    /// @param zoneInstances the live instances of its zone; may include this one.
    /// @param recentlySeenInZone the number of them that were seen recently, this one included.
    /// @param knownNodes the number of known nodes of the fleet.
    void update(const std::vector<std::string>& zoneInstances, std::size_t recentlySeenInZone,
        std::size_t knownNodes, milliseconds now);

    /// Records that this node was in contact with the platform. Ignored unless it is a reader.
    void recordContact(milliseconds now);

    /// Merges the reader status that a peer relayed.
    void mergeReaderStatus(const reader_status& status, milliseconds now);

    /// @return the status to relay to peers: that of the preferred known reader, this node included.
    reader_status getReaderStatus(milliseconds now) const;

    /// @return whether any reader, this node included, was in contact with the platform within
    /// `readerTimeout`.
    bool hasReader(milliseconds now) const;

    /// @return the readers, this node included, with contact to the platform within `readerTimeout`.
    std::vector<std::string> getReaders(milliseconds now) const;

    /// @return the time since the latest contact of any known reader; nothing if no reader is known.
    std::optional<milliseconds> getTimeSinceContact(milliseconds now) const;

    /// Consumes one call of this node's share.
    /// @return whether this node is a reader and may call now.
    bool tryTakeCallPermit(milliseconds now);

    reader_role getRole() const { return m_role; }

    /// @return the number of calls that this node has made since its start.
    std::uint64_t getCallCount() const { return m_callCount; }

private:
    struct known_reader {
        bool isElected = false;
        milliseconds contactAt;
    };

    std::uint64_t getScore(const std::string& instance) const;
    std::size_t getRank(const std::vector<std::string>& zoneInstances) const;
    bool isPreferred(const std::string& a, const std::string& b) const;
    const std::string* findPreferredReader(milliseconds now, bool includeSelf) const;
    double getShareCount(std::size_t recentlySeenInZone) const;
    void removeStaleReaders(milliseconds now);
    void updatePromotion(std::size_t rank, milliseconds now);

    options m_options;
    std::string m_self;
    random_hook m_random;
    reader_role m_role = reader_role::None;
    std::map<std::string, known_reader> m_knownReaders;
    milliseconds m_noReaderSince;
    milliseconds m_firstCallAt;
    std::optional<milliseconds> m_promoteAt;
    token_bucket m_callBudget;
    std::uint64_t m_callCount = 0;
};

} // namespace fuchsiagauge
