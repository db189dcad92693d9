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

/// Word of a node that was in touch with the platform, passed on from peer to peer.
struct reader_status {
    std::string instance; ///< Empty: none.
    bool isElected = false; ///< Whether it reads by election, not by self-promotion.
    milliseconds age; ///< Since it was last in touch with the platform.

    friend bool operator==(const reader_status& a, const reader_status& b)
    {
        return std::tie(a.instance, a.isElected, a.age) == std::tie(b.instance, b.isElected, b.age);
    }
    friend bool operator!=(const reader_status& a, const reader_status& b) { return !(a == b); }
};

/// Why a node reads the platform.
enum class reader_role {
    None,
    Elected, ///< Among the first of its zone, by its own view.
    Promoted, ///< No reader was heard of for too long.
};

/// Decides whether this node reads the platform, and how often it may.
///
/// The readers of a zone are the first by rendezvous hash over the living instances of the zone. Any view,
/// right or wrong, can make a node a reader, so every node's calls stay under its share of the fleet's rate.
/// An elected node speaks for the nodes of its zone that it heard of, and has their shares too, up to a
/// bound: `fleetCallsPerSecond` holds in all while views agree, `maxSharesPerReader` times that under any
/// views.
class reader_election {
public:
    struct options {
        std::size_t readersPerZone = 2;
        milliseconds readerTimeout { 10000 }; ///< Silence of all readers after which a node promotes itself.
        milliseconds promotionDelayPerRank {
            250
        }; ///< Delay of a promotion for each instance ahead in the zone.
        milliseconds promotionJitter { 3000 }; ///< Longest random delay beside that.
        milliseconds firstCallJitter { 5000 }; ///< Longest random delay of the first call after the start.
        double fleetCallsPerSecond = 150; ///< Bound for all nodes together.
        double expectedNodes = 800; ///< Least fleet size that is assumed.
        double maxSharesPerReader = 4; ///< Shares of other nodes that an elected reader may use, at most.
        double burstCalls = 3; ///< Calls that an elected reader may make at once.
    };

    using random_hook = std::function<double()>;

    reader_election(const options& config, std::string self, random_hook random, milliseconds now);

    /// Decides anew.
    /// @param zoneInstances the living instances of the own zone, this one included or not.
    /// @param recentlySeenInZone how many of them were heard of lately, this one included.
    /// @param knownNodes nodes of the fleet that are known.
    void update(const std::vector<std::string>& zoneInstances, std::size_t recentlySeenInZone,
        std::size_t knownNodes, milliseconds now);

    /// Records that this node was in touch with the platform.
    void noteContact(milliseconds now);

    /// Takes what a peer passed on.
    void noteReaderStatus(const reader_status& status, milliseconds now);

    /// @return the word to pass on: the first among the readers heard of, this node included.
    reader_status getReaderStatus(milliseconds now) const;

    /// @return whether any reader, this node included, was in touch lately.
    bool hasReader(milliseconds now) const;

    /// @return the readers heard of lately, this node included.
    std::vector<std::string> getReaders(milliseconds now) const;

    /// @return how long ago any known reader was in touch; nothing if never.
    std::optional<milliseconds> getTimeSinceContact(milliseconds now) const;

    /// Takes one call from the node's share.
    /// @return whether this node reads and may call now.
    bool tryTakeCall(milliseconds now);

    reader_role getRole() const { return m_role; }

    /// @return calls that this node made since its start.
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
