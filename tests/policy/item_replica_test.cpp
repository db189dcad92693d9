#include "policy/item_replica.h"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

TEST_GROUP(item_replica)
{
    item_replica replica;

    void setup() override { replica.merge({ 10, true, { { "a", "1", 3 }, { "b", "1", 5 } }, {} }); }
};

TEST(item_replica, reportsOnlyWhatIsNew)
{
    const auto added = replica.merge({ 12, false, { { "a", "1", 3 }, { "b", "2", 12 } }, { { "c", 11 } } });
    CHECK_EQUAL(1U, added.items.size());
    STRCMP_EQUAL("b", added.items[0].key.c_str());
    CHECK(added.removed.empty());
    CHECK_EQUAL(12U, replica.getRevision());
}

// A source that lags behind must not bring back what has changed or left.
TEST(item_replica, ignoresOlderValuesAndRemovedItems)
{
    replica.merge({ 20, false, { { "a", "9", 20 } }, { { "b", 19 } } });
    const auto added = replica.merge({ 15, false, { { "a", "2", 14 }, { "b", "2", 15 } }, {} });
    CHECK(added.items.empty());
    CHECK(added.removed.empty());
    CHECK_EQUAL(20U, replica.getRevision());
}

TEST(item_replica, ignoresAnOlderCompleteSet)
{
    replica.merge({ 20, false, { { "c", "1", 20 } }, { { "b", 19 } } });
    const auto added = replica.merge({ 15, true, { { "a", "1", 3 }, { "b", "1", 5 } }, {} });
    CHECK(added.items.empty());
    CHECK(added.removed.empty());
}

TEST(item_replica, acceptsAnItemThatIsPublishedAgainAfterItsRemoval)
{
    replica.merge({ 19, false, {}, { { "b", 19 } } });
    CHECK_EQUAL(1U, replica.merge({ 21, false, { { "b", "3", 21 } }, {} }).items.size());
}

TEST(item_replica, aCompleteSetRemovesWhatItLacks)
{
    const auto added = replica.merge({ 30, true, { { "a", "1", 3 } }, {} });
    CHECK_EQUAL(1U, added.removed.size());
    STRCMP_EQUAL("b", added.removed[0].key.c_str());
    CHECK_FALSE(added.isComplete);
}

TEST(item_replica, passesOnChangesSinceARevision)
{
    replica.merge({ 21, false, { { "c", "1", 20 } }, { { "b", 21 } } });
    const item_changes expected { 21, false, { { "c", "1", 20 } }, { { "b", 21 } } };
    CHECK(expected == replica.getChangesSince(15));
    item_replica other;
    other.merge({ 10, true, { { "a", "1", 3 }, { "b", "1", 5 } }, {} });
    other.merge(replica.getChangesSince(10));
    CHECK(replica.getChangesSince(0) == other.getChangesSince(0));
}

TEST(item_replica, passesOnAllItemsIfItsHistoryDoesNotReachBack)
{
    const auto changes = replica.getChangesSince(4);
    CHECK(changes.isComplete);
    CHECK_EQUAL(2U, changes.items.size());
}

// A restored store assigns lower revisions again, for other changes.
TEST(item_replica, takesLowerRevisionsOfAHigherEpoch)
{
    const auto added = replica.merge({ 4, true, { { "a", "2", 3 }, { "c", "1", 4 } }, {}, 1 });
    CHECK_EQUAL(2U, added.items.size());
    STRCMP_EQUAL("b", added.removed.at(0).key.c_str());
    CHECK_EQUAL(4U, replica.getRevision());
    CHECK_EQUAL(1U, replica.getEpoch());
    CHECK_EQUAL(1U, replica.merge({ 5, false, { { "b", "3", 5 } }, {}, 1 }).items.size());
}

TEST(item_replica, neverReturnsToALowerEpoch)
{
    replica.merge({ 4, true, { { "a", "2", 3 } }, {}, 1 });
    const auto added = replica.merge({ 90, true, { { "a", "9", 90 } }, {} });
    CHECK(added.items.empty() && added.removed.empty());
    CHECK_EQUAL(4U, replica.getRevision());
}

// Changes alone don't follow on what was known before the restore.
TEST(item_replica, entersAnEpochWithACompleteSetOnly)
{
    CHECK(replica.merge({ 12, false, { { "a", "2", 12 } }, {}, 1 }).items.empty());
    CHECK_EQUAL(0U, replica.getEpoch());
    CHECK_EQUAL(10U, replica.getRevision());
}

TEST(item_replica, passesOnAllItemsToALowerEpochAndNoneToAHigherOne)
{
    replica.merge({ 4, true, { { "a", "2", 3 } }, {}, 1 });
    const auto all = replica.getChangesSince(10, 0);
    CHECK(all.isComplete);
    CHECK_EQUAL(1U, all.items.size());
    CHECK(replica.getChangesSince(4, 2).items.empty());
    CHECK_FALSE(replica.getChangesSince(0, 2).isComplete);
    CHECK_FALSE(replica.getChangesSince(4, 1).isComplete);
}
