#include "policy/attempt_history.h"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

/// Whether a second attempt may follow the first on a route that allows two instances.
struct history_case {
    attempt_outcome outcome;
    bool mayRetryIfIdempotent;
    bool mayRetryIfNotIdempotent;
};

} // namespace

TEST_GROUP(attempt_history) { static bool mayRetry(bool isIdempotent, attempt_outcome outcome,
    downstream_failure downstreamFailure = downstream_failure::None) {
    attempt_history history(2, isIdempotent);
history.onSend("i-1");
history.onEnd(outcome);
return history.mayRetry(outcome, downstreamFailure);
}
}
;

TEST(attempt_history, decidesByOutcome)
{
    const history_case cases[] {
        { attempt_outcome::Answered, true, false },
        { attempt_outcome::NoRoom, true, true },
        { attempt_outcome::Shed, false, false },
        { attempt_outcome::Rejected, true, true },
        { attempt_outcome::OverBudget, false, false },
        { attempt_outcome::Leaving, true, true },
        { attempt_outcome::Unreachable, true, true },
        { attempt_outcome::Misdirected, true, true },
        { attempt_outcome::Lost, true, false },
        { attempt_outcome::TimedOut, true, false },
    };
    for (const auto& testCase : cases) {
        CHECK_EQUAL_TEXT(testCase.mayRetryIfIdempotent, mayRetry(true, testCase.outcome),
            getAttemptOutcomeName(testCase.outcome));
        CHECK_EQUAL_TEXT(testCase.mayRetryIfNotIdempotent, mayRetry(false, testCase.outcome),
            getAttemptOutcomeName(testCase.outcome));
        CHECK_FALSE(mayRetry(true, testCase.outcome, downstream_failure::Failed));
    }
}

TEST(attempt_history, onlyInstancesThatReceivedItCountTowardsTheLimit)
{
    attempt_history history(1, true);
    history.onSend("i-1");
    history.onEnd(attempt_outcome::Unreachable);
    CHECK_FALSE(history.wasReceived());
    CHECK(history.getRequiredInstance().empty());
    history.onSend("i-2");
    history.onEnd(attempt_outcome::Lost);
    CHECK(history.wasReceived());
    CHECK_FALSE(history.mayRetry(attempt_outcome::Lost, downstream_failure::None));
}

TEST(attempt_history, aNonIdempotentRequestIsNeverSentToAnInstanceTwice)
{
    attempt_history history(1, false);
    history.onSend("i-1");
    history.onEnd(attempt_outcome::Rejected);
    CHECK_FALSE(history.mayRetry(attempt_outcome::Rejected, downstream_failure::None));
    CHECK(history.getRequiredInstance().empty());
}

TEST(attempt_history, atTheLimitOnlyTheRejectingInstanceMayBeTried)
{
    attempt_history history(1, true);
    history.onSend("i-1");
    history.onEnd(attempt_outcome::Rejected);
    CHECK(history.mayRetry(attempt_outcome::Rejected, downstream_failure::None));
    STRCMP_EQUAL("i-1", history.getRequiredInstance().c_str());
}

TEST(attempt_history, aRequestThatMayHaveRunHasNoRequiredInstance)
{
    attempt_history history(2, true);
    history.onSend("i-1");
    history.onEnd(attempt_outcome::Lost);
    history.onSend("i-2");
    history.onEnd(attempt_outcome::Rejected);
    CHECK(history.getRequiredInstance().empty());
}

TEST(attempt_history, stopsAfterFourAttempts)
{
    attempt_history history(9, true);
    int attempts = 0;
    do {
        history.onSend("i-" + std::to_string(++attempts));
        history.onEnd(attempt_outcome::NoRoom);
    } while (history.mayRetry(attempt_outcome::NoRoom, downstream_failure::None));
    LONGS_EQUAL(4, attempts);
}
