#include "core/digest.h"
#include "tests/mesh/test_mesh.h"

#include <array>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <string>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

// Requests that are identified by the keys of organisations, through nodes on loopback.
TEST_GROUP(mesh_organisation)
{
    test_mesh mesh;
    test_mesh::vm* entry = nullptr;
    test_mesh::vm* callee = nullptr;

    void setup() override
    {
        entry = &mesh.addVm("i-1", "front");
        callee = &mesh.addVm("i-2", "orders");
        mesh.publishInstances();
        mesh.publishRules(makeRules());
    }

    static traffic_rules makeRules(std::uint64_t version = 1, const std::string& key = "key-1")
    {
        auto rules = test_mesh::makeRules("orders", false);
        rules.version = version;
        auto open = rules.routes.front();
        open.name = "open";
        open.pathPrefix = "/open/";
        open.isAnonymous = true;
        rules.routes.push_back(open);
        auto front = rules.routes.front();
        front.name = "front";
        front.pathPrefix = "/front/";
        front.destinations = { { "front", 1 } };
        rules.routes.push_back(front);
        rules.organisations["acme"] = { "acme", 1, 0, 0 };
        rules.organisationsByKeyDigest[computeDigest(key)] = "acme";
        return rules;
    }

    int sendAndGetStatus(
        const std::string& id, const std::vector<header_field>& fields, const std::string& path = "/x")
    {
        return mesh.await(mesh.send(*entry, id, path, fields)).head.status;
    }
};

// Guards against forwarding the key, and against a name that the client states itself.
TEST(mesh_organisation, tellsTheInstanceTheOrganisationAndNotTheKey)
{
    LONGS_EQUAL(200, sendAndGetStatus("a", { { "Api-Key", "key-1" }, { "tenant", "other" } }));
    CHECK_EQUAL(1U, callee->received.size());
    const auto& fields = callee->received[0].fields;
    STRCMP_EQUAL("acme", fields.get("Tenant").c_str());
    POINTERS_EQUAL(nullptr, fields.find("Api-Key"));
    for (const auto& field : fields.getAll())
        CHECK(field.value.find("key-1") == std::string::npos && field.value != "other");
}

TEST(mesh_organisation, answers401ToAnUnknownOrMissingKeyAndForwardsNothing)
{
    LONGS_EQUAL(401, sendAndGetStatus("a", { { "Api-Key", "key-2" } }));
    LONGS_EQUAL(401, sendAndGetStatus("b", {}));
    LONGS_EQUAL(401, sendAndGetStatus("c", { { "Api-Key", "" } }));
    LONGS_EQUAL(401, sendAndGetStatus("d", { { "Api-Key", "key-1" }, { "Api-Key", "key-2" } }));
    CHECK(callee->received.empty());
}

TEST(mesh_organisation, needsNoKeyOnAnAnonymousRoute)
{
    LONGS_EQUAL(200, sendAndGetStatus("a", { { "Api-Key", "key-2" }, { "Tenant", "acme" } }, "/open/x"));
    const auto& fields = callee->received[0].fields;
    POINTERS_EQUAL(nullptr, fields.find("Api-Key"));
    POINTERS_EQUAL(nullptr, fields.find("Tenant"));
}

// An id with a dot must not replace a key: only a request that runs at the instance beside the node does.
TEST(mesh_organisation, needsNoKeyForACallOfARunningRequest)
{
    entry->handler = test_mesh::makeHoldingHandler(*entry);
    const auto parent = mesh.send(*entry, "p", "/front/x", { { "Api-Key", "key-1" } });
    mesh.runUntil([&] { return entry->held.size() == 1; });
    LONGS_EQUAL(200, sendAndGetStatus("p.1", { { "Tenant", "other" } }));
    POINTERS_EQUAL(nullptr, callee->received[0].fields.find("Tenant"));
    LONGS_EQUAL(503, sendAndGetStatus("q.1", {}));
    CHECK_EQUAL(1U, callee->received.size());
    test_mesh::makeRespondingHandler(200)(entry->held[0]);
    LONGS_EQUAL(200, mesh.await(parent).head.status);
}

TEST(mesh_organisation, takesNoWithdrawnKey)
{
    mesh.publishRules(makeRules(2, "key-2"));
    LONGS_EQUAL(401, sendAndGetStatus("a", { { "Api-Key", "key-1" } }));
    LONGS_EQUAL(200, sendAndGetStatus("b", { { "Api-Key", "key-2" } }));
}

// Each message counts by itself: the key of one request must not serve the next one on the connection.
TEST(mesh_organisation, identifiesEachRequestOnAPipelinedConnection)
{
    auto client = mesh.connectRawClient(*entry);
    client.non_blocking(true);
    const std::string head = "GET /x HTTP/1.1\r\nHost: shop\r\nRequest-Id: ";
    const std::string text
        = head + "a\r\nApi-Key: key-1\r\n\r\n" + head + "b\r\n\r\n" + head + "c\r\nApi-Key: key-1\r\n\r\n";
    boost::asio::write(client, boost::asio::buffer(text));
    std::string received;
    mesh.runUntil([&] {
        std::array<char, 4096> bytes {};
        boost::system::error_code code;
        const auto count = client.read_some(boost::asio::buffer(bytes), code);
        received.append(bytes.data(), count);
        return callee->received.size() == 2 && received.find("401") != std::string::npos;
    });
    STRCMP_EQUAL("acme", callee->received[1].fields.get("Tenant").c_str());
}

// A key in a log line, an error or a metric would let its readers act as the organisation.
TEST(mesh_organisation, showsNoKeyInAnyOutput)
{
    mesh.publishRules(makeRules(2, "secret-known"));
    std::FILE* output = std::tmpfile();
    const int before = dup(STDOUT_FILENO);
    dup2(fileno(output), STDOUT_FILENO);
    std::string shown;
    const auto show = [&](const fuchsiagauge::outgoing_result& result) {
        shown += result.body;
        for (const auto& field : result.head.fields.getAll())
            shown += field.name + field.value;
    };
    int count = 0;
    for (const char* key : { "secret-known", "secret-unknown", "secret-known,secret-unknown" }) {
        for (const char* path : { "/x", "/open/x", "/front/x" })
            show(mesh.await(mesh.send(*entry, std::to_string(++count), path, { { "Api-Key", key } })));
    }
    callee->handler = test_mesh::makeDroppingHandler();
    show(mesh.await(mesh.send(*entry, "lost", "/x", { { "Api-Key", "secret-known" } })));
    entry->node->reportInvalidRules("organisation acme: the limit is no number from 0 on");
    shown += mesh.fetchAdmin(*entry, "/metrics").body;
    dup2(before, STDOUT_FILENO);
    close(before);
    std::rewind(output);
    std::array<char, 4096> bytes {};
    while (const auto size = std::fread(bytes.data(), 1, bytes.size(), output))
        shown.append(bytes.data(), size);
    std::fclose(output);
    CHECK(shown.find("unknown-key") != std::string::npos);
    CHECK(shown.find("secret") == std::string::npos);
}

// Without organisations nothing changes: the fields belong to the clients then.
TEST(mesh_organisation, forwardsTheFieldsWithoutOrganisations)
{
    auto rules = makeRules(2);
    rules.organisations.clear();
    rules.organisationsByKeyDigest.clear();
    mesh.publishRules(rules);
    LONGS_EQUAL(200, sendAndGetStatus("a", { { "Api-Key", "key-1" }, { "Tenant", "other" } }));
    STRCMP_EQUAL("other", callee->received[0].fields.get("Tenant").c_str());
    STRCMP_EQUAL("key-1", callee->received[0].fields.get("Api-Key").c_str());
}
