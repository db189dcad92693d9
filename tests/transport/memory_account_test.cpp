#include "transport/memory_account.h"

#include <memory>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

constexpr std::size_t megabyte = 1048576;
constexpr std::size_t requestLimit = 8 * megabyte;
constexpr std::size_t reserve = megabyte;
constexpr std::size_t stepBytes = 8192;
constexpr std::size_t smallBytes = 65536;

/// A request that is received in virtual time.
class sender : public memory_holder {
public:
    sender(memory_account& account, std::size_t totalBytes)
        : m_account(account)
        , m_totalBytes(totalBytes)
    {
        setLarge(totalBytes > smallBytes);
    }
    ~sender() override { m_account.endReceiving(*this); }

    void resume() override { m_isWaiting = false; }
    void giveUp() override
    {
        isGivenUp = true;
        bytes = 0;
        if (isReading)
            m_account.updateSending(*this, 0, 0, milliseconds());
        else
            m_account.endReceiving(*this);
    }

    /// Sends up to a number of bytes, as far as they are read.
    void send(milliseconds now, std::size_t count)
    {
        while (count > 0 && !isGivenUp && !m_isWaiting && bytes < m_totalBytes) {
            m_isWaiting = !m_account.mayRead(*this, now);
            if (m_isWaiting)
                return;
            const auto step = std::min({ count, stepBytes, m_totalBytes - bytes });
            bytes += step;
            count -= step;
            m_account.updateReceiving(*this, bytes, 0, step, now);
        }
    }

    std::size_t bytes = 0;
    bool isGivenUp = false;
    bool isReading = false; ///< Reads responses instead.

private:
    memory_account& m_account;
    std::size_t m_totalBytes;
    bool m_isWaiting = false;
};

memory_shares makeShares()
{
    memory_shares shares;
    shares.requestBytes = requestLimit;
    shares.reserveBytes = reserve;
    shares.responseBytes = megabyte;
    return shares;
}

} // namespace

TEST_GROUP(memory_account)
{
    memory_account account { makeShares() };
    std::vector<std::unique_ptr<sender>> senders;
    milliseconds now { 1000 };
    std::size_t mostUsed = 0;

    sender& add(std::size_t totalBytes)
    {
        senders.push_back(std::make_unique<sender>(account, totalBytes));
        return *senders.back();
    }

    /// Lets all senders send for a time, each a number of bytes a step of 20 ms.
    void run(int steps, std::size_t bytesPerStep)
    {
        for (int step = 0; step < steps; ++step) {
            now = now + milliseconds(20);
            for (auto& entry : senders)
                entry->send(now, bytesPerStep);
            mostUsed = std::max(mostUsed, account.getUsed());
            account.tick(now);
        }
    }
};

// A single upload of the largest legal size needs almost the whole share.
TEST(memory_account, receivesASingleLargeRequest)
{
    const auto shares = makeMemoryShares(160 * megabyte);
    CHECK(shares.requestBytes + shares.reserveBytes + shares.responseBytes < 160 * megabyte);
    memory_account deployed(shares);
    sender upload(deployed, 64 * megabyte);
    upload.send(now, 64 * megabyte);
    CHECK_EQUAL(64 * megabyte, upload.bytes);
}

// 60 clients that stop just short of their end took as much memory as they sent.
TEST(memory_account, keepsManyStoppedRequestsWithinTheLimit)
{
    for (int index = 0; index < 60; ++index)
        add(4 * megabyte);
    run(1000, 65536);
    CHECK(mostUsed <= requestLimit + reserve);
    CHECK(add(stepBytes).bytes == 0);
    senders.back()->send(now, stepBytes);
    CHECK_EQUAL(stepBytes, senders.back()->bytes);
}

// Small requests get through while large ones wait for memory.
TEST(memory_account, keepsAReserveForSmallRequests)
{
    for (int index = 0; index < 60; ++index)
        add(4 * megabyte);
    run(20, 1048576);
    CHECK(account.getWaitingCount() > 0);
    auto& small = add(smallBytes);
    small.send(now, smallBytes);
    CHECK_EQUAL(smallBytes, small.bytes);
}

// Age alone must not decide: the slow upload began first and has sent the least in each second.
TEST(memory_account, keepsASlowUploadAndGivesUpStoppedOnes)
{
    auto slow = std::make_unique<sender>(account, 512 * 1024);
    for (int index = 0; index < 30; ++index)
        add(megabyte);
    for (int step = 0; step < 1600; ++step) {
        slow->send(now, step % 10 == 0 ? 4096 : 0);
        run(1, 65536);
    }
    CHECK_FALSE(slow->isGivenUp);
    CHECK_EQUAL(static_cast<std::size_t>(512) * 1024, slow->bytes);
}

// Requests that only wait because they are not read are not stalled; the one that began last is given up.
TEST(memory_account, givesUpTheNewestOfThoseThatWait)
{
    auto& first = add(16 * megabyte);
    run(20, megabyte);
    auto& second = add(16 * megabyte);
    run(20, megabyte);
    CHECK_FALSE(first.isGivenUp);
    CHECK_FALSE(second.isGivenUp);
    run(100, megabyte);
    CHECK(second.isGivenUp);
}

// Memory that requests in progress hold is returned with them.
TEST(memory_account, resumesWhenARequestHasEnded)
{
    auto charged = std::make_shared<memory_account>(makeShares());
    {
        const memory_charge charge(charged, requestLimit + reserve);
        sender waiting(*charged, stepBytes);
        waiting.send(now, stepBytes);
        CHECK_EQUAL(0U, waiting.bytes);
        CHECK_EQUAL(1U, charged->getWaitingCount());
    }
    CHECK_EQUAL(0U, charged->getUsed());
    CHECK_EQUAL(0U, charged->getWaitingCount());
    sender next(*charged, stepBytes);
    next.send(now, stepBytes);
    CHECK_EQUAL(stepBytes, next.bytes);
}

// Clients that never read their responses blocked all requests of others.
TEST(memory_account, givesUpReadersThatNeverRead)
{
    sender idle(account, 0);
    sender reading(account, 0);
    idle.isReading = true;
    reading.isReading = true;
    account.updateSending(idle, megabyte / 2, 0, now);
    account.updateSending(reading, megabyte / 2, 0, now);
    CHECK(account.getResponses()->isMostlyHeld());
    now = now + milliseconds(2000);
    account.updateSending(reading, megabyte / 2 - 8192, 8192, now);
    account.tick(now);
    CHECK(idle.isGivenUp);
    CHECK_FALSE(reading.isGivenUp);
    account.updateSending(reading, 0, 0, now);
}
