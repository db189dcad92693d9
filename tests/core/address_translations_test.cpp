#include "core/address_translations.h"

#include "core/error.h"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

TEST_GROUP(address_translations) {};

TEST(address_translations, translatesOnlyListedAddresses)
{
    const auto translations = address_translations::parse({ "10.0.0.1:80=10.9.0.1:8080" });
    CHECK(translations.has_value());
    STRCMP_EQUAL("10.9.0.1:8080", translations->translate("10.0.0.1:80").c_str());
    STRCMP_EQUAL("10.0.0.1:81", translations->translate("10.0.0.1:81").c_str());
}

TEST(address_translations, refusesMalformedAndDuplicateEntries)
{
    for (const char* entry : { "", "=", "10.0.0.1:80", "10.0.0.1:80=", "a=b", "10.0.0.1:80=10.0.0.2" }) {
        CHECK(!address_translations::parse({ entry }));
        CHECK(getLastError().kind == error_kind::BadSettings);
    }
    CHECK(!address_translations::parse({ "10.0.0.1:80=10.0.0.2:1", "10.0.0.1:80=10.0.0.2:2" }));
}
