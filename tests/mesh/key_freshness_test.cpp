#include "core/digest.h"
#include "tests/mesh/test_mesh.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

constexpr milliseconds revokeTime { 3600000 };

} // namespace

// The answers of an entry node to requests with keys, while its rules are proved current and while not.
TEST_GROUP(mesh_key_freshness)
{
    test_mesh mesh;
    test_mesh::vm* entry = nullptr;
    test_mesh::vm* callee = nullptr;

    void start(milliseconds limit)
    {
        mesh.setRevokeTime(limit);
        entry = &mesh.addVm("i-1", "front");
        callee = &mesh.addVm("i-2", "orders");
        mesh.publishInstances();
        auto rules = test_mesh::makeRules("orders", true);
        auto open = rules.routes.front();
        open.name = "open";
        open.pathPrefix = "/open/";
        open.isAnonymous = true;
        rules.routes.push_back(open);
        rules.routes.front().pathPrefix = "/x";
        rules.organisations["acme"] = { "acme", 1, 0, 0 };
        rules.organisationsByKeyDigest[computeDigest("key-1")] = "acme";
        mesh.publishRules(rules);
    }

    /// Tells the entry node of a read of the platform that was sent some time ago.
    void prove(milliseconds ago)
    {
        auto& exchange = entry->node->getReplicaExchange();
        exchange.applyFromPlatform({ 5, true, {}, {} });
        exchange.onPlatformReachable();
        exchange.onPlatformRead({ fuchsiagauge::clock::makeBoot().now() - ago, 5 });
    }

    const outgoing_result& request(
        const std::string& id, const std::string& key, const std::string& path = "/x")
    {
        std::vector<header_field> fields;
        if (!key.empty())
            fields.push_back({ "Api-Key", key });
        return mesh.await(mesh.send(*entry, id, path, fields));
    }
};

TEST(mesh_key_freshness, refusesEveryKeyUntilTheRulesAreProvedAndAcceptsItAtOnce)
{
    start(revokeTime);
    for (const char* key : { "key-1", "key-2" }) {
        const auto refused = request("a", key);
        LONGS_EQUAL(503, refused.head.status);
        CHECK(refused.head.fields.find("Retry-After") != nullptr);
        CHECK(refused.body.find("unproved-rules") != std::string::npos);
    }
    LONGS_EQUAL(503, request("b", "key-1", "/none").head.status);
    CHECK(callee->received.empty());
    prove({});
    LONGS_EQUAL(200, request("c", "key-1").head.status);
    LONGS_EQUAL(401, request("d", "key-2").head.status);
    LONGS_EQUAL(404, request("e", "key-1", "/none").head.status);
}

TEST(mesh_key_freshness, refusesKeysWithAnOldProof)
{
    start(revokeTime);
    prove(revokeTime * 0.95);
    LONGS_EQUAL(503, request("a", "key-1").head.status);
}

TEST(mesh_key_freshness, servesRequestsWithoutAKeyAsBefore)
{
    start(revokeTime);
    LONGS_EQUAL(200, request("a", "", "/open/x").head.status);
    LONGS_EQUAL(200, request("b", "key-2", "/open/x").head.status);
    LONGS_EQUAL(401, request("c", "").head.status);
}

TEST(mesh_key_freshness, acceptsKeysWithoutProofIfTheTimeIsNotLimited)
{
    start({});
    LONGS_EQUAL(200, request("a", "key-1").head.status);
}
