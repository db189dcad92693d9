#include "policy/admission_controller.h"

#include <algorithm>
#include <map>
#include <rapidcheck.h>

#include <CppUTest/TestHarness.h> // Redefines new, so it must come last.

using namespace fuchsiagauge;

TEST_GROUP(admission_controller) {};

namespace {

/// A controller whose decisions are recorded by attempt id.
class fixture {
public:
    explicit fixture(const service_rules& rules)
        : m_controller(rules, admission_hooks {})
    {
    }

    void submit(double nowMs, const std::string& id, std::uint32_t rank, double expiresMs)
    {
        m_requests[id] = { id, rank, milliseconds(expiresMs) };
        m_controller.submit(
            milliseconds(nowMs), m_requests[id], [this, id](std::optional<error_kind> refusal) {
                ++m_decisionCounts[id];
                m_refusals[id] = refusal;
                if (!refusal)
                    m_started.push_back(id);
            });
    }

    bool isStarted(const std::string& id) const
    {
        return std::find(m_started.begin(), m_started.end(), id) != m_started.end();
    }

    bool isWaiting(const std::string& id) const { return m_decisionCounts.count(id) == 0; }

    bool isRefused(const std::string& id, error_kind kind) const
    {
        const auto found = m_refusals.find(id);
        return found != m_refusals.end() && found->second == std::optional<error_kind>(kind);
    }

    admission_controller& getController() { return m_controller; }
    const std::vector<std::string>& getStarted() const { return m_started; }
    const std::map<std::string, int>& getDecisionCounts() const { return m_decisionCounts; }
    const std::map<std::string, admission_request>& getRequests() const { return m_requests; }

private:
    admission_controller m_controller;
    std::map<std::string, admission_request> m_requests;
    std::map<std::string, int> m_decisionCounts;
    std::map<std::string, std::optional<error_kind>> m_refusals;
    std::vector<std::string> m_started;
};

service_rules makeRules(int limit, int queue)
{
    service_rules rules;
    rules.minLimit = 1;
    rules.maxLimit = limit;
    rules.maxQueue = queue;
    return rules;
}

constexpr double farDeadlineMs = 1e6;

/// Runs requests one after the other, each with the same service time.
/// @return the time after the last one, in ms.
double serveSequentially(
    fixture& tested, double nowMs, int count, double serviceMs, const std::string& prefix)
{
    for (int index = 0; index < count; ++index) {
        const auto id = prefix + std::to_string(index);
        tested.submit(nowMs, id, 1, nowMs + farDeadlineMs);
        nowMs += serviceMs;
        tested.getController().finish(id, milliseconds(nowMs), true);
    }
    return nowMs;
}

} // namespace

TEST(admission_controller, startsTheHighestRankFirst)
{
    fixture tested(makeRules(1, 10));
    tested.submit(0, "running", 1, farDeadlineMs);
    tested.submit(0, "low", 10, farDeadlineMs);
    tested.submit(0, "high", 30, farDeadlineMs);
    tested.submit(0, "middle", 20, farDeadlineMs);
    tested.getController().finish("running", milliseconds(1), true);
    tested.getController().finish("high", milliseconds(2), true);
    tested.getController().finish("middle", milliseconds(3), true);
    const std::vector<std::string> expected = { "running", "high", "middle", "low" };
    CHECK(tested.getStarted() == expected);
}

TEST(admission_controller, refusesTheLowestRankWhenTheQueueIsFull)
{
    fixture tested(makeRules(1, 2));
    tested.submit(0, "running", 1, farDeadlineMs);
    tested.submit(0, "middle", 20, farDeadlineMs);
    tested.submit(0, "low", 10, farDeadlineMs);
    tested.submit(0, "high", 30, farDeadlineMs);
    CHECK(tested.isRefused("low", error_kind::Shed));
    tested.submit(0, "lowest", 5, farDeadlineMs);
    CHECK(tested.isRefused("lowest", error_kind::Shed));
    LONGS_EQUAL(2, tested.getController().getQueued());
}

TEST(admission_controller, refusesWithTheMatchingErrorKind)
{
    fixture tested(makeRules(1, 10));
    const double nowMs = serveSequentially(tested, 0, 20, 100, "warm");
    tested.submit(nowMs, "expired", 1, nowMs);
    CHECK(tested.isRefused("expired", error_kind::DeadlineExceeded));
    tested.submit(nowMs, "unservable", 1, nowMs + 50);
    CHECK(tested.isRefused("unservable", error_kind::Shed));
    tested.submit(nowMs, "running", 1, nowMs + farDeadlineMs);
    tested.submit(nowMs, "late", 1, nowMs + 250);
    CHECK(tested.isWaiting("late"));
    tested.getController().finish("running", milliseconds(nowMs + 220), true);
    CHECK(tested.isRefused("late", error_kind::QueueTimeout));
    tested.submit(nowMs + 220, "running2", 1, nowMs + farDeadlineMs);
    tested.submit(nowMs + 220, "cancelled", 1, nowMs + farDeadlineMs);
    tested.getController().cancel("cancelled", milliseconds(nowMs + 221));
    CHECK(tested.isRefused("cancelled", error_kind::Cancelled));
}

TEST(admission_controller, refusesRequestsThatExpiredDuringAPause)
{
    fixture tested(makeRules(1, 10));
    tested.submit(0, "running", 1, farDeadlineMs);
    tested.submit(0, "waiting", 1, 1000);
    tested.getController().finish("running", milliseconds(60000), true);
    CHECK(tested.isRefused("waiting", error_kind::DeadlineExceeded));
}

TEST(admission_controller, refusesAllRequestsWhileLeavingAndAdmitsThemAfterwards)
{
    fixture tested(makeRules(1, 10));
    tested.submit(0, "running", 1, farDeadlineMs);
    tested.submit(0, "waiting", 1, farDeadlineMs);
    tested.getController().setLeaving(true);
    CHECK(tested.isRefused("waiting", error_kind::TargetLeaving));
    tested.submit(0, "new", 1, farDeadlineMs);
    CHECK(tested.isRefused("new", error_kind::TargetLeaving));
    LONGS_EQUAL(1, tested.getController().getInFlight());
    tested.getController().finish("running", milliseconds(1), true);
    tested.getController().setLeaving(false);
    tested.submit(2, "later", 1, farDeadlineMs);
    CHECK(tested.isStarted("later"));
}

TEST(admission_controller, keepsAcceptedRequestsWhenRulesChange)
{
    fixture tested(makeRules(4, 10));
    for (int index = 0; index < 8; ++index)
        tested.submit(0, std::to_string(index), 1, farDeadlineMs);
    tested.getController().setRules(makeRules(2, 10));
    LONGS_EQUAL(2, tested.getController().getLimit());
    LONGS_EQUAL(4, tested.getController().getInFlight());
    LONGS_EQUAL(4, tested.getController().getQueued());
    tested.getController().finish("0", milliseconds(1), true);
    tested.getController().finish("1", milliseconds(1), true);
    LONGS_EQUAL(4, tested.getController().getQueued());
    tested.getController().finish("2", milliseconds(1), true);
    LONGS_EQUAL(3, tested.getController().getQueued());
}

TEST(admission_controller, limitsConcurrencyToThePublishedSlots)
{
    fixture tested(makeRules(1000, 10));
    tested.getController().setPublishedSlots(6);
    LONGS_EQUAL(6, tested.getController().getLimit());
    tested.getController().setPublishedSlots(80);
    LONGS_EQUAL(40, tested.getController().getLimit());
    tested.getController().setPublishedSlots(0);
    LONGS_EQUAL(40, tested.getController().getLimit());
}

TEST(admission_controller, recoversAfterServiceTimesBeyondEveryDeadline)
{
    fixture tested(makeRules(10, 10));
    double nowMs = serveSequentially(tested, 0, 100, 3000, "slow");
    int started = 0;
    for (int index = 0; index < 400; ++index) {
        const auto id = "fast" + std::to_string(index);
        tested.submit(nowMs, id, 1, nowMs + 1000);
        if (index >= 200)
            started += tested.isStarted(id) ? 1 : 0;
        nowMs += 10;
        tested.getController().finish(id, milliseconds(nowMs), true);
        tested.getController().tick(milliseconds(nowMs));
    }
    LONGS_EQUAL(200, started);
}

TEST(admission_controller, recoversAfterTheTargetWasFrozen)
{
    fixture tested(makeRules(4, 100));
    double nowMs = serveSequentially(tested, 0, 100, 10, "warm");
    for (int index = 0; index < 4; ++index)
        tested.submit(nowMs, "stuck" + std::to_string(index), 1, nowMs + 1000);
    for (int index = 0; index < 500; ++index) {
        nowMs += 10;
        tested.submit(nowMs, "frozen" + std::to_string(index), 1, nowMs + 1000);
        tested.getController().tick(milliseconds(nowMs));
    }
    CHECK(tested.isRefused("frozen0", error_kind::Shed));
    for (int index = 0; index < 4; ++index)
        tested.getController().finish("stuck" + std::to_string(index), milliseconds(nowMs), false);
    for (int index = 0; index < 500; ++index) {
        const auto id = "frozen" + std::to_string(index);
        if (tested.isStarted(id))
            tested.getController().finish(id, milliseconds(nowMs + 10), true);
    }
    nowMs += 2000;
    serveSequentially(tested, nowMs, 50, 10, "again");
    CHECK(tested.isStarted("again0"));
    CHECK(tested.isStarted("again49"));
}

TEST(admission_controller, raisesTheLevelUnderOverloadAndLowersItAfterwards)
{
    constexpr std::uint32_t low = 100U << 16U;
    constexpr std::uint32_t high = 900U << 16U;
    fixture tested(makeRules(4, 50));
    double nowMs = 0;
    int next = 0;
    const auto step = [&](int arrivals) {
        for (int index = 0; index < arrivals; ++index) {
            const auto rank = (index % 4 == 0 ? high : low) + static_cast<std::uint32_t>(next * 7919 % 65536);
            tested.submit(nowMs, std::to_string(next++), rank, nowMs + 500);
        }
        nowMs += 10;
        const auto started = tested.getStarted();
        for (const auto& id : started)
            tested.getController().finish(id, milliseconds(nowMs), true);
        tested.getController().tick(milliseconds(nowMs));
    };
    for (int index = 0; index < 200; ++index)
        step(16);
    const auto level = tested.getController().getAdmissionLevel();
    CHECK(level > low);
    CHECK(level <= high);
    for (int index = 0; index < 200; ++index)
        step(1);
    LONGS_EQUAL(0, tested.getController().getAdmissionLevel());
}

TEST(admission_controller, allowsCallsFromDecisionHooks)
{
    admission_controller tested(makeRules(1, 1000), admission_hooks {});
    int started = 0;
    for (int index = 0; index < 500; ++index) {
        const auto id = std::to_string(index);
        const admission_request request { id, 1, milliseconds(farDeadlineMs) };
        tested.submit(milliseconds(0), request, [&, id](std::optional<error_kind> refusal) {
            CHECK(!refusal);
            ++started;
            tested.finish(id, milliseconds(0), true);
        });
    }
    LONGS_EQUAL(500, started);
    LONGS_EQUAL(0, tested.getInFlight());
}

TEST(admission_controller, keepsInvariantsInAnyOrderOfEvents)
{
    const bool isHeld = rc::check("decided once, in time, by rank, within the limit", [] {
        const int maxLimit = *rc::gen::inRange(1, 20);
        fixture tested(makeRules(maxLimit, *rc::gen::inRange(0, 20)));
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100000));
        double nowMs = 0;
        int next = 0;
        for (const int step : steps) {
            nowMs += step % 50;
            const auto startedBefore = tested.getStarted().size();
            const int inFlightBefore = tested.getController().getInFlight();
            const auto id = std::to_string(step % std::max(1, next));
            switch (step % 7) {
            case 0:
            case 1:
            case 2:
                tested.submit(
                    nowMs, std::to_string(next++), static_cast<std::uint32_t>(step % 13), nowMs + step % 400);
                break;
            case 3:
            case 4:
                tested.getController().finish(id, milliseconds(nowMs), step % 3 != 0);
                break;
            case 5:
                tested.getController().cancel(id, milliseconds(nowMs));
                break;
            default:
                tested.getController().tick(milliseconds(nowMs));
            }
            RC_ASSERT(tested.getController().getLimit() >= 1);
            RC_ASSERT(tested.getController().getLimit() <= maxLimit);
            RC_ASSERT(tested.getController().getInFlight()
                <= std::max(inFlightBefore, tested.getController().getLimit()));
            for (auto index = startedBefore; index < tested.getStarted().size(); ++index) {
                const auto& startedRequest = tested.getRequests().at(tested.getStarted()[index]);
                RC_ASSERT(startedRequest.expiresAt > milliseconds(nowMs));
                for (const auto& [other, request] : tested.getRequests())
                    RC_ASSERT(!tested.isWaiting(other) || request.rank <= startedRequest.rank);
            }
        }
        tested.getController().tick(milliseconds(nowMs + 1000));
        tested.getController().setLeaving(true);
        LONGS_EQUAL(0, tested.getController().getQueued());
        RC_ASSERT(tested.getDecisionCounts().size() == tested.getRequests().size());
        for (const auto& [id, count] : tested.getDecisionCounts())
            RC_ASSERT(count == 1);
    });
    CHECK(isHeld);
}
