#include "core/settings.h"

#include "core/text_file.h"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

/// @return the text of valid settings with the first occurrence of `original` replaced.
std::string makeSettings(const std::string& original, const std::string& replacement)
{
    std::string text = R"({ // one node
        "instance": "orders-1", "service": "orders", "region": "zapad", "zone": "zapad-a",
        "listen": { "edge": "127.0.0.1:1", "mesh": "127.0.0.1:2", "egress": "127.0.0.1:3",
                    "peer": "127.0.0.1:4", "admin": "127.0.0.1:5" },
        "target": { "address": "127.0.0.1:6" },
        "fleet": { "keys": ["0123456789abcdef"] }
    })";
    const auto position = text.find(original);
    CHECK_TRUE(position != std::string::npos);
    return text.replace(position, original.size(), replacement);
}

struct settings_case {
    const char* original;
    const char* replacement;
    const char* expected; ///< Text that the error detail must contain.
};

// clang-format off
const settings_case invalidSettings[] = {
    { "\"instance\": \"orders-1\",", "", "f: `instance`: missing; expected text, not empty" },
    { "\"orders-1\"", "\"\"", "f: `instance`: got \"\"; expected text, not empty" },
    { "\"orders-1\"", "7", "f: `instance`: got 7; expected text, not empty" },
    { "\"orders-1\"", "\"a b\"", "f: `instance`: got `a b`; expected 1 to 64 letters, digits, `_`, `-` or `.`" },
    { "\"127.0.0.1:2\"", "\"127.0.0.1:1\"", "f: `listen.mesh`: the same address as `listen.edge`; expected an address of its own for each listener" },
    { "\"127.0.0.1:6\"", "\"127.0.0.1:5\"", "f: `target.address`: the same address as `listen.admin`; expected an address at which the node itself does not listen" },
    { "\"127.0.0.1:6\"", "\"store.example:80\"", "f: `target.address`: got \"store.example:80\"; expected address (`ip:port`)" },
    { "\"127.0.0.1:6\"", "\"127.0.0.1:70000\"", "f: `target.address`: got \"127.0.0.1:70000\"; expected address (`ip:port`)" },
    { "\"instance\"", "\"instnace\"", "f: `instnace`: unknown key; did you mean `instance`?; expected a key from the settings page" },
    { "\"listen\": {", "\"edge\": 1, \"listen\": {", "f: `edge`: unknown key; did you mean `listen.edge`?; expected a key from the settings page" },
    { "\"zone\"", "\"colour\": 1, \"zone\"", "f: `colour`: unknown key; expected a key from the settings page" },
    { "\"zone\"", "\"colour\": {}, \"zone\"", "f: `colour`: unknown key; expected a key from the settings page" },
    { "\"zone\"", "\"listen.edge\": {}, \"zone\"", "f: `listen.edge`: a dot in a key; expected an object for each part of the path" },
    { "\"target\": {", "\"target\": { \"address\": \"127.0.0.1:7\",", "f: `target.address`: the key is there twice; expected each key once" },
    { "\"target\": {", "\"target\": { \"poll_ms\": 5,", "f: `target.poll_ms`: got 5; expected integer from 50 to 60000" },
    { "\"target\": {", "\"target\": { \"poll_ms\": 500.5,", "f: `target.poll_ms`: got 500.5; expected integer from 50 to 60000" },
    { "\"target\": {", "\"target\": { \"poll_ms\": \"500\",", "f: `target.poll_ms`: got \"500\"; expected integer from 50 to 60000" },
    { "\"target\": {", "\"target\": { \"load_path\": \"load\",", "f: `target.load_path`: got `load`; expected a path that begins with `/`, or nothing" },
    { "[\"0123456789abcdef\"]", "[]", "f: `fleet.keys`: got a list; expected list of texts, not empty" },
    { "[\"0123456789abcdef\"]", "[\"a\", \"a\"]", "f: `fleet.keys`: a duplicate entry; expected each entry once" },
    { "\"fleet\": {", "\"fleet\": { \"seeds\": [\"127.0.0.1\"],", "f: `fleet.seeds`: got `127.0.0.1`; expected IP addresses with ports, `ip:port`" },
    { "\"fleet\": {", "\"fleet\": { \"routes\": [\"127.0.0.1:1\"],", "f: `fleet.routes`: `127.0.0.1:1` is not of the form `ip:port=ip:port`; expected two addresses in each entry, each advertised one only once" },
    { "\"fleet\": {", "\"fleet\": { \"routes\": [\"127.0.0.1:1=127.0.0.1:2\", \"127.0.0.1:1=127.0.0.1:3\"],", "f: `fleet.routes`: `127.0.0.1:1` has two routes; expected two addresses in each entry, each advertised one only once" },
    { "\"fleet\": {", "\"fleet\": { \"start_number\": -1,", "f: `fleet.start_number`: got -1; expected integer from 0 or more" },
    { "\"fleet\": {", "\"log\": { \"level\": \"loud\" }, \"fleet\": {", "f: `log.level`: got `loud`; expected debug, info, warning or error" },
    { "\"fleet\": {", "\"policy\": { \"naive\": 1 }, \"fleet\": {", "f: `policy.naive`: got 1; expected true or false" },
    { "\"fleet\": {", "\"limits\": 1e999, \"fleet\": {", "f: not JSON: number overflow parsing '1e999'" },
    { "{ // one node", "[ {", "f: not JSON: parse error at line 7" },
};
// clang-format on

} // namespace

TEST_GROUP(settings) {};

TEST(settings, reportsFileKeyActualAndExpectedValue)
{
    for (const auto& row : invalidSettings) {
        CHECK_TEXT(!settings::parse(makeSettings(row.original, row.replacement), "f"), row.expected);
        STRCMP_CONTAINS(row.expected, getLastError().detail.c_str());
        CHECK(getLastError().kind == error_kind::BadSettings);
    }
}

TEST(settings, reportsAllErrorsAtOnce)
{
    CHECK(!settings::parse("{\"instance\": 1, \"zonne\": \"a\"}", "f"));
    STRCMP_CONTAINS("`instance`: got 1", getLastError().detail.c_str());
    STRCMP_CONTAINS("`listen.edge`: missing", getLastError().detail.c_str());
    STRCMP_CONTAINS("did you mean `zone`?", getLastError().detail.c_str());
}

TEST(settings, readsValuesAndDefaults)
{
    const auto parsed
        = settings::parse(makeSettings("\"fleet\": {", "\"fleet\": { \"seeds\": [\"[::1]:9\"],"), "f");
    CHECK_TRUE(parsed.has_value());
    STRCMP_EQUAL("zapad-a", parsed->getText("zone").c_str());
    CHECK_EQUAL(500, parsed->getInteger("target.poll_ms"));
    CHECK_EQUAL(1, parsed->getTextList("fleet.seeds").size());
    CHECK(!parsed->getFlag("policy.naive"));
}

TEST(settings, acceptsSeveralListenersOnPortZero)
{
    // With port 0 the kernel chooses a free port, so equal addresses do not conflict.
    const auto text = makeSettings(
        "\"127.0.0.1:1\", \"mesh\": \"127.0.0.1:2\"", "\"127.0.0.1:0\", \"mesh\": \"127.0.0.1:0\"");
    CHECK_TRUE(settings::parse(text, "f").has_value());
}

TEST(settings, refusesFilesThatCannotBeRead)
{
    CHECK(!settings::load("/nowhere/node.json"));
    STRCMP_EQUAL("/nowhere/node.json: No such file or directory; expected a readable file",
        getLastError().detail.c_str());
    CHECK(!settings::load("/"));
    STRCMP_EQUAL("/: a directory; expected a file", getLastError().detail.c_str());
    CHECK(!settings::load("/dev/zero"));
    STRCMP_CONTAINS("larger than 1048576 bytes", getLastError().detail.c_str());
}

TEST(settings, referencePageIsCurrent)
{
    const auto page = readTextFile(FUCHSIAGAUGE_SOURCE_DIR "/docs/SETTINGS.md", 1048576);
    CHECK_TRUE(page.has_value());
    STRCMP_EQUAL(formatSettingsReference().c_str(), page->c_str());
}
