#include "policy/instance_directory.h"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

TEST_GROUP(instance_directory)
{
    instance_directory directory;
    milliseconds now { 1000 };

    static instance_record make(const std::string& id, const std::string& host = "10.0.0.1")
    {
        instance_record record;
        record.id = id;
        record.service = "orders";
        record.target = { host, 80 };
        record.zone = "a";
        return record;
    }
};

TEST(instance_directory, aListingReplacesAllEntries)
{
    directory.applyListing({ make("one"), make("two") }, now);
    directory.applyListing({ make("two") }, now);
    CHECK(directory.find("one") == nullptr);
    CHECK_EQUAL(1U, directory.findService("orders").size());
}

TEST(instance_directory, removesAtOnceWhileThePlatformIsReachable)
{
    directory.applyListing({ make("one") }, now);
    directory.remove("one", now);
    CHECK(directory.find("one") == nullptr);
}

TEST(instance_directory, keepsEntriesThatExpiredDuringAnOutageForAGracePeriod)
{
    directory.applyListing({ make("one"), make("two") }, now);
    directory.onPlatformDisconnected();
    now = now + milliseconds(20000);
    directory.onPlatformReconnected(now);
    directory.applyListing({}, now);
    CHECK(directory.find("one") != nullptr);
    directory.put(make("one"), now + milliseconds(1900));
    directory.tick(now + milliseconds(2000));
    CHECK(directory.find("two") != nullptr);
    directory.tick(now + milliseconds(3000));
    CHECK(directory.find("one") != nullptr);
    CHECK(directory.find("two") == nullptr);
}

// Once the bounds hold again after an outage, an instance that is not listed again must not be in use.
TEST(instance_directory, dropsAMissingEntryWithinTheContactTimeOfTheStoreReturn)
{
    constexpr milliseconds contactTime { 3000 };
    constexpr milliseconds slowestReconnection { 850 };
    constexpr milliseconds tickInterval { 20 };
    directory.applyListing({ make("one") }, now);
    directory.onPlatformDisconnected();
    const auto end = now + contactTime;
    now = now + slowestReconnection;
    directory.onPlatformReconnected(now);
    directory.remove("one", now);
    for (; now <= end; now = now + tickInterval)
        directory.tick(now);
    CHECK(directory.find("one") == nullptr);
}

TEST(instance_directory, dropsNothingWhileThePlatformIsUnreachable)
{
    directory.applyListing({ make("one") }, now);
    directory.onPlatformDisconnected();
    directory.remove("one", now);
    directory.tick(now + milliseconds(100000));
    CHECK(directory.find("one") != nullptr);
}

TEST(instance_directory, aRestartUnderTheSameIdCountsAsANewInstance)
{
    auto record = make("one");
    record.startedAtMs = 5;
    directory.put(record, now);
    record.startedAtMs = 9;
    record.coldTimeLeft = milliseconds(3000);
    directory.put(record, now + milliseconds(50));
    DOUBLES_EQUAL(1050, directory.find("one")->firstSeenAt.getCount(), 0.001);
    DOUBLES_EQUAL(4050, directory.find("one")->coldUntil.getCount(), 0.001);
}

TEST(instance_directory, theNewestInstanceOwnsAReusedAddress)
{
    auto older = make("older");
    older.startedAtMs = 5;
    auto younger = make("younger");
    younger.startedAtMs = 6;
    directory.applyListing({ younger, older }, now);
    STRCMP_EQUAL("younger", directory.findByTarget({ "10.0.0.1", 80 }, "orders")->record.id.c_str());
    CHECK_EQUAL(1U, directory.findService("orders").size());
    directory.remove("younger", now);
    CHECK_EQUAL(1U, directory.findService("orders").size());
}

TEST(instance_directory, anAnnouncedStopHoldsForOneStartOfTheInstance)
{
    auto record = make("one");
    record.startedAtMs = 5;
    directory.put(record, now);
    directory.markLeaving("one", 4, now);
    CHECK_FALSE(directory.find("one")->isLeaving());
    directory.markLeaving("one", 5, now);
    CHECK(directory.find("one")->isLeaving());
    directory.remove("one", now);
    directory.put(record, now + milliseconds(30000));
    CHECK(directory.find("one")->isLeaving());
    record.startedAtMs = 9;
    directory.put(record, now + milliseconds(40000));
    CHECK_FALSE(directory.find("one")->isLeaving());
}

// Another writer left an entry with the address of an instance and a service that doesn't exist.
TEST(instance_directory, anEntryOfAnUnknownServiceHidesNoInstance)
{
    auto foreign = make("foreign");
    foreign.service = "nowhere";
    foreign.startedAtMs = 1700000000123;
    directory.applyListing({ make("one"), foreign }, now);
    directory.setServices({ "orders" });
    CHECK_EQUAL(1U, directory.findService("orders").size());
    CHECK(directory.findService("nowhere").empty());
    directory.setServices({ "nowhere" });
    CHECK_EQUAL(1U, directory.findService("nowhere").size());
}

// The copy of a restored store lacks instances until they have registered again.
TEST(instance_directory, keepsEntriesThatARestoredStoreLacks)
{
    directory.put(make("one"), now);
    directory.onPlatformRestored(now);
    directory.remove("one", now);
    directory.tick(now + milliseconds(2000));
    CHECK(directory.find("one") != nullptr);
    directory.tick(now + milliseconds(2200));
    POINTERS_EQUAL(nullptr, directory.find("one"));
}
