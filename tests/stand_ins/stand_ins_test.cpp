#include "tests/stand_ins/byte_range.h"
#include "tests/stand_ins/call_rate_limiter.h"
#include "tests/stand_ins/published_document.h"
#include "tests/stand_ins/relay_link.h"
#include "tests/stand_ins/run_journal.h"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge::stand_in;
using fuchsiagauge::bench::http_fields;

TEST_GROUP(stand_ins) {};

TEST(stand_ins, selectsByteRangesByHttpRules)
{
    const struct {
        http_fields fields;
        std::optional<byte_range> expected;
    } rows[] = {
        { {}, byte_range { 0, 100, false } },
        { { { "range", "bytes=0-9" } }, byte_range { 0, 10, true } },
        { { { "range", "bytes=90-" } }, byte_range { 90, 10, true } },
        { { { "range", "bytes=90-200" } }, byte_range { 90, 10, true } },
        { { { "range", "bytes=-5" } }, byte_range { 95, 5, true } },
        { { { "range", "bytes=100-" } }, std::nullopt },
        { { { "range", "bytes=9-3" } }, std::nullopt },
        { { { "range", "rows=1-2" } }, byte_range { 0, 100, false } },
        { { { "range", "bytes=a-b" } }, byte_range { 0, 100, false } },
        { { { "range", "bytes=5-" }, { "if-range", "\"tag\"" } }, byte_range { 5, 95, true } },
        { { { "range", "bytes=5-" }, { "if-range", "\"old\"" } }, byte_range { 0, 100, false } },
    };
    for (const auto& row : rows)
        CHECK(selectRange(row.fields, 100, "\"tag\"") == row.expected);
}

TEST(stand_ins, servesOldAndForcedRevisions)
{
    published_document document;
    LONGS_EQUAL(0, document.getLatest().revision);
    LONGS_EQUAL(1, document.publish("a", std::nullopt, 0));
    LONGS_EQUAL(2, document.publish("b", std::nullopt, 100));
    LONGS_EQUAL(2, document.publish("c", 2, 200));
    STRCMP_EQUAL("c", document.getLatest().body.c_str());
    STRCMP_EQUAL("a", document.getVersion(1).body.c_str());
    STRCMP_EQUAL("b", document.getLaggingVersion(100, 250).body.c_str());
    STRCMP_EQUAL("a", document.getLaggingVersion(1000, 250).body.c_str());
}

TEST(stand_ins, refusesCallsAbovePerSecondLimit)
{
    call_rate_limiter limiter(2);
    CHECK(limiter.accept(10) && limiter.accept(20) && !limiter.accept(999) && limiter.accept(1000));
    LONGS_EQUAL(4, limiter.getCalls());
    LONGS_EQUAL(1, limiter.getRefused());
}

TEST(stand_ins, readsContextWithoutVerification)
{
    const auto context = readUnverifiedContext("1;req;attempt;class;250;2;7;3;signature");
    CHECK(context.requestId == "req" && context.remainingMs == 250 && context.depth == 3);
    CHECK(readUnverifiedContext("1;2;3").requestId.empty());
}

TEST(stand_ins, pacesBytesOverALink)
{
    link_pacer pacer;
    DOUBLES_EQUAL(100, pacer.scheduleSend(500, 0, 100), 0);
    DOUBLES_EQUAL(600, pacer.scheduleSend(500, 1000, 100), 0);
    DOUBLES_EQUAL(1100, pacer.scheduleSend(500, 1000, 100), 0);
    DOUBLES_EQUAL(5500, pacer.scheduleSend(500, 1000, 5000), 0);
}
