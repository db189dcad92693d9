#include "policy/replica_exchange.h"

#include <algorithm>
#include <utility>

namespace fuchsiagauge {

void replica_exchange::options::limitProofAge(milliseconds revokeTime)
{
    constexpr double contactShare = 0.6; // Of a node in contact, also while its reader is replaced.
    constexpr double reserveShare = 0.06; // For one read of the platform and the ticks of two nodes.
    constexpr double pollWaitShare = 0.12;
    constexpr double answerMarginShare = 0.08;
    if (revokeTime <= milliseconds())
        return;
    pollWait = std::min(pollWait, revokeTime * pollWaitShare);
    answerMargin = std::min(answerMargin, revokeTime * answerMarginShare);
    // A poll of a reader that has been killed ends after the wait and the margin. The proof of the next
    // reader is then at most one interval and one read old.
    proofInterval = revokeTime * (contactShare - reserveShare) - pollWait - answerMargin;
    maxProofAge = revokeTime * (contactShare - reserveShare / 2);
}

replica_exchange::replica_exchange(clock time, const options& config, std::string self, hooks initialHooks)
    : m_time(std::move(time))
    , m_options(config)
    , m_hooks(std::move(initialHooks))
    , m_selector(config.readers, std::move(self))
    , m_startedAt(m_time.now())
{
}

void replica_exchange::setNodes(const std::vector<std::string>& hosts)
{
    m_selector.setNodes(hosts);
    updateRole();
    sendDuePoll();
}

void replica_exchange::applyFromPlatform(const item_changes& changes)
{
    const auto now = m_time.now();
    merge(changes, now);
    updateConnection(now, {});
    answerHeldPolls(now);
}

void replica_exchange::onPlatformReachable()
{
    const auto now = m_time.now();
    if (!m_isPlatformReachable)
        m_platformReachableSince = now;
    m_isPlatformReachable = true;
    onPlatformConfirmed({});
}

void replica_exchange::onPlatformConfirmed(milliseconds ago)
{
    const auto now = m_time.now();
    if (!m_isPlatformReachable)
        return;
    if (now - m_platformConfirmedAt > m_options.readerStaleness)
        m_platformReachableSince = now;
    m_platformConfirmedAt = std::max(m_platformConfirmedAt, now - ago);
    updateConnection(now, {});
    answerHeldPolls(now);
}

milliseconds replica_exchange::onPlatformRead(const platform_read& read)
{
    if (m_replica.isComplete())
        m_proof.onRead(read, m_replica, m_time.now());
    const auto settledAt = m_proof.getSettledAt();
    return read.sentAt < settledAt ? settledAt : read.sentAt + m_options.proofInterval;
}

void replica_exchange::onPlatformUnreachable(const std::string& reason)
{
    const auto now = m_time.now();
    m_isPlatformReachable = false;
    updateConnection(now, reason);
    answerHeldPolls(now);
}

void replica_exchange::answer(const replica_poll& poll, std::function<void(const replica_answer&)> respond)
{
    const auto now = m_time.now();
    if (poll.isOutdated || isBehind(poll))
        m_hooks.onOutdated();
    m_heldPolls.push_back({ poll, now, now + poll.wait, std::move(respond) });
    answerHeldPolls(now);
}

void replica_exchange::reportOutdated()
{
    m_hooks.onOutdated();
    if (m_isReader || m_source.empty())
        return;
    const auto host = m_source;
    m_hooks.sendPoll(host, makePoll(m_options.pollWait, true, false),
        m_options.pollWait + m_options.answerMargin, [this, sentAt = m_time.now()](const auto& answer) {
            if (answer && isPolling())
                mergeAnswer(*answer, sentAt, m_time.now());
        });
}

void replica_exchange::tick()
{
    const auto now = m_time.now();
    publishIfConfirmed(now);
    answerHeldPolls(now);
    checkStaleness(now);
    checkProof(now);
    sendRecheck(now);
    sendDuePoll();
}

void replica_exchange::stop()
{
    m_isStopped = true;
    answerHeldPolls(m_time.now());
}

bool replica_exchange::mustRead() const
{
    return m_selector.isReader() || m_failedPolls >= m_options.maxFailedPolls || m_isSourceStale
        || m_isProofOverdue;
}

/// @return whether this node reads the platform and its items are current.
bool replica_exchange::isReadingIntact(milliseconds now) const
{
    return m_isReader && m_isPlatformReachable && m_replica.isComplete()
        && now - m_platformConfirmedAt <= m_options.readerStaleness;
}

/// Makes this node read by itself if it has not heard for too long that its items are current.
void replica_exchange::checkStaleness(milliseconds now)
{
    if (m_isReader || !m_isPublishing || now - m_sourceConfirmedAt <= m_options.nodeStaleness)
        return;
    m_isSourceStale = true;
    m_isSourceConnected = false;
    updateRole();
}

/// Makes this node read by itself if its source does not prove its items current.
void replica_exchange::checkProof(milliseconds now)
{
    if (!isProving() || m_isReader || !m_isPublishing || now - m_proof.getProvenAt() <= m_options.maxProofAge)
        return;
    // Before that, reading would prove nothing either.
    if (now < m_proof.getSettledAt() + m_options.pollWait + m_options.answerMargin)
        return;
    m_isProofOverdue = true;
    updateRole();
}

bool replica_exchange::isAwaitingRegistrations() const
{
    return !m_isConnected && !m_selector.isListed()
        && m_time.now() - m_startedAt < m_options.registrationTime;
}

void replica_exchange::updateRole()
{
    const bool isReader = mustRead();
    if (isReader == m_isReader)
        return;
    const auto now = m_time.now();
    const bool wasReadingIntact = isReadingIntact(now);
    m_isReader = isReader;
    if (!isReader && wasReadingIntact) {
        // The source has proved to be connected, or its first answer will tell.
        m_isSourceConnected = true;
        m_sourceConnectedSince = std::max(m_sourceConnectedSince, m_platformReachableSince);
        m_sourceConfirmedAt = std::max(m_sourceConfirmedAt, m_platformConfirmedAt);
    }
    m_isPlatformReachable = false;
    m_hooks.onRoleChanged(isReader);
}

/// Merges the changes of an answer and takes over its proof. The proof counts from the time at which the poll
/// was sent, as the answer may have been on its way, or this process suspended, for any time since then.
void replica_exchange::mergeAnswer(const replica_answer& answer, milliseconds sentAt, milliseconds now)
{
    merge(answer.changes, now);
    const bool areContained = m_replica.isComplete() && m_replica.getEpoch() == answer.changes.epoch
        && m_replica.getRevision() >= answer.changes.revision;
    if (!isProving() || !answer.provenAgo || !areContained)
        return;
    const auto provenAt = sentAt + std::min(answer.heldFor, now - sentAt) - *answer.provenAgo;
    m_relayedProvenAt = std::max(m_relayedProvenAt, provenAt);
    m_proof.onRelayed(provenAt, answer.changes.epoch);
}

void replica_exchange::sendDuePoll()
{
    if (m_isPollOpen || !isPolling())
        return;
    const auto source = m_selector.getSource();
    m_source = source.value_or(std::string());
    if (!source) {
        // This node reads by itself then, and finds out whether the platform answers.
        m_isSourceConnected = false;
        m_failedPolls = 0;
        return;
    }
    m_isPollOpen = true;
    // After a failure the next node is only asked for its state, so that this node soon reads by itself if it
    // is cut off from the whole zone.
    const auto wait = m_failedPolls == 0 ? m_options.pollWait : milliseconds();
    m_hooks.sendPoll(*source, makePoll(wait, false, !m_isConnected), wait + m_options.answerMargin,
        [this, host = *source, sentAt = m_time.now()](
            const auto& answer) { onSourceAnswer(host, answer, sentAt); });
}

/// Contacts a node that was unusable, so that it is used again when it has recovered.
void replica_exchange::sendRecheck(milliseconds now)
{
    if (!isPolling())
        return;
    const auto host = m_selector.takeRecheck(now);
    if (!host)
        return;
    m_hooks.sendPoll(*host, makePoll({}, false, false), m_options.answerMargin,
        [this, host = *host, sentAt = now](const auto& answer) {
            if (!isPolling())
                return;
            recordAnswer(host, answer, sentAt, m_time.now());
            updateRole();
        });
}

/// @return whether the node that answered is usable as a source.
bool replica_exchange::recordAnswer(const std::string& host, const std::optional<replica_answer>& answer,
    milliseconds sentAt, milliseconds now)
{
    const bool isUsable
        = answer && answer->isReader && answer->isConnected && answer->changes.epoch >= m_replica.getEpoch();
    m_selector.recordUsable(host, isUsable, now);
    if (answer)
        mergeAnswer(*answer, sentAt, now);
    return isUsable;
}

void replica_exchange::onSourceAnswer(
    const std::string& host, const std::optional<replica_answer>& answer, milliseconds sentAt)
{
    m_isPollOpen = false;
    if (!isPolling())
        return;
    const auto now = m_time.now();
    const bool isUsable = recordAnswer(host, answer, sentAt, now);
    m_isSourceConnected = isUsable;
    m_failedPolls = isUsable ? 0 : m_failedPolls + 1;
    if (isUsable) {
        m_sourceConnectedSince = now - answer->connectedFor;
        m_sourceConfirmedAt = std::max(m_sourceConfirmedAt, now - answer->confirmedAgo);
        m_isSourceStale = now - m_sourceConfirmedAt > m_options.nodeStaleness;
        if (m_isProofOverdue)
            m_isProofOverdue = now - m_relayedProvenAt > m_options.maxProofAge;
    }
    updateRole();
    // Another usable source may still be connected, so the connection does not count as lost before that one
    // has answered.
    if (isUsable)
        updateConnection(now, {});
    sendDuePoll();
}

void replica_exchange::merge(const item_changes& changes, milliseconds now)
{
    const bool wasComplete = m_replica.isComplete();
    const auto epochBefore = m_replica.getEpoch();
    const auto added = m_replica.merge(changes);
    if (wasComplete && m_replica.getEpoch() > epochBefore && m_hooks.onEpochRisen)
        m_hooks.onEpochRisen();
    if (!wasComplete && m_replica.isComplete()) {
        m_completeSince = now;
        m_hooks.onListed(m_replica.getChangesSince(0));
    }
    if (m_isPublishing && (!added.items.empty() || !added.removed.empty()))
        m_hooks.onChanges(added);
    if (m_replica.isComplete())
        m_proof.onMerged(m_replica, now);
    answerHeldPolls(now);
}

/// Starts passing on the items once they are confirmed or can't be confirmed in time.
void replica_exchange::publishIfConfirmed(milliseconds now)
{
    if (m_isPublishing || !m_replica.isComplete())
        return;
    if (!m_isConnected
        && (isAwaitingRegistrations() || now - m_completeSince < m_options.confirmationTimeout))
        return;
    m_isPublishing = true;
    m_proof.forgetEarlierEpochs();
    auto all = m_replica.getChangesSince(0);
    all.isComplete = true;
    m_hooks.onChanges(all);
}

replica_poll replica_exchange::makePoll(milliseconds wait, bool isOutdated, bool isConfirmation) const
{
    return { m_replica.getRevision(), wait, isOutdated, isConfirmation, m_replica.getEpoch() };
}

/// @return whether the asking node knows a higher epoch of the store than this node.
bool replica_exchange::isBehind(const replica_poll& poll) const
{
    return poll.epoch && *poll.epoch > m_replica.getEpoch();
}

bool replica_exchange::hasNews(const replica_poll& poll) const
{
    if (poll.epoch && *poll.epoch != m_replica.getEpoch())
        return m_replica.isComplete() && *poll.epoch < m_replica.getEpoch();
    if (m_replica.getRevision() <= poll.after)
        return false;
    const auto changes = m_replica.getChangesSince(poll.after);
    return changes.isComplete || !changes.items.empty() || !changes.removed.empty();
}

replica_answer replica_exchange::makeAnswer(const held_poll& held, milliseconds now) const
{
    replica_answer answer;
    answer.isReader = m_isReader && !m_isStopped;
    answer.isConnected = isReadingIntact(now);
    answer.connectedFor = answer.isConnected ? now - m_platformReachableSince : milliseconds();
    answer.confirmedAgo = answer.isConnected ? now - m_platformConfirmedAt : milliseconds();
    answer.changes = m_replica.getChangesSince(held.poll.after, held.poll.epoch);
    if (m_proof.getProvenInEpochAt() > freshness_proof::never) {
        answer.provenAgo = std::max(milliseconds(), now - m_proof.getProvenInEpochAt());
        answer.heldFor = now - held.since;
    }
    return answer;
}

/// Answers the polls whose wait is over. While this node is a source connected, it also answers those for
/// which there are changes; once it is none, it answers all, so that the other nodes learn elsewhere.
void replica_exchange::answerHeldPolls(milliseconds now)
{
    const bool isSource = isReadingIntact(now) && !m_isStopped;
    const bool wasSource = std::exchange(m_wasSource, isSource);
    std::list<held_poll> due;
    for (auto item = m_heldPolls.begin(); item != m_heldPolls.end();) {
        const auto current = item++;
        const bool isDue = now >= current->until || m_isStopped || (wasSource && !isSource)
            || isBehind(current->poll)
            || (isSource && (current->poll.isConfirmation || hasNews(current->poll)));
        if (isDue)
            due.splice(due.end(), m_heldPolls, current);
    }
    for (const auto& held : due)
        held.respond(makeAnswer(held, now));
}

/// Reports when the connection to the platform, direct or through a source, is lost or regained.
void replica_exchange::updateConnection(milliseconds now, const std::string& reason)
{
    const bool isConnected = isReadingIntact(now) || m_isSourceConnected;
    if (isConnected == m_isConnected)
        return;
    m_isConnected = isConnected;
    if (!isConnected) {
        m_hooks.onDisconnected(reason);
        return;
    }
    m_hooks.onReconnected(isReadingIntact(now) ? m_platformReachableSince : m_sourceConnectedSince);
    publishIfConfirmed(now);
}

} // namespace fuchsiagauge
