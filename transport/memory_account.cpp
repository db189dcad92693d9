#include "transport/memory_account.h"

#include <algorithm>
#include <tuple>

namespace fuchsiagauge {
namespace {

    /// Taken by the process itself: code, rules, instances, metrics and connections without a request.
    constexpr std::size_t ownBytes = 25165824;
    constexpr std::size_t largestOwnFraction = 2; ///< Of a process with little memory.
    constexpr double requestShare = 0.6; ///< Of what the process itself leaves.
    constexpr double reserveShare = 0.0625;
    constexpr std::size_t responseFraction = 4; ///< Of the whole memory.
    /// A large request may take this many times what is still free, so that the largest ones wait first.
    constexpr std::size_t freeMultiple = 8;
    constexpr std::size_t givenUpFraction = 8; ///< Of the holders, at most, in one step.

} // namespace

memory_shares makeMemoryShares(std::size_t processBytes)
{
    const auto usable
        = static_cast<double>(processBytes - std::min(ownBytes, processBytes / largestOwnFraction));
    memory_shares shares;
    shares.requestBytes = static_cast<std::size_t>(usable * requestShare);
    shares.reserveBytes = static_cast<std::size_t>(usable * reserveShare);
    shares.responseBytes = processBytes / responseFraction;
    return shares;
}

memory_account::memory_account(memory_shares shares)
    : m_shares(shares)
    , m_responses(std::make_shared<receive_memory>(shares.responseBytes))
{
}

bool memory_account::fits(const memory_holder& holder) const
{
    const auto size = holder.m_size;
    const auto limit = m_shares.requestBytes;
    if (!holder.m_isLarge && size <= m_shares.smallRequestBytes)
        return m_requestBytes < limit + m_shares.reserveBytes;
    return m_requestBytes < limit && size <= freeMultiple * (limit - m_requestBytes);
}

bool memory_account::mayRead(memory_holder& holder, milliseconds now)
{
    if (holder.m_sequence == 0)
        holder.m_sequence = ++m_lastSequence;
    if (fits(holder))
        return true;
    if (!holder.m_isWaiting) {
        holder.m_isWaiting = true;
        holder.m_waitingSince = now;
        if (holder.m_bytes == 0)
            holder.m_startedAt = now;
        m_waiting.insert(&holder);
    }
    return false;
}

void memory_account::track(std::unordered_set<memory_holder*>& holders, memory_holder& holder,
    std::size_t movedBytes, milliseconds now) const
{
    if (holders.insert(&holder).second) {
        holder.m_startedAt = now;
        holder.m_progressAt = now;
        holder.m_movedBytes = 0;
    }
    holder.m_movedBytes += movedBytes;
    if (holder.m_movedBytes >= m_shares.progressBytes) {
        holder.m_movedBytes = 0;
        holder.m_progressAt = now;
    }
}

void memory_account::updateReceiving(memory_holder& holder, std::size_t bytes, std::size_t otherBytes,
    std::size_t movedBytes, milliseconds now)
{
    m_requestBytes += bytes - holder.m_bytes;
    holder.m_bytes = bytes;
    holder.m_size = bytes + otherBytes;
    if (bytes > 0)
        track(m_receiving, holder, movedBytes, now);
    else if (!m_receiving.empty())
        m_receiving.erase(&holder);
}

void memory_account::endReceiving(memory_holder& holder)
{
    m_requestBytes -= holder.m_bytes;
    holder.m_bytes = 0;
    holder.m_size = 0;
    holder.m_isWaiting = false;
    m_receiving.erase(&holder);
    m_waiting.erase(&holder);
}

void memory_account::updateSending(
    memory_holder& holder, std::size_t bytes, std::size_t movedBytes, milliseconds now)
{
    m_responses->hold(holder.m_bytes, bytes);
    holder.m_bytes = bytes;
    if (bytes > 0)
        track(m_sending, holder, movedBytes, now);
    else
        m_sending.erase(&holder);
}

void memory_account::tick(milliseconds now)
{
    if (!m_waiting.empty()) {
        resumeWaiting(now);
        giveUpReceiving(now);
    }
    if (!m_sending.empty())
        giveUpSending(now);
}

void memory_account::resumeWaiting(milliseconds now)
{
    std::vector<memory_holder*> resumed;
    for (auto* holder : m_waiting) {
        if (fits(*holder))
            resumed.push_back(holder);
    }
    std::sort(resumed.begin(), resumed.end(), [](const auto* a, const auto* b) {
        return std::tie(a->m_waitingSince, a->m_sequence) < std::tie(b->m_waitingSince, b->m_sequence);
    });
    for (auto* holder : resumed) {
        // An earlier one of these may have closed its connection.
        if (m_waiting.erase(holder) == 0)
            continue;
        holder->m_isWaiting = false;
        holder->m_progressAt = now;
        holder->m_movedBytes = 0;
        holder->resume();
    }
}

memory_holder* memory_account::findLongestStalled(
    const std::unordered_set<memory_holder*>& holders, milliseconds now) const
{
    memory_holder* found = nullptr;
    for (auto* holder : holders) {
        if (!holder->m_isWaiting && now - holder->m_progressAt >= m_shares.stallTime
            && (!found
                || std::tie(holder->m_progressAt, holder->m_sequence)
                    < std::tie(found->m_progressAt, found->m_sequence)))
            found = holder;
    }
    return found;
}

memory_holder* memory_account::findNewestWaiting() const
{
    memory_holder* found = nullptr;
    for (auto* holder : m_waiting) {
        if (holder->m_bytes > 0
            && (!found
                || std::tie(holder->m_startedAt, holder->m_sequence)
                    > std::tie(found->m_startedAt, found->m_sequence)))
            found = holder;
    }
    return found;
}

bool memory_account::canAnyResume() const
{
    return std::any_of(
        m_waiting.begin(), m_waiting.end(), [this](const auto* holder) { return fits(*holder); });
}

void memory_account::giveUpReceiving(milliseconds now)
{
    const bool isOverdue = std::any_of(m_waiting.begin(), m_waiting.end(),
        [&](const auto* holder) { return now - holder->m_waitingSince >= m_shares.waitTime; });
    if (!isOverdue)
        return;
    auto left = m_receiving.size() / givenUpFraction + 1;
    while (left-- > 0 && !m_waiting.empty() && !canAnyResume()) {
        auto* found = findLongestStalled(m_receiving, now);
        if (!found)
            found = findNewestWaiting();
        if (!found)
            return;
        found->giveUp();
    }
}

void memory_account::giveUpSending(milliseconds now)
{
    auto left = m_sending.size();
    while (left-- > 0 && m_responses->isMostlyHeld()) {
        auto* found = findLongestStalled(m_sending, now);
        if (!found)
            return;
        found->giveUp();
    }
}

} // namespace fuchsiagauge
