#include "core/text_fields.h"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

TEST_GROUP(text_fields) {};

// The time until a retry is negative if it is computed after the deadline, as after a freeze of the process.
TEST(text_fields, formatsSecondsOfAnySign)
{
    STRCMP_EQUAL("0.000", formatSeconds(-0.3).c_str());
    STRCMP_EQUAL("0.000", formatSeconds(-5).c_str());
    STRCMP_EQUAL("0.000", formatSeconds(0).c_str());
    STRCMP_EQUAL("0.007", formatSeconds(0.007).c_str());
    STRCMP_EQUAL("0.250", formatSeconds(0.25).c_str());
    STRCMP_EQUAL("12.003", formatSeconds(12.003).c_str());
}
