#include "policy/slot_gate.h"

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

/// Records the decisions of a gate.
struct recorded_decisions {
    std::vector<std::uint64_t> started;
    std::map<std::uint64_t, error_kind> refused;

    slot_gate::decision_hook makeHook(std::uint64_t id)
    {
        return [this, id](std::optional<error_kind> refusal) {
            if (refusal)
                refused.emplace(id, *refusal);
            else
                started.push_back(id);
        };
    }
};

constexpr milliseconds longWait { 100000 };

/// Simulates requests that each make five sequential calls at one gate, in steps of 1 ms. The load is 1.5
/// times the gate's capacity.
class overloaded_chains {
public:
    explicit overloaded_chains(bool isRanked)
        : m_isRanked(isRanked)
    {
        m_gate.setSlots(slots, m_now);
    }

    /// @return the calls of completed requests, relative to the gate's capacity.
    double run()
    {
        for (int step = 0; step < steps; ++step) {
            m_now = m_now + milliseconds(1);
            finishCalls();
            if (m_uniform(m_random) < arrivalsPerMs)
                startChain();
            m_gate.tick(m_now);
        }
        constexpr double capacity = static_cast<double>(slots) * steps / callMs;
        return m_completed * callCount / capacity;
    }

private:
    static constexpr int slots = 10;
    static constexpr int callMs = 20;
    static constexpr int callCount = 5;
    static constexpr int steps = 60000;
    static constexpr double arrivalsPerMs = 0.15;
    static constexpr milliseconds timeout { 500 };
    static constexpr milliseconds maxWait { 200 };

    struct chain {
        milliseconds expiresAt;
        int rank = 0;
        int callsLeft = callCount;
    };

    void startChain()
    {
        const int rank = m_isRanked ? static_cast<int>(m_uniform(m_random) * 1024) : 0;
        const auto id = ++m_lastId;
        m_chains[id] = { m_now + timeout, rank, callCount };
        submitCall(id);
    }

    void submitCall(std::uint64_t id)
    {
        const auto& current = m_chains[id];
        const auto startBy = std::min(m_now + maxWait, current.expiresAt);
        m_gate.submit(
            m_now, { id, 0, 1, current.rank, startBy }, [this, id](std::optional<error_kind> refusal) {
                if (refusal)
                    m_chains.erase(id);
                else
                    m_callEnds.emplace((m_now + milliseconds(callMs)).getCount(), id);
            });
    }

    void finishCalls()
    {
        while (!m_callEnds.empty() && m_callEnds.begin()->first <= m_now.getCount()) {
            const auto id = m_callEnds.begin()->second;
            m_callEnds.erase(m_callEnds.begin());
            m_gate.finish(m_now, milliseconds(callMs));
            auto& current = m_chains[id];
            --current.callsLeft;
            if (current.callsLeft > 0 && m_now < current.expiresAt) {
                submitCall(id);
                continue;
            }
            m_completed += current.callsLeft == 0 ? 1 : 0;
            m_chains.erase(id);
        }
    }

    bool m_isRanked;
    slot_gate m_gate;
    milliseconds m_now;
    std::mt19937 m_random { 5 };
    std::uniform_real_distribution<double> m_uniform { 0, 1 };
    std::map<std::uint64_t, chain> m_chains;
    std::multimap<double, std::uint64_t> m_callEnds;
    std::uint64_t m_lastId = 0;
    int m_completed = 0;
};

} // namespace

TEST_GROUP(slot_gate)
{
    slot_gate gate;
    recorded_decisions recorded;
    milliseconds now { 1000 };

    void submit(std::uint64_t id, int priority, milliseconds wait = longWait, int depth = 0, int rank = 0)
    {
        gate.submit(now, { id, priority, depth, rank, now + wait }, recorded.makeHook(id));
    }

    void recordServiceTime(milliseconds time)
    {
        for (std::uint64_t id = 900; id < 903; ++id) {
            submit(id, 0);
            gate.finish(now, time);
        }
        recorded = {};
    }
};

TEST(slot_gate, startsTheLowestRankOfEqualsFirst)
{
    gate.setSlots(1, now);
    submit(1, 0);
    submit(2, 0, longWait, 0, 7);
    submit(3, 0, longWait, 0, 3);
    submit(4, 0, longWait, 1, 9);
    for (int count = 0; count < 3; ++count)
        gate.finish(now, std::nullopt);
    CHECK((std::vector<std::uint64_t> { 1, 4, 3, 2 }) == recorded.started);
}

/// Guards against wasted capacity under overload: without ranks most requests fail after some of their calls.
/// With ranks, more than 90% of the capacity must go to requests that complete all of their calls.
TEST(slot_gate, completesWholeRequestsUnderOverload)
{
    const double ranked = overloaded_chains(true).run();
    CHECK(ranked > 0.9);
    CHECK(ranked > overloaded_chains(false).run());
}

TEST(slot_gate, startsWhileSlotsAreFree)
{
    gate.setSlots(2, now);
    submit(1, 0);
    submit(2, 0);
    submit(3, 0);
    CHECK_EQUAL(2U, recorded.started.size());
    LONGS_EQUAL(1, gate.getReport().waiting);
}

TEST(slot_gate, startsTheMostImportantFirst)
{
    submit(1, 1);
    submit(2, 2);
    submit(3, 0);
    submit(4, 0);
    gate.finish(now, milliseconds(10));
    gate.finish(now, milliseconds(10));
    gate.finish(now, milliseconds(10));
    const std::vector<std::uint64_t> expected { 1, 3, 4, 2 };
    CHECK(expected == recorded.started);
}

TEST(slot_gate, startsTheDeepestOfEqualsFirst)
{
    submit(1, 1);
    submit(2, 1, longWait, 0);
    submit(3, 1, longWait, 2);
    gate.finish(now, milliseconds(10));
    const std::vector<std::uint64_t> expected { 1, 3 };
    CHECK(expected == recorded.started);
}

TEST(slot_gate, refusesImmediatelyWhenAStartInTimeIsNotExpected)
{
    recordServiceTime(milliseconds(100));
    submit(1, 0);
    submit(2, 0, milliseconds(150));
    submit(3, 0, milliseconds(150));
    CHECK_EQUAL(1U, recorded.refused.size());
    CHECK(error_kind::Shed == recorded.refused.at(3));
}

TEST(slot_gate, refusesWaitingRequestsThatMoreImportantOnesDelayTooLong)
{
    recordServiceTime(milliseconds(100));
    submit(1, 0);
    submit(2, 2, milliseconds(150));
    CHECK(recorded.refused.empty());
    submit(3, 0, milliseconds(150));
    CHECK(error_kind::Shed == recorded.refused.at(2));
}

TEST(slot_gate, refusesLongWaitingRequestsOnTick)
{
    submit(1, 0);
    submit(2, 0, milliseconds(50));
    gate.tick(now + milliseconds(51));
    CHECK(error_kind::Shed == recorded.refused.at(2));
}

TEST(slot_gate, removesACancelledRequest)
{
    submit(1, 0);
    submit(2, 0);
    CHECK(gate.cancel(2));
    CHECK_FALSE(gate.cancel(1));
    gate.finish(now, std::nullopt);
    CHECK_EQUAL(1U, recorded.started.size());
    CHECK(recorded.refused.empty());
}

TEST(slot_gate, refusesEverythingWhileClosed)
{
    submit(1, 0);
    submit(2, 0);
    gate.setClosed(true);
    submit(3, 0);
    CHECK(error_kind::TargetLeaving == recorded.refused.at(2));
    CHECK(error_kind::TargetLeaving == recorded.refused.at(3));
    gate.setClosed(false);
    gate.finish(now, std::nullopt);
    submit(4, 0);
    CHECK_EQUAL(4U, recorded.started.back());
}

TEST(slot_gate, startsWaitingRequestsWhenSlotsAreAdded)
{
    submit(1, 0);
    submit(2, 0);
    gate.setSlots(2, now);
    CHECK_EQUAL(2U, recorded.started.size());
}

TEST(slot_gate, reportsTheWaitOfANewRequest)
{
    gate.setSlots(2, now);
    recordServiceTime(milliseconds(100));
    DOUBLES_EQUAL(0, gate.getReport().estimateWait().getCount(), 0.001);
    for (std::uint64_t id = 1; id <= 5; ++id)
        submit(id, 0);
    DOUBLES_EQUAL(200, gate.getReport().estimateWait().getCount(), 0.001);
}

TEST(slot_gate, reportsTheShareOfRejectedRequests)
{
    slot_gate gate;
    for (int count = 0; count < 200; ++count)
        gate.recordArrival(count % 2 == 0);
    DOUBLES_EQUAL(0.5, gate.getReport().rejectedShare, 0.05);
    for (int count = 0; count < 200; ++count)
        gate.recordArrival(false);
    DOUBLES_EQUAL(0, gate.getReport().rejectedShare, 0.01);
}

namespace {

constexpr double statedRate = 40;

/// Offers a gate five times the rate that its target states, with free slots for all.
/// @return the number of starts in each of the seconds.
std::vector<int> countStartsAboveTheRate(int seconds)
{
    slot_gate gate;
    milliseconds now { 1000 };
    gate.setSlots(1000, now);
    gate.setRateLimit(statedRate, now);
    std::vector<int> starts;
    std::uint64_t lastId = 0;
    for (int second = 0; second < seconds; ++second) {
        int count = 0;
        for (int step = 0; step < 200; ++step) {
            now = now + milliseconds(5);
            gate.submit(now, { ++lastId, 0, 0, 0, now + milliseconds(300) },
                [&](std::optional<error_kind> refusal) { count += refusal ? 0 : 1; });
            gate.tick(now);
        }
        starts.push_back(count);
    }
    return starts;
}

} // namespace

TEST(slot_gate, startsNoMoreThanTheRateThatTheTargetStates)
{
    for (const int count : countStartsAboveTheRate(8))
        DOUBLES_EQUAL(statedRate, count, 1);
}

TEST(slot_gate, refusesAtOnceWhatTheRateLimitCannotStartInTime)
{
    gate.setSlots(100, now);
    gate.setRateLimit(10, now);
    for (std::uint64_t id = 1; id <= 6; ++id)
        submit(id, 0, milliseconds(350));
    CHECK(recorded.started.empty());
    CHECK_EQUAL(3U, recorded.refused.size());
    DOUBLES_EQUAL(300, gate.getReport().estimateWait().getCount(), 0.001);
    for (int step = 0; step < 20; ++step) {
        now = now + milliseconds(20);
        gate.tick(now);
    }
    CHECK((std::vector<std::uint64_t> { 1, 2, 3 }) == recorded.started);
}

TEST(slot_gate, startsTheMostImportantFirstWithinTheRateLimit)
{
    gate.setSlots(100, now);
    gate.setRateLimit(10, now);
    submit(1, 2);
    submit(2, 0);
    gate.tick(now + milliseconds(100));
    CHECK((std::vector<std::uint64_t> { 2 }) == recorded.started);
}

TEST(slot_gate, startsWaitingRequestsWhenTheRateLimitEnds)
{
    gate.setSlots(10, now);
    gate.setRateLimit(1, now);
    submit(1, 0);
    submit(2, 0);
    CHECK(recorded.started.empty());
    gate.setRateLimit(std::nullopt, now);
    CHECK_EQUAL(2U, recorded.started.size());
}

// Only the responses of a target that takes nothing show when its limit ends.
TEST(slot_gate, stillTriesATargetThatStatesARateOfZero)
{
    constexpr milliseconds window { 4000 };
    gate.setSlots(10, now);
    gate.setRateLimit(0, now);
    for (std::uint64_t id = 1; id <= 20; ++id)
        submit(id, 0);
    for (int step = 0; step < 200; ++step)
        gate.tick(now + window * (step / 200.0));
    CHECK(!recorded.started.empty());
    CHECK(recorded.started.size() <= 5);
}

TEST(slot_gate, countsResendsAgainstTheRateLimit)
{
    gate.setSlots(10, now);
    gate.setRateLimit(10, now);
    now = now + milliseconds(100);
    CHECK(gate.tryCountResend(now));
    submit(1, 0);
    CHECK(recorded.started.empty());
}
