#pragma once

#include "core/clock.h"
#include "transport/receive_memory.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_set>
#include <utility>
#include <vector>

namespace fuchsiagauge {

/// The shares of the process' memory, and when a holder of memory has made too little progress.
struct memory_shares {
    std::size_t requestBytes = 0; ///< Requests, from their first byte to their response.
    std::size_t reserveBytes = 0; ///< In addition, for requests of at most `smallRequestBytes`.
    std::size_t responseBytes = 0; ///< Responses, until their clients have read them.
    std::size_t smallRequestBytes = 65536;
    /// A holder that moves fewer than `progressBytes` in this time is stalled.
    milliseconds stallTime { 2000 };
    std::size_t progressBytes = 4096;
    milliseconds waitTime { 1000 }; ///< Back-pressure lasts for this time before a holder is given up.
};

/// @return the shares of a process that may use `processBytes`.
memory_shares makeMemoryShares(std::size_t processBytes);

/// What one direction of a connection holds while its progress depends on the remote side.
class memory_holder {
public:
    virtual ~memory_holder() = default;

    /// Continues after memory_account::mayRead() has refused.
    virtual void resume() = 0;

    /// Frees the memory: refuses the request that is being received, or closes the connection.
    virtual void giveUp() = 0;

    /// Sets whether the request is known to be larger than a small one, so that the reserve is not for it.
    void setLarge(bool isLarge) { m_isLarge = isLarge; }

private:
    friend class memory_account;
    std::size_t m_bytes = 0; ///< Counted in the account.
    std::size_t m_size = 0; ///< With the requests of the same connection that wait for a response.
    std::size_t m_movedBytes = 0; ///< Since `m_progressAt`.
    milliseconds m_startedAt;
    milliseconds m_progressAt;
    milliseconds m_waitingSince;
    std::uint64_t m_sequence
        = 0; ///< Order of the first reads; decides between holders that are equal otherwise.
    bool m_isLarge = false;
    bool m_isWaiting = false;
};

/// The account of all bytes that a process holds for clients, other nodes and the instance.
///
/// When the share of requests is used up, the largest requests wait first: reading from their connections
/// stops. If that does not help for `waitTime`, holders that are stalled although they may move are given up,
/// the longest stalled first. If there is none, of those that wait the one that has been received for the
/// shortest time is given up. A slow client that keeps sending is neither.
class memory_account {
public:
    explicit memory_account(memory_shares shares);

    /// @return the account of responses, which shares this account's lifetime.
    const std::shared_ptr<receive_memory>& getResponses() const { return m_responses; }

    /// Asks before each read.
    /// @return whether the holder may read more; if not, resume() is called when it may.
    bool mayRead(memory_holder& holder, milliseconds now);

    /// Updates what a request that is being received takes.
    /// @param bytes its memory; 0 when the request is complete.
    /// @param otherBytes memory of the requests of the same connection that wait for a response.
    /// @param movedBytes bytes received since the last update.
    void updateReceiving(memory_holder& holder, std::size_t bytes, std::size_t otherBytes,
        std::size_t movedBytes, milliseconds now);

    /// Forgets a request that is no longer received.
    void endReceiving(memory_holder& holder);

    /// Updates what responses take that wait for their client to read them. They count in getResponses().
    /// @param bytes 0 if all is sent.
    /// @param movedBytes bytes sent since the last update.
    void updateSending(memory_holder& holder, std::size_t bytes, std::size_t movedBytes, milliseconds now);

    /// Accounts for requests that have been received.
    void add(std::size_t bytes) { m_requestBytes += bytes; }
    void remove(std::size_t bytes) { m_requestBytes -= bytes; }

    /// Resumes holders that wait and gives up those with the least progress. To be called every few ms.
    void tick(milliseconds now);

    /// @return the bytes of requests and responses.
    std::size_t getUsed() const { return m_requestBytes + m_responses->getUsed(); }

    std::size_t getRequestBytes() const { return m_requestBytes; }
    std::size_t getWaitingCount() const { return m_waiting.size(); }

private:
    bool fits(const memory_holder& holder) const;
    void track(std::unordered_set<memory_holder*>& holders, memory_holder& holder, std::size_t movedBytes,
        milliseconds now) const;
    void resumeWaiting(milliseconds now);
    void giveUpReceiving(milliseconds now);
    void giveUpSending(milliseconds now);
    memory_holder* findLongestStalled(
        const std::unordered_set<memory_holder*>& holders, milliseconds now) const;
    memory_holder* findNewestWaiting() const;
    bool canAnyResume() const;

    memory_shares m_shares;
    std::shared_ptr<receive_memory> m_responses;
    std::size_t m_requestBytes = 0;
    std::uint64_t m_lastSequence = 0;
    std::unordered_set<memory_holder*> m_receiving;
    std::unordered_set<memory_holder*> m_sending;
    std::unordered_set<memory_holder*> m_waiting; ///< Part of `m_receiving`, or holding nothing yet.
};

/// The memory of one request in a memory_account, until the end of its life.
class memory_charge {
public:
    memory_charge() = default;
    memory_charge(std::shared_ptr<memory_account> account, std::size_t bytes)
        : m_account(std::move(account))
        , m_bytes(bytes)
    {
        if (m_account)
            m_account->add(m_bytes);
    }
    ~memory_charge()
    {
        if (m_account)
            m_account->remove(m_bytes);
    }
    memory_charge(const memory_charge&) = delete;
    memory_charge& operator=(const memory_charge&) = delete;
    memory_charge(memory_charge&& other) noexcept
        : m_account(std::move(other.m_account))
        , m_bytes(other.m_bytes)
    {
    }
    memory_charge& operator=(memory_charge&& other) noexcept
    {
        std::swap(m_account, other.m_account);
        std::swap(m_bytes, other.m_bytes);
        return *this;
    }

    std::size_t getBytes() const { return m_bytes; }

private:
    std::shared_ptr<memory_account> m_account;
    std::size_t m_bytes = 0;
};

} // namespace fuchsiagauge
