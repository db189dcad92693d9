#include "policy/document_store.h"

#include "core/digest.h"
#include "core/error.h"
#include "policy/document_delta.h"

#include <algorithm>
#include <utility>

namespace fuchsiagauge {
namespace {

    constexpr std::size_t maxRefusedVersions = 16;

    /// An advertised version that was not advertised again for this long can be replaced by an older one.
    constexpr milliseconds advertisementLifetime { 30000 };

    std::string describe(const document_version& version)
    {
        return "revision " + std::to_string(version.revision) + " digest " + version.digest;
    }

} // namespace

document_store::document_store(milliseconds peerWaitLimit, std::size_t maxBytes, hooks callbacks)
    : m_peerWaitLimit(peerWaitLimit)
    , m_maxBytes(maxBytes)
    , m_hooks(std::move(callbacks))
{
}

void document_store::beginStartupWait(milliseconds now) { m_startupWaitEndsAt = now + m_peerWaitLimit; }

void document_store::endStartupWait(milliseconds now)
{
    m_startupWaitEndsAt = std::min(m_startupWaitEndsAt, now);
    tick(now);
}

void document_store::offerFromPlatform(std::uint64_t revision, std::string text, milliseconds now)
{
    const document_version version { revision, computeDigest(text) };
    checkConflict(version, "the platform");
    if (!isAdoptable(version))
        return;
    if (!mustWaitForPeers(version, now)) {
        adopt(version, text, "the platform");
        return;
    }
    if (!m_deferred || m_deferred->version < version)
        m_deferred = deferred_document { version, std::move(text) };
}

bool document_store::offerFromPeer(
    const document_version& version, const std::string& text, const std::string& peer, milliseconds)
{
    if (text.size() > m_maxBytes || computeDigest(text) != version.digest)
        return false;
    checkConflict(version, "peer " + peer);
    if (isAdoptable(version))
        adopt(version, text, "peer " + peer);
    return true;
}

void document_store::recordAdvertisedVersion(
    const document_version& version, const std::string& source, milliseconds now)
{
    if (!version.digest.empty())
        checkConflict(version, source);
    const bool hasExpired = now - m_advertisedAt > advertisementLifetime;
    if (!isAdoptable(version) || (version < m_advertised && !hasExpired))
        return;
    if (!isBehind())
        m_behindSince = now;
    m_advertisedAt = now;
    m_advertised = version;
    m_advertisedBy = source;
}

void document_store::tick(milliseconds now)
{
    if (!m_deferred)
        return;
    if (!isAdoptable(m_deferred->version)) {
        m_deferred.reset();
        return;
    }
    if (mustWaitForPeers(m_deferred->version, now))
        return;
    const auto document = std::move(*m_deferred);
    m_deferred.reset();
    adopt(document.version, document.text, "the platform, after the wait for peers");
}

bool document_store::isAdoptable(const document_version& version) const
{
    if (!(m_version < version))
        return false;
    return std::find(m_refused.begin(), m_refused.end(), version) == m_refused.end();
}

const std::vector<std::uint64_t>& document_store::getChunkHashes()
{
    if (m_chunkHashes.empty() && !m_text.empty())
        m_chunkHashes = hashChunks(m_text);
    return m_chunkHashes;
}

bool document_store::mustWaitForPeers(const document_version& version, milliseconds now) const
{
    if (now < m_startupWaitEndsAt)
        return true;
    return isBehind() && version < m_advertised && now - m_behindSince < m_peerWaitLimit;
}

void document_store::adopt(
    const document_version& version, const std::string& text, const std::string& source)
{
    if (text.size() > m_maxBytes) {
        refuse(version, "larger than " + std::to_string(m_maxBytes) + " bytes", source);
        return;
    }
    if (!m_hooks.adopt(version, text)) {
        refuse(version, getLastError().detail, source);
        return;
    }
    if (version.revision > m_version.revision)
        m_hasConflict = false;
    m_version = version;
    m_text = text;
    m_chunkHashes.clear();
    ++m_adoptionCount;
    m_hooks.audit(audit_event::ConfigurationAdopted, describe(version), "offered by " + source);
}

void document_store::refuse(
    const document_version& version, const std::string& reason, const std::string& source)
{
    if (m_refused.size() >= maxRefusedVersions)
        m_refused.erase(m_refused.begin());
    m_refused.push_back(version);
    m_lastRefusal = describe(version) + ": " + reason;
    m_hooks.audit(audit_event::ConfigurationRefused, describe(version), reason + "; offered by " + source);
}

void document_store::checkConflict(const document_version& version, const std::string& source)
{
    const bool isConflict = version.revision != 0 && version.revision == m_version.revision
        && version.digest != m_version.digest;
    if (!isConflict || m_hasConflict)
        return;
    m_hasConflict = true;
    m_hooks.audit(audit_event::DocumentConflict, "revision " + std::to_string(version.revision),
        "digest " + version.digest + " from " + source + ", digest " + m_version.digest
            + " is current; every node adopts the higher digest");
}

} // namespace fuchsiagauge
