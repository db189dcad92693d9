#include "core/peer_envelope.h"
#include "tests/mesh/test_mesh.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

// Requests whose calls reach another service, through nodes on loopback.
TEST_GROUP(mesh_call_tree)
{
    test_mesh mesh;
    test_mesh::vm* entry = nullptr;

    /// Starts an entry service and one that takes only so many requests per second.
    void setup() override
    {
        mesh.usesCallTrees = true;
        entry = &mesh.addVm("i-1", "front");
        entry->handler = test_mesh::makeHoldingHandler(*entry);
        auto& callee = mesh.addVm("i-2", "orders");
        callee.handler = test_mesh::makeRespondingHandler(200, { { "Server-Limit", "40" } });
        auto rules = test_mesh::makeRules("front", false);
        auto inner = rules.routes.front();
        inner.name = "inner";
        inner.pathPrefix = "/inner/";
        inner.destinations = { { "orders", 1 } };
        rules.routes.push_back(inner);
        mesh.publishInstances();
        mesh.publishRules(rules);
    }

    /// Sends a request during which the instance makes a call, which must succeed.
    /// @return the status of the request.
    int sendTree(const std::string& id)
    {
        const auto parent = mesh.send(*entry, id);
        mesh.runUntil([&] { return !entry->held.empty() || mesh.getResult(parent).has_value(); });
        if (entry->held.empty())
            return mesh.getResult(parent)->head.status;
        const auto child = mesh.await(mesh.send(*entry, id + ".call", "/inner/x"));
        LONGS_EQUAL(200, child.head.status);
        POINTERS_EQUAL(nullptr, child.head.fields.find(peer_header::capacity));
        test_mesh::makeRespondingHandler(200)(entry->held[0]);
        entry->held.clear();
        return mesh.await(parent).head.status;
    }
};

// Guards against an entry that hears of a busy service only from calls that failed there: here none fails.
TEST(mesh_call_tree, refusesRequestsBeforeTheirCallsFail)
{
    constexpr int maxRequests = 600;
    int status = 200;
    for (int count = 0; count < maxRequests && status == 200; ++count)
        status = sendTree(std::to_string(count));
    LONGS_EQUAL(503, status);
}
