#include "core/fleet_keys.h"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

TEST_GROUP(fleet_keys_tests) {};

TEST(fleet_keys_tests, computesHmacSha256)
{
    // Test case 2 of RFC 4231, truncated to 128 bits.
    const fleet_keys keys({ "Jefe" });
    STRCMP_EQUAL("5bdcc146bf60754e6a042426089575c7", keys.sign("what do ya want for nothing?").c_str());
    STRCMP_EQUAL("5bdcc146bf60754e6a042426089575c7", keys.sign("what do ya want for nothing?").c_str());
}

TEST(fleet_keys_tests, verifiesEveryKeyAndSignsWithTheFirst)
{
    const fleet_keys before({ "old" });
    const fleet_keys during({ "new", "old" });
    const fleet_keys after({ "new" });
    CHECK(during.isValidSignature("text", before.sign("text")));
    CHECK(after.isValidSignature("text", during.sign("text")));
    CHECK(!after.isValidSignature("text", before.sign("text")));
    CHECK(!after.isValidSignature("other text", after.sign("text")));
    CHECK(!after.isValidSignature("text", ""));
}
