#include "tests/mesh/test_mesh.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

// A status outside of those that HTTP defines is no response. Forwarded, it would reach the client as one.
TEST_GROUP(odd_status)
{
    test_mesh mesh;
    std::string status;
    int received = 0;

    /// Sends a request through two nodes to an instance that responds with a status.
    /// @return the status that the client gets.
    int sendAndGetStatus(const std::string& statusText, bool isIdempotent)
    {
        status = statusText;
        auto& entry = mesh.addVm("i-1", "front");
        auto& callee = mesh.addVm("i-2", "orders");
        mesh.replaceInstance(callee, [this](const auto& connection, const raw_instance::request& request) {
            ++received;
            connection->write(raw_instance::formatResponse(
                status + " Odd", request.id, "Server-Stamp: s\r\nServer-Load: 0,0,4\r\n", "body"));
        });
        mesh.publishInstances();
        mesh.publishRules(test_mesh::makeRules("orders", isIdempotent));
        const auto& result = mesh.await(mesh.send(entry, "a", "/x", { { "Request-Deadline", "1000" } }));
        CHECK(result.isAnswered);
        CHECK(result.head.fields.find("Server-Stamp") == nullptr);
        CHECK(result.body != "body");
        return result.head.status;
    }
};

TEST(odd_status, answers502ToStatus000) { LONGS_EQUAL(502, sendAndGetStatus("000", false)); }

TEST(odd_status, answers502ToStatus099) { LONGS_EQUAL(502, sendAndGetStatus("099", true)); }

TEST(odd_status, answers502ToStatus600) { LONGS_EQUAL(502, sendAndGetStatus("600", true)); }

// The request may have run, so it goes to no instance again.
TEST(odd_status, answers502ToStatus999AndSendsARequestThatMustRunOnceNoFurther)
{
    LONGS_EQUAL(502, sendAndGetStatus("999", false));
    LONGS_EQUAL(1, received);
}
