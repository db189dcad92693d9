#pragma once

#include "core/audit_trail.h"
#include "core/clock.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace fuchsiagauge {

/// Revision and digest of a published document.
struct document_version {
    std::uint64_t revision = 0; ///< 0: none.
    std::string digest; ///< Digest of the bytes; empty: not known.

    /// Of two revisions the higher is newer; of two documents with one revision, the higher digest.
    friend bool operator<(const document_version& a, const document_version& b)
    {
        return std::tie(a.revision, a.digest) < std::tie(b.revision, b.digest);
    }
    friend bool operator==(const document_version& a, const document_version& b)
    {
        return std::tie(a.revision, a.digest) == std::tie(b.revision, b.digest);
    }
    friend bool operator!=(const document_version& a, const document_version& b) { return !(a == b); }
};

/// Holds one published document and decides which offered ones are adopted.
///
/// Versions only rise. A document from the platform, which may be stale, waits while a peer has shown a
/// newer one, or while the node has just started and asks its peers; the wait is bounded.
class document_store {
public:
    /// What varies.
    struct hooks {
        /// Checks a document and puts it in force.
        /// @return whether it was good; the reason is left in getLastError().
        std::function<bool(const document_version&, const std::string& text)> adopt;
        std::function<void(audit_event event, const std::string& detail, const std::string& cause)> audit;
    };

    /// Makes an empty store.
    /// @param peerWaitLimit longest wait for what peers have shown.
    /// @param maxBytes largest document.
    document_store(milliseconds peerWaitLimit, std::size_t maxBytes, hooks callbacks);

    /// Begins the wait of a node that has just started.
    void beginStartupWait(milliseconds now);

    /// Ends that wait: the peers have been asked.
    void endStartupWait(milliseconds now);

    /// Takes a document that the platform gave.
    void offerFromPlatform(std::uint64_t revision, std::string text, milliseconds now);

    /// Takes a document that a peer gave.
    /// @param version version that the peer stated; a text of another digest is refused.
    /// @return whether the text belongs to the version.
    bool offerFromPeer(
        const document_version& version, const std::string& text, const std::string& peer, milliseconds now);

    /// Records the version that a peer or a call has shown.
    void noteAdvertisedVersion(const document_version& version, const std::string& source, milliseconds now);

    /// Adopts a document whose wait is over.
    void tick(milliseconds now);

    /// @return whether a version is newer than the one in force and was not refused.
    bool isAdoptable(const document_version& version) const;

    const document_version& getVersion() const { return m_version; }
    const std::string& getText() const { return m_text; }

    /// @return the chunk hashes of the document in force.
    const std::vector<std::uint64_t>& getChunkHashes();

    /// @return the newest version shown, and by whom; revision 0 if none.
    const document_version& getAdvertisedVersion() const { return m_advertised; }
    const std::string& getAdvertisedBy() const { return m_advertisedBy; }

    /// @return whether a newer version was shown than the one in force.
    bool isBehind() const { return isAdoptable(m_advertised); }

    /// @return whether two documents with the revision in force were seen.
    bool hasConflict() const { return m_hasConflict; }

    /// @return why the last refused document was refused; empty if none was.
    const std::string& getLastRefusal() const { return m_lastRefusal; }

    /// @return documents adopted since the start.
    std::uint64_t getAdoptionCount() const { return m_adoptionCount; }

private:
    struct deferred_document {
        document_version version;
        std::string text;
    };

    bool mustWaitForPeers(const document_version& version, milliseconds now) const;
    void adopt(const document_version& version, const std::string& text, const std::string& source);
    void refuse(const document_version& version, const std::string& reason, const std::string& source);
    void checkConflict(const document_version& version, const std::string& source);

    milliseconds m_peerWaitLimit;
    std::size_t m_maxBytes;
    hooks m_hooks;
    document_version m_version;
    std::string m_text;
    std::vector<std::uint64_t> m_chunkHashes;
    std::optional<deferred_document> m_deferred;
    milliseconds m_startupWaitEndsAt { 0 };
    document_version m_advertised;
    std::string m_advertisedBy;
    milliseconds m_advertisedAt { 0 };
    milliseconds m_behindSince { 0 };
    std::vector<document_version> m_refused;
    std::string m_lastRefusal;
    std::uint64_t m_adoptionCount = 0;
    bool m_hasConflict = false;
};

} // namespace fuchsiagauge
