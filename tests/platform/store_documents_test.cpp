#include "core/error.h"
#include "platform/store_documents.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

const char* const validRules = R"({"version":"0000000c","routes":{
    "orders":{"host":"a.example","prefix":"/o/","routeKind":"non_idempotent","timeoutS":0.8,"targetLatencyS":1.5,
        "priority":0,"service":"s1","maxAttempts":2},
    "browse":{"host":"b.example","prefix":"/","routeKind":"idempotent","timeoutS":5,"targetLatencyS":1.2,
        "priority":2,"split":[{"service":"s2","weight":90},{"service":"s3","weight":10}],"maxAttempts":2}},
    "services":{"s1":{"healthPath":"/health","maxConnections":640,"protocol":"h1","tls":false}},
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1024,"headerTimeoutS":3,"idleTimeoutS":15}})";

const char* const validEntry
    = R"({"service":"s1","address":"10.0.0.9:8080","zone":"a","version":"v1","slots":90,
    "state":"ready","coldLeftS":1.5,"seq":4,"born":1700000000123})";

} // namespace

TEST_GROUP(store_documents) {};

TEST(store_documents, readsValidRules)
{
    const auto rules = readStoredRules(validRules);
    CHECK(rules.has_value());
    CHECK_EQUAL(12U, rules->version);
    const auto* orders = rules->findRoute("a.example", "/o/1");
    CHECK_FALSE(orders->isIdempotent);
    DOUBLES_EQUAL(800, orders->timeout.getCount(), 0.001);
    const auto* browse = rules->findRoute("b.example", "/x");
    CHECK(browse->isIdempotent);
    CHECK_EQUAL(2U, browse->destinations.size());
    DOUBLES_EQUAL(10, browse->destinations[1].weight, 0.001);
    LONGS_EQUAL(640, rules->services.at("s1").maxConnections);
    CHECK_EQUAL(1024U, rules->limits.bodyBytes);
    DOUBLES_EQUAL(15000, rules->limits.idleTimeout.getCount(), 0.001);
}

TEST(store_documents, rejectsInvalidRules)
{
    const std::vector<std::string> invalidTexts { "", "[]", "{}", R"({"version":"xyz","routes":{}})",
        R"({"version":"1"})", R"({"version":"1","routes":{"r":{"host":"a"}}})",
        R"({"version":"1","routes":{"r":{"host":"a","prefix":"/","split":[]}}})",
        std::string(validRules).substr(0, 200) };
    for (const auto& text : invalidTexts) {
        CHECK_FALSE(readStoredRules(text).has_value());
        CHECK(error_kind::BadDocument == getLastError().kind);
    }
}

TEST(store_documents, readsKindsOfRoutes)
{
    const auto isIdempotent = [](const std::string& kind) {
        const auto rules
            = readStoredRules(R"({"version":"1","routes":{"r":{"host":"a","prefix":"/","service":"s",
            "anonymous":true,"routeKind":")"
                + kind + "\"}}}");
        CHECK(rules->routes[0].isAnonymous);
        return rules->routes[0].isIdempotent;
    };
    CHECK(isIdempotent("idempotent"));
    CHECK(isIdempotent("download"));
    CHECK_FALSE(isIdempotent("non_idempotent"));
    CHECK_FALSE(isIdempotent("upload"));
    CHECK_FALSE(isIdempotent("unheard-of"));
}

TEST(store_documents, readsOrganisations)
{
    const auto rules = readStoredRules(R"({"version":"1","routes":{},"tenants":{
        "acme":{"apiKeys":["k1","k2"],"priority":1,"ratePerS":471.5,"burst":20},"small":{"apiKeys":[]}}})");
    CHECK(rules.has_value());
    CHECK_EQUAL(2U, rules->organisations.size());
    const auto* acme = rules->findOrganisation("k2");
    STRCMP_EQUAL("acme", acme->name.c_str());
    LONGS_EQUAL(1, acme->priority.value_or(-1));
    DOUBLES_EQUAL(471.5, acme->ratePerSecond, 0.001);
    DOUBLES_EQUAL(20, acme->burst, 0.001);
    DOUBLES_EQUAL(0, rules->organisations.at("small").ratePerSecond, 0.001);
    CHECK_FALSE(rules->organisations.at("small").priority.has_value());
    POINTERS_EQUAL(nullptr, rules->findOrganisation("k3"));
    POINTERS_EQUAL(nullptr, rules->findOrganisation(""));
}

// Without a table, requests need no key; an empty table holds none, so that every key is unknown.
TEST(store_documents, tellsAnEmptyTableOfOrganisationsFromNone)
{
    const auto none = readStoredRules(R"({"version":"1","routes":{}})");
    const auto empty = readStoredRules(R"({"version":"1","routes":{},"tenants":{}})");
    CHECK_FALSE(none->requiresKeys());
    CHECK(empty->requiresKeys());
    CHECK(*none != *empty);
    POINTERS_EQUAL(nullptr, empty->findOrganisation(""));
}

// A document that gives a key to the wrong organisation, or loses a limit, must not take effect; and no
// reason may show a key.
TEST(store_documents, rejectsInvalidOrganisations)
{
    for (const char* organisations :
        { "[]", R"({"a":{"apiKeys":["secret"]},"b":{"apiKeys":["secret"]}})", R"({"a":{}})", R"({"a":[]})",
            R"({"a":{"apiKeys":["secret",7]}})", R"({"a":{"apiKeys":[""]}})",
            R"({"a":{"apiKeys":["secret"],"ratePerS":-1}})", R"({"a":{"apiKeys":["secret"],"burst":"many"}})",
            R"({"a":{"apiKeys":["secret"],"priority":1e300}})", R"({"a\r\nb":{"apiKeys":["secret"]}})",
            R"({"":{"apiKeys":["secret"]}})" }) {
        const auto text = std::string(R"({"version":"1","routes":{},"tenants":)") + organisations + '}';
        CHECK_FALSE(readStoredRules(text).has_value());
        CHECK(error_kind::BadDocument == getLastError().kind);
        CHECK(getLastError().detail.find("secret") == std::string::npos);
    }
}

TEST(store_documents, readsValidInstance)
{
    const auto record = readStoredInstance("i-1", validEntry);
    CHECK(record.has_value());
    STRCMP_EQUAL("10.0.0.9:8080", formatAddress(record->target).c_str());
    LONGS_EQUAL(90, record->slots);
    CHECK_FALSE(record->isDraining);
    DOUBLES_EQUAL(1500, record->coldTimeLeft.getCount(), 0.001);
    CHECK_EQUAL(1700000000123U, record->startedAtMs);
}

// Other writers can store entries under the same prefix; an invalid entry must not be used as an instance.
TEST(store_documents, rejectsInvalidInstance)
{
    const std::string validText = validEntry;
    const auto replaced = [&](const std::string& from, const std::string& to) {
        auto text = validText;
        text.replace(text.find(from), from.size(), to);
        return text;
    };
    const std::vector<std::string> invalidTexts { "", "\xff\xfe", "7", replaced("\"s1\"", "7"),
        replaced("\"ready\"", "\"going\""), replaced("90", "\"90\""), replaced("90", "-1"),
        replaced("90", "2.5"), replaced("\"10.0.0.9:8080\"", "\"here\""), replaced("1.5", "\"soon\""),
        replaced("\"seq\":4", "\"seq\":null"), replaced("\"zone\":\"a\",", ""),
        replaced("1700000000123", "\"then\""), replaced("\"v1\"", "1") };
    for (const auto& text : invalidTexts)
        CHECK_FALSE(readStoredInstance("i-1", text).has_value());
}
