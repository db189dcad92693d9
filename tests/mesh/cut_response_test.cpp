#include "tests/mesh/test_mesh.h"

#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

enum class framing { Length, Chunks, ConnectionEnd };

const char* const body = "the whole body";

std::string makeHead(framing kind, const std::string& id)
{
    std::string head = "HTTP/1.1 200 OK\r\nDate: Sat, 05 Dec 2026 12:00:00 GMT\r\nRequest-Id: " + id
        + "\r\nServer-Stamp: 3e1b.07\r\nServer-Load: 1,0,16\r\n";
    if (kind == framing::Length)
        head += "Content-Length: " + std::to_string(std::string(body).size()) + "\r\n";
    if (kind == framing::Chunks)
        head += "Transfer-Encoding: chunked\r\n";
    return head + "\r\n";
}

std::string makeBody(framing kind)
{
    const std::string text = body;
    return kind == framing::Chunks
        ? "8\r\n" + text.substr(0, 8) + "\r\n6\r\n" + text.substr(8) + "\r\n0\r\n\r\n"
        : text;
}

} // namespace

TEST_GROUP(cut_response)
{
    test_mesh mesh;
    std::mt19937 random { 1 };
    test_mesh::vm* entry = nullptr;
    int requestCount = 0;
    int arrivedCount = 0;
    framing kind = framing::Length;
    std::size_t sentBytes = 0; ///< Where the instance breaks off.
    bool isReset = false;
    std::string continuation; ///< Bytes of another response that follow the cut.

    void setup() override
    {
        entry = &mesh.addVm("i-1", "front");
        auto& faulty = mesh.addVm("i-2", "orders");
        mesh.replaceInstance(faulty, [this](const auto& connection, const raw_instance::request& request) {
            ++arrivedCount;
            respond(connection, request.id);
        });
        mesh.publishInstances();
        mesh.publishRules(test_mesh::makeRules("orders", false));
    }

    void respond(const std::shared_ptr<raw_instance::connection>& connection, const std::string& id)
    {
        const auto bytes = (makeHead(kind, id) + makeBody(kind)).substr(0, sentBytes) + continuation;
        const auto firstPiece = random() % (bytes.size() + 1);
        connection->write(bytes.substr(0, firstPiece));
        connection->writeLater(std::chrono::milliseconds(1), [=, isClosedByReset = isReset] {
            connection->write(bytes.substr(firstPiece));
            connection->close(isClosedByReset);
        });
    }

    /// Sends a request.
    /// @return whether its client got a success.
    bool isServed()
    {
        const auto& result = mesh.await(mesh.send(
            *entry, "id-" + std::to_string(++requestCount), "/x", { { "Request-Deadline", "3000" } }));
        CHECK(result.isAnswered);
        const bool isSuccess = result.head.status == 200;
        if (isSuccess)
            STRCMP_EQUAL(body, result.body.c_str());
        else
            LONGS_EQUAL(502, result.head.status);
        return isSuccess;
    }

    std::size_t getHeadSize() const
    {
        return makeHead(kind, "id-" + std::to_string(requestCount + 1)).size();
    }
    std::size_t getSize() const { return getHeadSize() + makeBody(kind).size(); }
};

// An instance stops at any byte of its response and closes. Its client must not get a success with a part of
// it.
TEST(cut_response, aResponseCutAtAnyByteIsNoSuccess)
{
    for (const auto framingKind : { framing::Length, framing::Chunks }) {
        kind = framingKind;
        for (sentBytes = 1; sentBytes < getSize(); ++sentBytes) {
            isReset = random() % 2 == 0;
            CHECK_FALSE(isServed());
        }
        isReset = false;
        sentBytes = getSize();
        CHECK(isServed());
    }
    CHECK_EQUAL(requestCount, arrivedCount);
}

// The end of the connection is the end of the body only if the head is complete and the close is an orderly
// one.
TEST(cut_response, aResponseThatEndsWithItsConnectionNeedsACompleteHeadAndAnOrderlyClose)
{
    kind = framing::ConnectionEnd;
    for (sentBytes = 1; sentBytes < getHeadSize(); ++sentBytes)
        CHECK_FALSE(isServed());
    isReset = true;
    for (sentBytes = getHeadSize(); sentBytes <= getSize(); ++sentBytes)
        CHECK_FALSE(isServed());
    isReset = false;
    sentBytes = getSize();
    CHECK(isServed());
}

// An instance stops within its head and goes on with another response.
TEST(cut_response, aHeadContinuedByAnotherResponseIsNoSuccess)
{
    continuation
        = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: 1\r\nContent-Length: 5\r\n\r\nwrong";
    for (sentBytes = 1; sentBytes < getHeadSize(); ++sentBytes)
        CHECK_FALSE(isServed());
    CHECK_EQUAL(requestCount, arrivedCount);
}
