#include "policy/freshness_proof.h"

#include <algorithm>

namespace fuchsiagauge {

void freshness_proof::onRead(const platform_read& read, std::uint64_t replicaRevision)
{
    if (read.revision <= replicaRevision)
        m_provenAt = std::max(m_provenAt, read.sentAt);
    else
        m_pending = read;
}

void freshness_proof::onRelayed(milliseconds provenAt) { m_provenAt = std::max(m_provenAt, provenAt); }

void freshness_proof::onMerged(std::uint64_t replicaRevision)
{
    if (!m_pending || m_pending->revision > replicaRevision)
        return;
    m_provenAt = std::max(m_provenAt, m_pending->sentAt);
    m_pending.reset();
}

} // namespace fuchsiagauge
