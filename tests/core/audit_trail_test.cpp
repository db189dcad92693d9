#include "core/audit_trail.h"

#include "core/error.h"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

TEST_GROUP(audit_trail)
{
    audit_trail trail { "orders-1", 7, 3 };

    void fill(int count)
    {
        for (int i = 0; i < count; ++i)
            trail.record(
                1000 + i, audit_event::ConfigurationAdopted, "preset `peak`", "read from the platform", i);
    }
};

TEST(audit_trail, keepsTheLatestEntriesInOrder)
{
    fill(5);
    const auto page = trail.getPageAfter(0);
    CHECK_EQUAL(3, page.entries.size());
    CHECK_EQUAL(3, page.oldestSequence);
    CHECK_EQUAL(3, page.entries.front().sequence);
    CHECK_EQUAL(5, page.entries.back().sequence);
    CHECK_EQUAL(1004, page.entries.back().wallTimeMs);
}

TEST(audit_trail, returnsOnlyNewerEntries)
{
    fill(3);
    CHECK_EQUAL(1, trail.getPageAfter(2).entries.size());
    CHECK(trail.getPageAfter(3).entries.empty());
    CHECK(audit_trail("a", 1, 3).getPageAfter(0) == (audit_page { "a", 1, 0, {} }));
}

TEST(audit_trail, roundTripsThroughJson)
{
    fill(3);
    CHECK(parseAuditPage(formatAuditPage(trail.getPageAfter(0))) == trail.getPageAfter(0));
    CHECK(!parseAuditPage("{\"entries\": [{\"event\": \"dinner\"}]}"));
    CHECK(getLastError().kind == error_kind::BadPeerMessage);
}

TEST(audit_trail, findsEachEventByItsName)
{
    for (int value = 0; value <= static_cast<int>(audit_event::TargetHealthy); ++value) {
        const auto event = static_cast<audit_event>(value);
        CHECK(findAuditEvent(getAuditEventName(event)) == event);
    }
    CHECK(!findAuditEvent("dinner"));
}

TEST(audit_trail, formatsAnEntryAsOneLine)
{
    STRCMP_EQUAL("node-leaving: no new work (SIGTERM) revision=4",
        formatAuditLine({ 1, 0, "a", audit_event::NodeLeaving, "no new work", "SIGTERM", 4 }).c_str());
}
