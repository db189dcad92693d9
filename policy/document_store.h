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

/// Identifies one version of a published document.
struct document_version {
    std::uint64_t revision = 0; ///< 0 if there is no document.
    std::string digest; ///< Digest of the document's bytes; empty if unknown.

    /// Orders by revision, then by digest. The digest breaks the tie between two documents with the same
    /// revision in the same way on every node.
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

/// Holds one published document and decides which offered versions replace it.
///
/// The version never decreases. Since the platform may serve a stale document, its documents are deferred
/// while a peer advertises a newer version, or while a node that has just started waits for its peers. This
/// wait is bounded.
class document_store {
public:
    /// Callbacks into the owner.
    struct hooks {
        /// Validates a document and applies it.
        /// @return whether the document was valid; if not, getLastError() holds the reason.
        std::function<bool(const document_version&, const std::string& text)> adopt;
        std::function<void(audit_event event, const std::string& detail, const std::string& cause)> audit;
    };

    /// @param peerWaitLimit longest time for which a document from the platform is deferred.
    /// @param maxBytes size limit of a document, in bytes.
    document_store(milliseconds peerWaitLimit, std::size_t maxBytes, hooks callbacks);

    /// Starts deferring documents from the platform until a peer has sent its versions. Called after a start
    /// or a pause.
    void beginStartupWait(milliseconds now);

    /// Ends the wait of beginStartupWait(): a peer has sent its versions.
    void endStartupWait(milliseconds now);

    /// Offers a document that was received from the platform.
    void offerFromPlatform(std::uint64_t revision, std::string text, milliseconds now);

    /// Offers a document that was received from a peer.
    /// @param version the version that the peer sent; a text with another digest is rejected.
    /// @return whether the text is within the size limit and matches the digest of the version.
    bool offerFromPeer(
        const document_version& version, const std::string& text, const std::string& peer, milliseconds now);

    /// Records a version that a peer advertised, or a revision that was seen on a call.
    void recordAdvertisedVersion(
        const document_version& version, const std::string& source, milliseconds now);

    /// Adopts the deferred document once its wait is over.
    void tick(milliseconds now);

    /// @return whether a version is newer than the current one and was not refused before.
    bool isAdoptable(const document_version& version) const;

    const document_version& getVersion() const { return m_version; }
    const std::string& getText() const { return m_text; }

    /// @return the chunk hashes of the current document.
    const std::vector<std::uint64_t>& getChunkHashes();

    /// @return the newest advertised version; revision 0 if none.
    const document_version& getAdvertisedVersion() const { return m_advertised; }

    /// @return where the newest advertised version was seen; empty if none was.
    const std::string& getAdvertisedBy() const { return m_advertisedBy; }

    /// @return whether an adoptable version newer than the current one was advertised.
    bool isBehind() const { return isAdoptable(m_advertised); }

    /// @return whether another document with the current revision was seen.
    bool hasConflict() const { return m_hasConflict; }

    /// @return version and reason of the last refused document; empty if none was refused.
    const std::string& getLastRefusal() const { return m_lastRefusal; }

    /// @return the number of documents adopted since the start.
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
