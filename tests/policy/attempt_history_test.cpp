#include "policy/attempt_history.h"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

/// What may follow the first of two attempts that the route allows.
struct history_case {
    attempt_outcome outcome;
    bool mayGoOnIfIdempotent;
    bool mayGoOnOtherwise;
};

} // namespace

TEST_GROUP(attempt_history) { static bool mayGoOn(bool isIdempotent, attempt_outcome outcome,
    failure_below below = failure_below::None) { attempt_history history(2, isIdempotent);
history.onSend("i-1");
history.onEnd(outcome);
return history.mayGoOn(outcome, below);
}
}
;

TEST(attempt_history, followsTheTable)
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
    for (const auto& one : cases) {
        CHECK_EQUAL_TEXT(
            one.mayGoOnIfIdempotent, mayGoOn(true, one.outcome), getAttemptOutcomeName(one.outcome));
        CHECK_EQUAL_TEXT(
            one.mayGoOnOtherwise, mayGoOn(false, one.outcome), getAttemptOutcomeName(one.outcome));
        CHECK_FALSE(mayGoOn(true, one.outcome, failure_below::Failed));
    }
}

TEST(attempt_history, onlyInstancesThatSawItCountAgainstTheRoutesBound)
{
    attempt_history history(1, true);
    history.onSend("i-1");
    history.onEnd(attempt_outcome::Unreachable);
    CHECK_FALSE(history.wasSeen());
    CHECK(history.getOnlyInstance().empty());
    history.onSend("i-2");
    history.onEnd(attempt_outcome::Lost);
    CHECK(history.wasSeen());
    CHECK_FALSE(history.mayGoOn(attempt_outcome::Lost, failure_below::None));
}

TEST(attempt_history, onceTheBoundIsReachedOnlyTheOneThatRefusedMayBeAsked)
{
    attempt_history history(1, false);
    history.onSend("i-1");
    history.onEnd(attempt_outcome::Rejected);
    CHECK(history.mayGoOn(attempt_outcome::Rejected, failure_below::None));
    STRCMP_EQUAL("i-1", history.getOnlyInstance().c_str());
}

TEST(attempt_history, whatMayHaveRunIsNotAskedForAgainAtOneThatRefused)
{
    attempt_history history(2, true);
    history.onSend("i-1");
    history.onEnd(attempt_outcome::Lost);
    history.onSend("i-2");
    history.onEnd(attempt_outcome::Rejected);
    CHECK(history.getOnlyInstance().empty());
}

TEST(attempt_history, endsAfterAFewAttemptsWhateverHappened)
{
    attempt_history history(9, true);
    int attempts = 0;
    do {
        history.onSend("i-" + std::to_string(++attempts));
        history.onEnd(attempt_outcome::NoRoom);
    } while (history.mayGoOn(attempt_outcome::NoRoom, failure_below::None));
    LONGS_EQUAL(4, attempts);
}
