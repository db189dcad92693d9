#include "tests/policy/fill_model.h"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

constexpr milliseconds coldUntil { 13000 };
constexpr milliseconds endOfLate {
    2000
}; ///< Requests that arrived in a period end within this time after it.

/// What happens when an instance joins a service.
struct join_result {
    std::shared_ptr<const fill_counts> before; ///< In the 5 s before.
    std::shared_ptr<const fill_counts> first; ///< In the first second.
    std::shared_ptr<const fill_counts> rest; ///< In the 4 s after that.
    std::shared_ptr<const fill_counts> later; ///< In the 2 s after these.
    double fairShare = 0; ///< Requests per second.

    double getBadShare() const
    {
        return static_cast<double>(first->bad + rest->bad) / (first->total + rest->total);
    }
};

join_result simulateJoin(fill_setup setup, bool isPaced)
{
    setup.isPaced = isPaced;
    fill_model model(std::move(setup));
    join_result result;
    result.fairShare = model.getFairShare();
    model.run(milliseconds(5000));
    result.before = model.run(fill_model::joinAt);
    result.first = model.run(milliseconds(11000));
    result.rest = model.run(milliseconds(15000));
    result.later = model.run(milliseconds(17000));
    model.run(milliseconds(17000) + endOfLate);
    return result;
}

/// @return what the requests of the first `until` end with when all instances start at once.
std::shared_ptr<const fill_counts> simulateCommonStart(fill_setup setup, bool isPaced, milliseconds until)
{
    setup.isPaced = isPaced;
    setup.hasJoiner = false;
    fill_model model(std::move(setup));
    auto result = model.run(until);
    model.run(until + endOfLate);
    return result;
}

double slowWhileCold(milliseconds now, int) { return now < coldUntil ? 2.0 : 1.0; }

/// Requests slow each other down while the instance is cold.
double contendedWhileCold(milliseconds now, int busy) { return now < coldUntil ? 1 + busy / 2.0 : 1.0; }

} // namespace

TEST_GROUP(slow_start) {
    /// Runs a check with 1, 20 and 72 callers at an ordinary load and close to full load.
    static void forAll(fill_setup setup, const std::function<void(const fill_setup&)>& check) {
        for (const int callers
             : { 1, 20, 72 }) { for (const double load
                                     : { 0.8, 0.95 }) { setup.callers = callers;
setup.load = load;
check(setup);
}
}
}
}
;

// Guards against both overload and idleness after a scale-out. The fixed factor let the callers send up to
// twice the fair share in the first second.
TEST(slow_start, aNewInstanceGetsItsShareWithoutOverload)
{
    forAll({}, [](const fill_setup& setup) {
        const auto paced = simulateJoin(setup, true);
        const auto fixed = simulateJoin(setup, false);
        CHECK_COMPARE(paced.getBadShare(), <=, 1.2 * paced.before->getBadShare());
        CHECK_COMPARE(paced.first->sentToLast, <, fixed.first->sentToLast);
        CHECK_COMPARE(paced.first->sentToLast, <, 1.2 * paced.fairShare);
        CHECK_COMPARE(paced.rest->sentToLast, >, 0.9 * 4 * paced.fairShare);
    });
}

// Guards against late answers of a cold instance, and against one that is left idle once it is warm.
TEST(slow_start, aColdInstanceGetsFewRequestsUntilItIsWarm)
{
    fill_setup cold;
    cold.getSlowdown = slowWhileCold;
    forAll(cold, [](const fill_setup& setup) {
        const auto paced = simulateJoin(setup, true);
        const auto fixed = simulateJoin(setup, false);
        CHECK_COMPARE(paced.getBadShare(), <=, 1.2 * paced.before->getBadShare());
        CHECK_COMPARE(paced.getBadShare(), <=, fixed.getBadShare());
        CHECK_COMPARE(paced.first->sentToLast, <, fixed.first->sentToLast);
        CHECK_COMPARE(paced.later->sentToLast, >, 0.8 * 2 * paced.fairShare);
    });
}

// Guards against opening the instance further with time although its requests already slow each other down.
TEST(slow_start, findsThePaceOfAnInstanceWhoseRequestsSlowEachOtherDown)
{
    fill_setup contended;
    contended.getSlowdown = contendedWhileCold;
    forAll(contended, [](const fill_setup& setup) {
        const auto paced = simulateJoin(setup, true);
        const auto fixed = simulateJoin(setup, false);
        CHECK_COMPARE(paced.getBadShare(), <, fixed.getBadShare() / 3);
        // Close to full load the others have queues without it.
        const double share = setup.load > 0.9 ? 0.8 : 0.6;
        CHECK_COMPARE(paced.later->sentToLast, >, share * 2 * paced.fairShare);
    });
}

// Guards against trust in what the entry states: here it states no cold time.
TEST(slow_start, doesNotDependOnWhatTheEntryStates)
{
    fill_setup stated;
    stated.getSlowdown = contendedWhileCold;
    fill_setup unstated = stated;
    unstated.hasColdTime = false;
    const auto expected = simulateJoin(stated, true);
    const auto actual = simulateJoin(unstated, true);
    LONGS_EQUAL(expected.rest->sentToLast, actual.rest->sentToLast);
    CHECK_COMPARE(actual.getBadShare(), <, simulateJoin(unstated, false).getBadShare() / 3);
}

// Guards against sending an instance its full share each time it seems to have recovered.
TEST(slow_start, aFlappingInstanceFailsFewerRequestsAndIsUsedAgainInTheEnd)
{
    fill_setup flapping;
    flapping.load = 0.95;
    flapping.getSlowdown = [](milliseconds now, int) {
        const double second = now.getCount() / 1000;
        return (second > 20 && second < 22) || (second > 24 && second < 26) ? 0.0 : 1.0;
    };
    for (const int callers : { 1, 20, 72 }) {
        flapping.callers = callers;
        int bad[2] = { 0, 0 };
        for (const bool isPaced : { false, true }) {
            flapping.isPaced = isPaced;
            fill_model model(flapping);
            model.run(milliseconds(20000));
            const auto failing = model.run(milliseconds(26000));
            model.run(milliseconds(29000));
            const auto later = model.run(milliseconds(32000));
            CHECK_COMPARE(later->sentToLast, >, 0.7 * 3 * model.getFairShare());
            bad[isPaced ? 1 : 0] = failing->bad;
        }
        CHECK_COMPARE(bad[1], <, 0.8 * bad[0]);
    }
}

// Guards against a window that makes a whole service slow when all its instances start at full load.
TEST(slow_start, instancesThatStartTogetherLoseNothing)
{
    forAll({}, [](const fill_setup& setup) {
        const auto paced = simulateCommonStart(setup, true, milliseconds(3000));
        const auto fixed = simulateCommonStart(setup, false, milliseconds(3000));
        CHECK_COMPARE(paced->bad, <=, fixed->bad + 3);
        CHECK_COMPARE(paced->sentToLast, >, 0.8 * fixed->sentToLast);
    });
}

// Guards against refusals of what the only instance of a service could have run.
TEST(slow_start, theOnlyInstanceGetsAllRequestsAtOnce)
{
    fill_setup sole;
    sole.instances = 1;
    forAll(sole, [](const fill_setup& setup) {
        const auto paced = simulateCommonStart(setup, true, milliseconds(3000));
        const auto fixed = simulateCommonStart(setup, false, milliseconds(3000));
        LONGS_EQUAL(fixed->bad, paced->bad);
        LONGS_EQUAL(fixed->sentToLast, paced->sentToLast);
    });
}
