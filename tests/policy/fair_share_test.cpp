#include "policy/fair_share.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

TEST_GROUP(fair_share)
{
    fair_share share;
    milliseconds now { 1000 };
};

TEST(fair_share, forgetsWorkAfterSomeSeconds)
{
    share.start(now, "a", milliseconds(100));
    share.correct(now + milliseconds(5000), "a", milliseconds());
    DOUBLES_EQUAL(100 / 2.71828, share.getReceived("a").getCount(), 0.1);
    share.correct(now + milliseconds(100000), "b", milliseconds());
    DOUBLES_EQUAL(0, share.getReceived("a").getCount(), 0.001);
}

TEST(fair_share, limitsTheLeadOfAnOrganisationThatWasQuiet)
{
    share.start(now, "a", milliseconds(1000));
    share.start(now, "a", milliseconds(10));
    share.join(now, "b", milliseconds(100));
    DOUBLES_EQUAL(900, share.getReceived("b").getCount(), 0.001);
}

/// Guards against memory that grows with the number of organisations.
TEST(fair_share, forgetsTheOrganisationThatReceivedLeast)
{
    for (std::size_t index = 0; index <= fair_share::maxOrganisations; ++index)
        share.start(now, std::to_string(index), milliseconds(1.0 + static_cast<double>(index)));
    DOUBLES_EQUAL(0, share.getReceived("0").getCount(), 0.001);
    DOUBLES_EQUAL(2, share.getReceived("1").getCount(), 0.001);
}
