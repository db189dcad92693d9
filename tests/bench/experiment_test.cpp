#include "bench/experiment.h"
#include "core/error.h"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;
using namespace fuchsiagauge::bench;

namespace {

std::string makeExperimentJson(const std::string& groupKeys, const std::string& topKeys = "")
{
    return R"({ // comment
        "groups": [{"name": "a", "edges": ["127.0.0.1:1"])"
        + groupKeys + "}]" + topKeys + '}';
}

} // namespace

TEST_GROUP(experiment_file) {};

TEST(experiment_file, parsesEveryKey)
{
    const auto plan = parseExperiment(makeExperimentJson(
        R"(, "class": "c", "method": "POST", "path": "/p", "rate": 5.5, "deadline_ms": 30,
           "client_retries": {"max": 3, "backoff_ms": 7}, "at_most_once": true, "bytes": 9,
           "request_bytes": 8, "connections": 4)",
        R"(, "seed": 6, "duration_s": 12, "warm_up_s": 2,
           "phases": [{"from_s": 1, "to_s": 2, "factor": 3, "groups": ["a"]}])"));
    CHECK(plan.has_value());
    const auto& group = plan->groups.at(0);
    CHECK(group.className == "c" && group.method == "POST" && group.path == "/p");
    CHECK(group.edges == std::vector<address> { (address { "127.0.0.1", 1 }) });
    CHECK(group.ratePerS == 5.5 && group.deadlineMs == 30 && group.maxRetries == 3 && group.backoffMs == 7);
    CHECK(group.isAtMostOnce && group.responseBytes == 9 && group.requestBytes == 8
        && group.maxConnections == 4);
    CHECK(plan->seed == 6 && plan->durationS == 12 && plan->warmUpS == 2);
    CHECK(plan->phases.at(0).factor == 3 && plan->phases.at(0).groups.at(0) == "a");
}

TEST(experiment_file, rejectsInvalidFilesAndNamesTheKey)
{
    const struct {
        std::string text;
        const char* expectedDetail;
    } rows[] = {
        { "{", "not JSON" },
        { "[]", "expected an object" },
        { "{}", "`groups`: none; expected at least one" },
        { R"({"groups": {}})", "`groups`: got an object; expected a list" },
        { R"({"groups": [{"name": "a"}]})", "`groups[0].edges`: none; expected at least one address" },
        { R"({"groups": [{"edges": ["127.0.0.1:1"]}]})", "`groups[0].name`: missing" },
        { R"({"groups": [{"name": "a", "edges": ["nowhere"]}]})",
            "`groups[0].edges`: got `nowhere`; expected `ip:port`" },
        { makeExperimentJson(R"(, "rat": 1)"), "`groups[0].rat`: unknown key" },
        { makeExperimentJson(R"(, "rate": "1")"), "`groups[0].rate`: got \"1\"; expected a number from 0" },
        { makeExperimentJson(R"(, "rate": -1)"), "`groups[0].rate`: got -1; expected a number from 0" },
        { makeExperimentJson(R"(, "at_most_once": 1)"),
            "`groups[0].at_most_once`: got 1; expected true or false" },
        { makeExperimentJson(R"(, "client_retries": {"most": 1})"),
            "`groups[0].client_retries.most`: unknown key" },
        { makeExperimentJson(R"(, "path": "p")"), "`groups[0].path`: got `p`; expected a path" },
        { makeExperimentJson("", R"(, "duration_s": 0)"), "`duration_s`: got 0; expected a number" },
        { makeExperimentJson("", R"(, "phases": [{"from_s": 2, "to_s": 1}])"),
            "`phases[0].to_s`: not after `from_s`" },
        { makeExperimentJson("", R"(, "phases": [{"to_s": 1, "groups": ["b"]}])"), "names the group `b`" },
        { makeExperimentJson("", R"(, "speed": 1)"), "`speed`: unknown key" },
    };
    for (const auto& row : rows) {
        CHECK(!parseExperiment(row.text));
        CHECK(getLastError().kind == error_kind::BadSettings);
        STRCMP_CONTAINS(row.expectedDetail, getLastError().detail.c_str());
    }
}
