#include "platform/store_documents.h"
#include "tests/mesh/test_mesh.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

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

    void setup() override
    {
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
    publish(tableWithKey);
    mesh.restartNode(*entry);
    mesh.publishInstances();
    publish(emptyTable);
    LONGS_EQUAL(401, request(withKey));
    CHECK(callee->received.empty());
}

TEST(organisation_table, acceptsTheKeysOfATableThatIsFilledAgain)
{
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
    publish(noTable);
    callee->node->applyRules(makeNextRules(emptyTable));
    LONGS_EQUAL(200, request(withKey));
    checkInstanceGotNeitherKeyNorName(1);
}

TEST(organisation_table, reportsThatAnEmptyTableAsksForAKey)
{
    publish(emptyTable);
    const auto report = mesh.fetchAdmin(*entry, "/place?host=shop&path=/x/").body;
    CHECK(report.find(R"("status":401)") != std::string::npos);
}
