#include "policy/freshness_proof.h"

#include <algorithm>

namespace fuchsiagauge {

void freshness_proof::onRead(const platform_read& read, const item_replica& replica, milliseconds now)
{
    enterEpoch(read.epoch, now);
    if (read.epoch < m_epoch || read.sentAt < m_settledAt)
        return;
    if (read.epoch == replica.getEpoch() && read.revision <= replica.getRevision())
        onRelayed(read.sentAt, read.epoch);
    else
        m_pending = read;
}

void freshness_proof::onRelayed(milliseconds provenAt, std::uint64_t epoch)
{
    m_provenAt = std::max(m_provenAt, provenAt);
    // A read may have shown a higher epoch than the one that the replica has reached.
    if (epoch == m_epoch)
        m_provenInEpochAt = std::max(m_provenInEpochAt, provenAt);
}

void freshness_proof::onMerged(const item_replica& replica, milliseconds now)
{
    enterEpoch(replica.getEpoch(), now);
    if (!m_pending || m_pending->epoch != replica.getEpoch() || m_pending->revision > replica.getRevision())
        return;
    onRelayed(m_pending->sentAt, m_pending->epoch);
    m_pending.reset();
}

void freshness_proof::enterEpoch(std::uint64_t epoch, milliseconds now)
{
    if (epoch <= m_epoch)
        return;
    m_epoch = epoch;
    m_settledAt = now + settleTime;
    m_provenInEpochAt = never;
    m_pending.reset();
}

} // namespace fuchsiagauge
