#include "core/digest.h"
#include "tests/mesh/test_mesh.h"

#include <chrono>
#include <cstdlib>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

// Limits of organisations, through two nodes on loopback.
TEST_GROUP(mesh_quota)
{
    test_mesh mesh;
    test_mesh::vm* entry = nullptr;
    test_mesh::vm* callee = nullptr;
    int requestCount = 0;

    void start(double perSecond, double burst)
    {
        entry = &mesh.addVm("i-1", "front");
        callee = &mesh.addVm("i-2", "orders");
        mesh.publishInstances();
        auto rules = test_mesh::makeRules("orders", false);
        rules.services["front"] = {};
        rules.organisations["acme"] = { "acme", 1, perSecond, burst };
        rules.organisationsByKeyDigest[computeDigest("key-1")] = "acme";
        mesh.publishRules(rules);
    }

    outgoing_result request(const test_mesh::vm& at)
    {
        const auto id = "r-" + std::to_string(++requestCount);
        return mesh.await(mesh.send(at, id, "/x", { { "Api-Key", "key-1" } }));
    }

    void wait(double forMs)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::duration<double, std::milli>(forMs);
        mesh.runUntil([&] { return std::chrono::steady_clock::now() >= end; });
    }

    static double getRetryAfterMs(const outgoing_result& result)
    {
        return std::strtod(result.head.fields.get("Retry-After").c_str(), nullptr) * 1000;
    }

    /// Sends a request until it is admitted, as often as the answers ask for.
    /// @return the number of refusals.
    int requestUntilAdmitted(const test_mesh::vm& at)
    {
        constexpr int maxRefusals = 100;
        for (int refusals = 0; refusals < maxRefusals; ++refusals) {
            const auto result = request(at);
            if (result.head.status == 200)
                return refusals;
            LONGS_EQUAL(429, result.head.status);
            wait(getRetryAfterMs(result));
        }
        return maxRefusals;
    }
};

// Half of the burst is no whole request, so the nodes must lend and borrow.
TEST(mesh_quota, answers429WithTheTimeAtWhichTheRequestIsAdmitted)
{
    start(2, 1.9);
    CHECK(requestUntilAdmitted(*entry) < 100);
    wait(3000);
    CHECK(requestUntilAdmitted(*entry) == 0);
    const auto refused = request(*entry);
    LONGS_EQUAL(429, refused.head.status);
    CHECK(callee->received.size() == 2);
    const auto retryAfterMs = getRetryAfterMs(refused);
    CHECK(retryAfterMs > 0 && retryAfterMs <= 1000);
    wait(retryAfterMs);
    LONGS_EQUAL(200, request(*entry).head.status);
}

// A refusal with 503 must not use up the quota.
TEST(mesh_quota, givesBackTheCreditOfARequestThatHasNotRun)
{
    start(1, 2.9);
    CHECK(requestUntilAdmitted(*entry) < 100);
    wait(3500);
    callee->isDraining = true;
    mesh.publishInstances();
    for (int count = 0; count < 4; ++count)
        LONGS_EQUAL(503, request(*entry).head.status);
}
