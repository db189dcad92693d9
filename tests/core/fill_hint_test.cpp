#include "core/fill_hint.h"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

TEST_GROUP(fill_hint) {};

TEST(fill_hint, survivesTheHeaderAndIgnoresInvalidValues)
{
    const std::string text = formatFillHint({ milliseconds(54.2), other_instances::Busy });
    const auto hint = parseFillHint(&text);
    CHECK(hint.has_value());
    DOUBLES_EQUAL(55, hint->usualTime.getCount(), 0.001);
    CHECK(hint->others == other_instances::Busy);
    CHECK_FALSE(parseFillHint(nullptr).has_value());
    for (const std::string invalid : { "", "5", "5 3", "-1 0", "5 1 ", "x 1", "99999999999 1" })
        CHECK_FALSE(parseFillHint(&invalid).has_value());
    const std::string slots = "16";
    const std::string notSlots = "-4";
    LONGS_EQUAL(16, parseFullSlots(&slots));
    LONGS_EQUAL(0, parseFullSlots(&notSlots));
}
