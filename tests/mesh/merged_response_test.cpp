#include "tests/mesh/test_mesh.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

/// Responses to no request or to another one. An instance writes their beginnings.
std::vector<std::string> makeFragments()
{
    const std::string load = "Server-Load: 1,0,16\r\n";
    const std::string notRun = "Not-Run: 1\r\n";
    const std::string anonymous;
    return {
        "HTTP/1.1 503 Service Unavailable\r\n" + notRun + load + "Retry-After: 0.2\r\n\r\n",
        "HTTP/1.1 429 Too Many Requests\r\n" + load + notRun + "Content-Length: 12\r\n\r\nnot run here",
        "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: i-9\r\n" + notRun + "\r\n",
        "HTTP/1.1 408 Request Timeout\r\n" + notRun + "\r\n",
        "HTTP/1.1 500 Internal Server Error\r\n" + load + "\r\n",
        "HTTP/1.1 200 OK\r\nServer-Stamp: other\r\n" + load + "\r\n",
        raw_instance::formatResponse("503 Service Unavailable", "other", notRun + load, {}),
        "HTTP/1.1 100 Continue\r\n" + notRun + "\r\n",
    };
}

} // namespace

TEST_GROUP(merged_response)
{
    test_mesh mesh;
    std::map<std::string, int> runs; ///< How often each request ran, by its id.
    std::string fragment; ///< Stands in front of the next response.
    test_mesh::vm* entry = nullptr;
    int requestCount = 0;
    bool isFramedInChunks = false;
    bool startsNewConnections = false;

    void setup() override
    {
        entry = &mesh.addVm("i-1", "front");
        for (const auto* id : { "i-2", "i-3" })
            mesh.replaceInstance(mesh.addVm(id, "orders"),
                [this](const auto& connection, const raw_instance::request& request) {
                    ++runs[request.id];
                    connection->write(std::exchange(fragment, {}) + makeResponse(request.id));
                    if (startsNewConnections)
                        connection->close();
                });
        mesh.publishInstances();
        mesh.publishRules(test_mesh::makeRules("orders", false));
    }

    std::string makeResponse(const std::string& id) const
    {
        if (!isFramedInChunks)
            return raw_instance::formatResponse("200 OK", id, "Server-Stamp: s\r\n", id);
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + id
            + "\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n" + id.substr(0, 4)
            + "\r\n0\r\n\r\n";
    }

    /// Sends a request that must run once and checks what its client is told.
    void sendOrder()
    {
        const auto id = std::to_string(1000 + ++requestCount);
        const auto& result = mesh.await(mesh.send(*entry, id, "/x", { { "Request-Deadline", "150" } }));
        LONGS_EQUAL(1, runs[id]);
        CHECK(result.isAnswered);
        if (result.head.status == 200)
            STRCMP_EQUAL(id.c_str(), result.body.c_str());
        else
            CHECK(result.head.status == 502 || result.head.status == 504);
    }

    void sendOrdersBehindEachCut()
    {
        for (const auto& whole : makeFragments()) {
            for (std::size_t bytes = 1; bytes <= whole.size(); ++bytes) {
                if (!startsNewConnections)
                    sendOrder();
                fragment = whole.substr(0, bytes);
                sendOrder();
            }
        }
    }
};

// The beginning of a refusal in front of the response to a running request must not pass for its refusal.
TEST(merged_response, aRefusalThatGoesOnWithAnotherResponseNeverHidesARun)
{
    sendOrdersBehindEachCut();
    isFramedInChunks = true;
    sendOrdersBehindEachCut();
}

// A whole refusal that names no request must not pass for that of the first request on a new connection.
TEST(merged_response, aRefusalThatNamesNoRequestNeverHidesARunOnANewConnection)
{
    startsNewConnections = true;
    sendOrdersBehindEachCut();
}
