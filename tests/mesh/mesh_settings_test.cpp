#include "core/error.h"
#include "core/text_file.h"
#include "mesh/mesh_settings.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

const char* const validSettings
    = R"({ "node": "side-a-1", "service": "orders", "zone": "a", // as the platform names it
    "zones": ["a=west", "b=east"], "target": { "address": "10.0.0.8:8301" },
    "listen": { "callers": "10.0.0.8:1", "peers": "10.0.0.8:2", "ready": "10.0.0.8:3", "metrics": "10.0.0.8:4" },
    "platform": { "address": "10.9.0.1:80" }, "stop": { "grace_s": 6 },
    "repeats": { "ratio": 0.2, "window_s": 10, "extra": 50 } })";

std::string replaceInSettings(const std::string& from, const std::string& to)
{
    std::string text = validSettings;
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_GROUP(mesh_settings) {};

TEST(mesh_settings, parsesACompleteFile)
{
    const auto config = mesh_settings::parse(validSettings, "file");
    CHECK(config.has_value());
    STRCMP_EQUAL("orders", config->service.c_str());
    CHECK_FALSE(config->location.isSameRegion("a", "b"));
    DOUBLES_EQUAL(6000, config->gracePeriod.getCount(), 0.001);
    DOUBLES_EQUAL(10000, config->retryLimits.window.getCount(), 0.001);
    LONGS_EQUAL(4, config->metricsListener.port);
}

TEST(mesh_settings, rejectsInvalidSettingsAndNamesTheKey)
{
    const std::vector<std::pair<std::string, std::string>> invalidCases {
        { replaceInSettings("\"node\": \"side-a-1\",", ""), "node" },
        { replaceInSettings("10.0.0.8:8301", "here"), "target.address" },
        { replaceInSettings("a=west", "a"), "zones" },
        { replaceInSettings("\"ratio\": 0.2", "\"ratio\": 7"), "repeats.ratio" },
        { replaceInSettings("10.9.0.1:80\"", "10.9.0.1:80\", \"revoke_s\": 1.5"), "platform.revoke_s" },
        { replaceInSettings("\"grace_s\": 6", "\"grace_s\": \"6\""), "stop.grace_s" },
        { replaceInSettings("\"zone\":", "\"zoen\":"), "zoen" },
        { std::string(validSettings).substr(0, 90), "" },
    };
    for (const auto& [text, key] : invalidCases) {
        CHECK_FALSE(mesh_settings::parse(text, "file").has_value());
        CHECK(error_kind::BadSettings == getLastError().kind);
        CHECK(getLastError().detail.find(key) != std::string::npos);
    }
}

TEST(mesh_settings, referencePageMatchesTheSettingsTable)
{
    const auto page = readTextFile(FUCHSIAGAUGE_SOURCE_DIR "/docs/MESH_SETTINGS.md", 1048576);
    CHECK(page.has_value());
    STRCMP_EQUAL(formatMeshSettingsReference().c_str(), page->c_str());
}
