#include "platform/store_documents.h"
#include "tests/mesh/test_mesh.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

constexpr milliseconds revokeTime { 3600000 };
constexpr const char* noTable = "";
constexpr const char* emptyTable = R"(,"tenants":{})";
constexpr const char* tableWithKey = R"(,"tenants":{"acme":{"apiKeys":["key-1"]}})";
constexpr const char* tableWithOtherKey = R"(,"tenants":{"acme":{"apiKeys":["key-2"]}})";
const std::vector<header_field> withKey { { "Api-Key", "key-1" }, { "Tenant", "other" } };

} // namespace

// Nodes whose configuration gains and loses its table of organisations, as documents of the platform's store.
TEST_GROUP(organisation_table)
{
    test_mesh mesh;
    test_mesh::vm* entry = nullptr;
    test_mesh::vm* callee = nullptr;
    std::uint64_t version = 0;

    void start(milliseconds limit)
    {
        mesh.setRevokeTime(limit);
        entry = &mesh.addVm("i-1", "front");
        callee = &mesh.addVm("i-2", "orders");
        mesh.publishInstances();
    }

    /// Publishes the next version of the configuration, with a JSON member for the organisations.
    traffic_rules makeNextRules(const std::string& organisations)
    {
        const std::string route = R"("host":"shop","service":"orders","routeKind":"idempotent")";
        const auto rules = readStoredRules(R"({"version":")" + std::to_string(++version)
            + R"(","routes":{"r":{"prefix":"/x/",)" + route
            + R"(},"open":{"prefix":"/open/","anonymous":true,)" + route + "}}" + organisations + '}');
        CHECK(rules.has_value());
        return *rules;
    }

    void publish(const std::string& organisations) { mesh.publishRules(makeNextRules(organisations)); }

    /// Tells both nodes that the platform's store has just confirmed their configuration.
    void prove()
    {
        for (auto* vm : { entry, callee }) {
            auto& exchange = vm->node->getReplicaExchange();
            exchange.applyFromPlatform({ 5, true, {}, {} });
            exchange.onPlatformReachable();
            exchange.onPlatformRead({ fuchsiagauge::clock::makeBoot().now(), 5 });
        }
    }

    int request(const std::vector<header_field>& fields, const std::string& path = "/x/")
    {
        return mesh.await(mesh.send(*entry, "a", path, fields)).head.status;
    }

    void checkInstanceGotNeitherKeyNorName(std::size_t count)
    {
        CHECK_EQUAL(count, callee->received.size());
        for (const auto& received : callee->received) {
            POINTERS_EQUAL(nullptr, received.fields.find("Api-Key"));
            POINTERS_EQUAL(nullptr, received.fields.find("Tenant"));
        }
    }
};

// review/11: an empty table counted as none, so that the keys taken away with the last organisation were
// accepted and passed on.
TEST(organisation_table, acceptsNoKeyWhenTheLastOrganisationHasBeenRemoved)
{
    start({});
    publish(tableWithKey);
    LONGS_EQUAL(200, request(withKey));
    callee->received.clear();
    publish(emptyTable);
    LONGS_EQUAL(401, request(withKey));
    LONGS_EQUAL(401, request({}));
    LONGS_EQUAL(404, request(withKey, "/none/"));
    CHECK(callee->received.empty());
    LONGS_EQUAL(200, request(withKey, "/open/"));
    checkInstanceGotNeitherKeyNorName(1);
}

// A restarted node has seen no other table before the empty one.
TEST(organisation_table, acceptsNoKeyAfterARestartWithAnEmptyTable)
{
    start({});
    publish(tableWithKey);
    mesh.restartNode(*entry);
    mesh.publishInstances();
    publish(emptyTable);
    LONGS_EQUAL(401, request(withKey));
    CHECK(callee->received.empty());
}

TEST(organisation_table, acceptsTheKeysOfATableThatIsFilledAgain)
{
    start({});
    publish(emptyTable);
    LONGS_EQUAL(401, request(withKey));
    publish(tableWithKey);
    LONGS_EQUAL(200, request(withKey));
    publish(tableWithOtherKey);
    LONGS_EQUAL(401, request(withKey));
    publish(emptyTable);
    LONGS_EQUAL(401, request({ { "Api-Key", "key-2" } }));
}

// The node beside the instance removes what a node with an older configuration passes on.
TEST(organisation_table, theInstancesNodeRemovesKeysIfItsTableIsEmpty)
{
    start({});
    publish(noTable);
    callee->node->applyRules(makeNextRules(emptyTable));
    LONGS_EQUAL(200, request(withKey));
    checkInstanceGotNeitherKeyNorName(1);
}

TEST(organisation_table, reportsThatAnEmptyTableAsksForAKey)
{
    start({});
    publish(emptyTable);
    const auto report = mesh.fetchAdmin(*entry, "/place?host=shop&path=/x/").body;
    CHECK(report.find(R"("status":401)") != std::string::npos);
}

// review/13: a node that had not learnt of the first table checked no key and passed them on.
TEST(organisation_table, refusesKeysWhileAConfigurationWithoutATableIsNotProved)
{
    start(revokeTime);
    publish(noTable);
    for (const char* key : { "key-1", "key-2" })
        LONGS_EQUAL(503, request({ { "Api-Key", key } }));
    LONGS_EQUAL(503, request(withKey, "/none/"));
    CHECK(callee->received.empty());
    publish(tableWithKey);
    prove();
    LONGS_EQUAL(200, request(withKey));
    STRCMP_EQUAL("acme", callee->received[0].fields.get("Tenant").c_str());
    POINTERS_EQUAL(nullptr, callee->received[0].fields.find("Api-Key"));
    LONGS_EQUAL(401, request({ { "Api-Key", "key-2" } }));
}

// Where clients send no keys, the node serves them without any contact to the platform's store.
TEST(organisation_table, servesRequestsWithoutAKeyWhileAConfigurationWithoutATableIsNotProved)
{
    start(revokeTime);
    publish(noTable);
    LONGS_EQUAL(200, request({}));
    LONGS_EQUAL(200, request({ { "Tenant", "acme" } }));
    LONGS_EQUAL(200, request(withKey, "/open/"));
    LONGS_EQUAL(404, request({}, "/none/"));
    checkInstanceGotNeitherKeyNorName(3);
}

// A table that goes takes its keys away like one that is emptied. Requests without a key need none then.
TEST(organisation_table, acceptsNoKeyWhenTheTableHasGoneAndKeysCanBeRevoked)
{
    start(revokeTime);
    publish(tableWithKey);
    prove();
    LONGS_EQUAL(200, request(withKey));
    LONGS_EQUAL(401, request({}));
    callee->received.clear();
    publish(noTable);
    LONGS_EQUAL(401, request(withKey));
    CHECK(callee->received.empty());
    LONGS_EQUAL(200, request({}));
    LONGS_EQUAL(200, request(withKey, "/open/"));
    checkInstanceGotNeitherKeyNorName(2);
    publish(tableWithKey);
    LONGS_EQUAL(200, request(withKey));
    STRCMP_EQUAL("acme", callee->received.back().fields.get("Tenant").c_str());
}

TEST(organisation_table, acceptsNoKeyAfterARestartWithoutATable)
{
    start(revokeTime);
    publish(tableWithKey);
    mesh.restartNode(*entry);
    mesh.publishInstances();
    publish(noTable);
    LONGS_EQUAL(503, request(withKey));
    prove();
    LONGS_EQUAL(401, request(withKey));
    LONGS_EQUAL(200, request({}));
    checkInstanceGotNeitherKeyNorName(1);
}

// An instance's own calls carry no key; they need none, whatever the table.
TEST(organisation_table, servesTheCallsOfARunningRequestWithAnyTable)
{
    start(revokeTime);
    auto rules = makeNextRules(noTable);
    auto front = rules.routes.front();
    front.pathPrefix = "/front/";
    front.isAnonymous = true;
    front.destinations = { { "front", 1 } };
    rules.routes.push_back(front);
    mesh.publishRules(rules);
    entry->handler = test_mesh::makeHoldingHandler(*entry);
    const auto parent = mesh.send(*entry, "p", "/front/");
    mesh.runUntil([&] { return entry->held.size() == 1; });
    for (const char* table : { noTable, emptyTable, tableWithKey }) {
        publish(table);
        LONGS_EQUAL(200, mesh.await(mesh.send(*entry, "p.1", "/x/")).head.status);
    }
    checkInstanceGotNeitherKeyNorName(3);
    test_mesh::makeRespondingHandler(200)(entry->held[0]);
    LONGS_EQUAL(200, mesh.await(parent).head.status);
}

TEST(organisation_table, reportsHowKeysAreTreatedWithoutATable)
{
    start(revokeTime);
    publish(noTable);
    const auto getReport = [&](const std::string& more) {
        return mesh.fetchAdmin(*entry, "/place?host=shop&path=/x/" + more).body;
    };
    CHECK(getReport("").find(R"("status":200)") != std::string::npos);
    CHECK(getReport("&organisation=acme").find(R"("status":503)") != std::string::npos);
    prove();
    CHECK(getReport("").find(R"("status":200)") != std::string::npos);
    CHECK(getReport("&organisation=acme").find(R"("status":401)") != std::string::npos);
}
