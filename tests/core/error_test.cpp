#include "core/error.h"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

TEST_GROUP(error_table) {};

TEST(error_table, hasOneRowForEachKind)
{
    for (int value = 0; value <= static_cast<int>(error_kind::Internal); ++value) {
        const auto kind = static_cast<error_kind>(value);
        CHECK(getErrorResponse(kind).kind == kind);
        CHECK(findErrorKind(getErrorResponse(kind).name) == kind);
    }
}

TEST(error_table, recordsTheLastError)
{
    CHECK(!std::optional<int>(fail(error_kind::Shed, "full")));
    CHECK(getLastError() == (error { error_kind::Shed, "full" }));
}
