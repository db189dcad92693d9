#include "core/preset_parser.h"

#include "core/error.h"
#include "core/preset_diff.h"
#include "core/text_file.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace fuchsiagauge;

namespace {

const char validDocument[] = R"({ "format": 1, "in_force": "day", /* comment */ "presets": { "day": {
    "retries": { "per_request": 2, "fleet_ratio": 0.1 },
    "link": { "bytes_per_second": 1000, "small_answer_bytes": 10 },
    "classes": { "browse": { "priority": 100 }, "order": { "priority": 800, "deadline_ms": 3000, "at_most_once": true } },
    "services": { "catalogue": { "class": "browse" },
        "orders": { "class": "order", "routes": [ { "method": "GET", "path_prefix": "/list", "class": "browse" } ] } }
} } })";

/// @return the valid document with the first occurrence of a text replaced.
std::string replaceOnce(const std::string& original, const std::string& replacement)
{
    std::string text = validDocument;
    const auto position = text.find(original);
    CHECK_TRUE(position != std::string::npos);
    return text.replace(position, original.size(), replacement);
}

std::string readExample(const std::string& name)
{
    const auto text = readTextFile(FUCHSIAGAUGE_SOURCE_DIR "/docs/examples/" + name, maxPresetDocumentBytes);
    CHECK_TRUE(text.has_value());
    return *text;
}

std::string repeat(const std::string& text, int count)
{
    std::string repeated;
    for (int i = 0; i < count; ++i)
        repeated += text;
    return repeated;
}

struct document_case {
    const char* original;
    const char* replacement;
    const char* expected;
};

// clang-format off
const document_case invalidDocuments[] = {
    { "\"format\": 1,", "", "`format`: missing; expected 1" },
    { "\"format\": 1", "\"format\": 2", "`format`: got 2; expected an integer from 1 to 1" },
    { "\"in_force\": \"day\",", "", "`in_force`: missing; expected a text, not empty" },
    { "\"in_force\": \"day\"", "\"in_force\": \"dat\"", "`in_force`: names the preset `dat`, which the document does not have; did you mean `day`?; expected a preset of the document" },
    { "\"presets\": {", "\"presets\": 3, \"x\": {", "`presets`: got 3; expected an object" },
    { "\"day\": {", "\"day\": 1, \"d a y\": {", "`presets`: got the name \"d a y\"; expected 1 to 64 letters, digits, `_`, `-` or `.`" },
    { "\"retries\"", "\"retrys\"", "`presets.day.retrys`: unknown key; did you mean `retries`?; expected only retries, link, classes, services" },
    { "\"per_request\": 2", "\"per_request\": 11", "`presets.day.retries.per_request`: got 11; expected an integer from 0 to 10" },
    { "\"fleet_ratio\": 0.1", "\"fleet_ratio\": \"10%\"", "`presets.day.retries.fleet_ratio`: got \"10%\"; expected a number from 0 to 1" },
    { "\"priority\": 800", "\"priority\": 1e30", "`presets.day.classes.order.priority`: got 1e+30; expected an integer from 0 to 1000" },
    { "\"priority\": 800", "\"priority\": 18446744073709551617", "`presets.day.classes.order.priority`: got 1.8446744073709552e+19; expected an integer from 0 to 1000" },
    { "\"priority\": 800", "\"priority\": -1", "`presets.day.classes.order.priority`: got -1; expected an integer from 0 to 1000" },
    { "\"priority\": 800", "\"priority\": 1e999", "not JSON: number overflow parsing '1e999'" },
    { "\"priority\": 800", "\"priority\": 1, \"priority\": 800", "`presets.day.classes.order.priority`: the key is there twice; expected each key once" },
    { "\"deadline_ms\": 3000", "\"deadline_ms\": 0", "`presets.day.classes.order.deadline_ms`: got 0; expected a number from 1 to 3600000" },
    { "\"at_most_once\": true", "\"at_most_once\": \"yes\"", "`presets.day.classes.order.at_most_once`: got \"yes\"; expected true or false" },
    { "\"at_most_once\": true", "\"at_most_once\": true, \"idempotent\": true", "`presets.day.classes.order`: `at_most_once` and `idempotent` are both true; expected at most one of them to be true" },
    { "\"class\": \"browse\" },", "\"class\": \"brwse\" },", "`presets.day.services.catalogue.class`: names the class `brwse`, which this preset does not have; did you mean `browse`?; expected a class of the same preset" },
    { "\"class\": \"browse\" },", "},", "`presets.day.services.catalogue.class`: missing; expected a text, not empty" },
    { "\"class\": \"browse\" } ]", "\"class\": \"none\" } ]", "`presets.day.services.orders.routes[0].class`: names the class `none`, which this preset does not have; expected a class of the same preset" },
    { "\"GET\"", "\"get\"", "`presets.day.services.orders.routes[0].method`: got `get`; expected an HTTP method in capital letters" },
    { "\"/list\"", "\"list\"", "`presets.day.services.orders.routes[0].path_prefix`: got `list`; expected a path that begins with `/`" },
    { "[ {", "[ 5, {", "`presets.day.services.orders.routes[0]`: got 5; expected an object" },
    { "\"class\": \"browse\" },", "\"class\": \"browse\", \"min_limit\": 9, \"max_limit\": 3 },", "`presets.day.services.catalogue.min_limit`: 9 is above `max_limit`, which is 3; expected at most `max_limit`" },
    { "/* comment */", "\"\xff\": 1,", "not JSON: parse error at line 1" },
};

const document_case documentsWithWarnings[] = {
    { "\"priority\": 100", "\"priority\": 900", "`presets.day.classes.browse.priority`: catalogue browsing has priority 900, `orders` has 800 (class `order`); expected a lower priority, as browsing is shed first under overload" },
    { "\"deadline_ms\": 3000, ", "", "`presets.day.classes.order`: runs at most once, but has no `deadline_ms`; expected a deadline, as callers ask again after it; it is 1000 ms now" },
    { "\"classes\": {", "\"classes\": { \"spare\": {},", "`presets.day.classes.spare`: no service uses this class; expected a service whose `class` or `routes` name it" },
    { "{ \"method\": \"GET\"", "{ \"path_prefix\": \"/l\", \"class\": \"browse\" }, { \"method\": \"GET\"", "`presets.day.services.orders.routes[1]`: never used: routes[0] takes all of its requests; expected the narrower route first" },
    { "\"fleet_ratio\": 0.1", "\"fleet_ratio\": 0", "`presets.day.retries`: `fleet_ratio` is 0, so `per_request` has no effect; expected a ratio above 0, or `per_request` 0" },
    { "\"bytes_per_second\": 1000", "\"bytes_per_second\": 0", "`presets.day.link.bytes_per_second`: 0: no call crosses regions; expected the bytes a second that the link between regions may carry" },
    { "\"presets\": {", "\"presets\": { \"night\": {},", "`presets.night.services`: no service `catalogue`, which the preset `day` has; expected the same services in every preset" },
};
// clang-format on

bool hasFinding(const document_findings& findings, finding_severity severity, const char* text)
{
    return std::any_of(findings.begin(), findings.end(), [&](const document_finding& finding) {
        return finding.severity == severity && formatFinding(finding) == text;
    });
}

} // namespace

TEST_GROUP(preset_parser) {};

TEST(preset_parser, readsValidDocumentWithoutFindings)
{
    const auto check = checkPresetDocument(validDocument);
    CHECK_TRUE(check.document.has_value());
    STRCMP_EQUAL("[]", formatFindingsAsJson(check.findings).c_str());
    const auto& rules = check.document->getActivePreset();
    STRCMP_EQUAL("browse", rules.selectClass("orders", "GET", "/list/7").name.c_str());
    CHECK(rules.selectClass("orders", "POST", "/list").isAtMostOnce);
    CHECK(parsePresetDocument(validDocument) == check.document);
}

TEST(preset_parser, reportsPathFoundAndExpectedValue)
{
    for (const auto& row : invalidDocuments) {
        const auto text = replaceOnce(row.original, row.replacement);
        CHECK_TEXT(!checkPresetDocument(text).document, row.expected);
        CHECK_TEXT(!parsePresetDocument(text), row.expected);
        STRCMP_CONTAINS(row.expected, getLastError().detail.c_str());
        CHECK(getLastError().kind == error_kind::BadDocument);
    }
}

TEST(preset_parser, warnsAboutValidButDoubtfulRules)
{
    for (const auto& row : documentsWithWarnings) {
        const auto check = checkPresetDocument(replaceOnce(row.original, row.replacement));
        CHECK_TEXT(check.document.has_value(), row.expected);
        CHECK_TEXT(hasFinding(check.findings, finding_severity::Warning, row.expected), row.expected);
    }
}

TEST(preset_parser, reportsAllErrorsAtOnce)
{
    const auto check = checkPresetDocument(
        R"({ "in_force": 3, "presets": { "a": { "classes": { "x": { "priority": -1, "large": 1 } }, "oops": 1 } } })");
    CHECK_EQUAL(5, check.findings.size());
    STRCMP_EQUAL(R"([{"expected":"1","found":"missing","path":"format","severity":"fault"}])",
        formatFindingsAsJson({ check.findings.front() }).c_str());
}

TEST(preset_parser, refusesMalformedDocumentsWithShortErrors)
{
    const std::string malformedDocuments[] = { repeat("[", 500000), repeat("{\"a\":", 100000),
        repeat("{\"a\":", 30) + "1" + repeat("}", 30), std::string(2000000, ' '),
        "{\"format\": 1, \"in_force\": \"a\", \"presets\": {" + repeat("\"a\": 1,", 100000) + "\"b\": 2}}",
        std::string("{\"format\":\0 1}", 14), "\xef\xbb\xbf", "", "null", "[]", "/*" };
    for (const auto& text : malformedDocuments) {
        CHECK(!parsePresetDocument(text));
        CHECK(getLastError().kind == error_kind::BadDocument);
        CHECK(getLastError().detail.size() < 10000);
    }
}

TEST(preset_parser, acceptsExampleDocumentsWithoutFindings)
{
    for (const auto* name : { "vysivka.json", "cutworks.json" }) {
        const auto check = checkPresetDocument(readExample(name));
        STRCMP_EQUAL("[]", formatFindingsAsJson(check.findings).c_str());
        CHECK_EQUAL(3, check.document->presets.size());
    }
}

TEST_GROUP(preset_diff)
{
    preset_document document = *parsePresetDocument(validDocument);

    void checkSingleChange(const preset_document& after, const char* sentence)
    {
        const auto changes = comparePresetDocuments(document, after);
        CHECK_EQUAL(1, changes.size());
        STRCMP_EQUAL(sentence, changes.front().sentence.c_str());
    }
};

TEST(preset_diff, findsNoChangesInEqualDocuments)
{
    CHECK(comparePresetDocuments(document, document).empty());
}

TEST(preset_diff, describesEachChangeInOneSentence)
{
    auto after = document;
    after.presets["day"].classes["browse"].priority = 50;
    checkSingleChange(after, "In force, class `browse`: the priority falls from 100 to 50.");
    CHECK(comparePresetDocuments(document, after).front().affectsActivePreset);
    after = document;
    after.presets["day"].services["orders"].routes.clear();
    checkSingleChange(
        after, "In force, service `orders`: the routes change from (GET /list is browse) to (none).");
    after = document;
    after.presets["day"].classes["order"].isAtMostOnce = false;
    checkSingleChange(
        after, "In force, class `order`: requests no longer need a ticket and may run more than once.");
    after = document;
    after.presets["day"].services.erase("orders");
    checkSingleChange(after, "In force: service `orders` is removed.");
    after = document;
    after.presets["night"] = after.presets["day"];
    checkSingleChange(after, "Preset `night`: added.");
}

TEST(preset_diff, comparesActivePresetsWhenSelectionChanges)
{
    const auto before = *parsePresetDocument(readExample("vysivka.json"));
    auto after = before;
    after.activePreset = "peak";
    const auto changes = comparePresetDocuments(before, after);
    STRCMP_EQUAL("The preset in force changes from `ordinary` to `peak`.", changes.front().sentence.c_str());
    STRCMP_EQUAL(
        "In force: the number of retries for one request falls from 2 to 1.", changes.at(1).sentence.c_str());
    CHECK(std::all_of(
        changes.begin(), changes.end(), [](const preset_change& c) { return c.affectsActivePreset; }));
}
