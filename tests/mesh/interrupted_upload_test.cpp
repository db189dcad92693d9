#include "tests/mesh/test_mesh.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

constexpr std::size_t largerThanSocketBuffers = 8388608;
constexpr std::size_t bodySizes[] = { 0, 100, 8000, 50000 };

} // namespace

// An instance responds to an upload at once and resets the connection while its node is still sending.
TEST_GROUP(interrupted_upload_to_instance)
{
    test_mesh mesh;
    test_mesh::vm* entry = nullptr;
    int requestCount = 0;
    int arrivedCount = 0;
    bool hasLength = false;
    std::string body;
    std::chrono::milliseconds resetDelay { 0 };

    void setup() override
    {
        entry = &mesh.addVm("i-1", "front");
        for (const char* service : { "front", "orders" }) {
            auto& faulty = service == std::string("front") ? *entry : mesh.addVm("i-2", service);
            mesh.replaceInstance(faulty,
                [this](const auto& connection, const auto& request) { respond(connection, request.id); });
        }
        mesh.publishInstances();
    }

    void respond(const std::shared_ptr<raw_instance::connection>& connection, const std::string& id)
    {
        ++arrivedCount;
        connection->stopReading();
        std::string head
            = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: 3e1b.07\r\nServer-Load: 1,0,16\r\n";
        if (hasLength)
            head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        // The node needs a moment to fill the socket buffers.
        connection->writeLater(std::chrono::milliseconds(5), [=, delay = resetDelay, whole = body] {
            connection->write(head + "\r\n" + whole);
            connection->writeLater(delay, [connection] { connection->close(true); });
        });
    }

    /// Uploads to an instance of a service.
    /// @return the result that the client gets.
    const outgoing_result& upload()
    {
        const auto& result = mesh.await(mesh.send(*entry, "id-" + std::to_string(++requestCount), "/x",
            { { "Request-Deadline", "10000" } }, std::string(largerThanSocketBuffers, 'x')));
        CHECK(result.isAnswered);
        CHECK_EQUAL(requestCount, arrivedCount);
        return result;
    }

    /// Uploads with each delay of the reset and each size of the response, to the instance of the client's
    /// node and to that of another node.
    void uploadInEachWay(int expectedStatus)
    {
        for (const char* service : { "front", "orders" }) {
            auto rules = test_mesh::makeRules(service, false);
            rules.limits.bodyBytes = largerThanSocketBuffers;
            mesh.publishRules(rules);
            for (const int delayMs : { 0, 5 }) {
                for (const auto size : bodySizes) {
                    body = std::string(size, 'y');
                    resetDelay = std::chrono::milliseconds(delayMs);
                    const auto& result = upload();
                    LONGS_EQUAL(expectedStatus, result.head.status);
                    CHECK_EQUAL(expectedStatus == 200, result.body == body);
                }
            }
        }
    }
};

TEST(interrupted_upload_to_instance, aResponseWithoutALengthThatIsResetIsNoSuccess) { uploadInEachWay(502); }

TEST(interrupted_upload_to_instance, aResponseThatIsWholeBeforeTheResetReachesTheClient)
{
    hasLength = true;
    uploadInEachWay(200);
}
