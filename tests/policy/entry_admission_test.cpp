#include "policy/entry_admission.h"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

TEST_GROUP(entry_admission)
{
    entry_admission admission;
    milliseconds now { 0 };

    void runWindows(int count, int good, int overloaded, int priority = 2)
    {
        for (int window = 0; window < count; ++window) {
            for (int index = 0; index < good; ++index)
                admission.onEnd(priority, false);
            for (int index = 0; index < overloaded; ++index)
                admission.onEnd(priority, true);
            now = now + milliseconds(201);
            admission.tick(now);
        }
    }
};

TEST(entry_admission, admitsEverythingInitially) { CHECK(admission.isAdmitted(2, 0.999)); }

TEST(entry_admission, toleratesAFewOverloadedRequests)
{
    runWindows(20, 98, 2);
    DOUBLES_EQUAL(1, admission.getShare(2), 0.001);
}

TEST(entry_admission, lowersTheShareWhileRequestsEndInOverload)
{
    runWindows(20, 50, 50);
    CHECK(admission.getShare(2) < 0.1);
    CHECK_FALSE(admission.isAdmitted(2, 0.5));
}

TEST(entry_admission, alwaysAdmitsAMinimumShare)
{
    runWindows(100, 0, 100);
    CHECK(admission.isAdmitted(2, 0.01));
}

TEST(entry_admission, leavesOtherPrioritiesUnchanged)
{
    runWindows(10, 0, 100);
    CHECK(admission.isAdmitted(0, 0.999));
}

TEST(entry_admission, restoresTheShareAfterTheOverload)
{
    runWindows(100, 0, 100);
    runWindows(25, 10, 0);
    DOUBLES_EQUAL(1, admission.getShare(2), 0.001);
}

TEST(entry_admission, restoresTheShareWithoutFurtherRequests)
{
    runWindows(100, 0, 100);
    runWindows(25, 0, 0);
    DOUBLES_EQUAL(1, admission.getShare(2), 0.001);
}
