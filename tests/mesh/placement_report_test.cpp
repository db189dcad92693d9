#include "tests/mesh/test_mesh.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h> // Must be included last: it redefines `new` as a macro.

using namespace fuchsiagauge;
using json = nlohmann::json;

TEST_GROUP(placement_report)
{
    test_mesh mesh;
    test_mesh::vm& entry = mesh.addVm("i-1", "front");
    test_mesh::vm& near = mesh.addVm("i-2", "orders");
    test_mesh::vm& far = mesh.addVm("i-3", "orders", "c");

    void setup() override
    {
        far.isDraining = true;
        mesh.publishInstances();
        auto rules = test_mesh::makeRules("orders", true);
        rules.limits.bodyBytes = 1000;
        mesh.publishRules(rules);
    }

    /// @return the node's metrics, without the number of connections: each question of this test opens one.
    std::string fetchMetrics()
    {
        auto text = mesh.fetchAdmin(entry, "/metrics").body;
        const auto start = text.find("\nfuchsiagauge_mesh_connections ");
        CHECK(start != std::string::npos);
        return text.erase(start, text.find('\n', start + 1) - start);
    }

    json ask(const std::string& query, int status = 200)
    {
        const auto result = mesh.fetchAdmin(entry, "/place?" + query);
        LONGS_EQUAL(status, result.head.status);
        return json::parse(result.body);
    }
};

// Guards against a report that sends something, counts itself or moves the state of the node.
TEST(placement_report, tellsWhereARequestGoesAndChangesNothing)
{
    mesh.await(mesh.send(entry, "first"));
    const auto metrics = fetchMetrics();
    const auto first = ask("host=shop&path=%2Fx%3Fy&method=POST&size=10");
    const auto second = ask("service=orders");
    STRCMP_EQUAL(metrics.c_str(), fetchMetrics().c_str());
    LONGS_EQUAL(1, near.received.size() + far.received.size());
    CHECK(first["admission"]["accepted"] == true);
    for (const auto& report : { first, second }) {
        const auto& service = report["services"].at(0);
        CHECK(service["chosen"] == "i-2");
        CHECK(service["candidates"].at(0)["load"]["usable_slots"] == 2);
        CHECK(service["left_out"].at(0)["instance"] == "i-3");
        CHECK(service["left_out"].at(0)["reason"] == "leaving");
    }
}

TEST(placement_report, tellsWhyARequestWouldBeRefused)
{
    CHECK(ask("host=shop&path=/x&size=1001")["admission"]["status"] == 413);
    CHECK(ask("host=nowhere&path=/x")["admission"]["status"] == 404);
    CHECK(ask("service=nowhere")["services"].at(0)["chosen"].is_null());
    for (const char* query :
        { "", "service=orders&host=shop&path=/x", "service=%4", "service=orders&size=-1", "other=1" })
        CHECK(ask(query, 400).contains("error"));
}
