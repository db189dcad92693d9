#include "tests/mesh/test_mesh.h"

#include <map>
#include <random>
#include <string>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

/// When a faulty instance sends a second copy of a refusal.
enum class copy_time {
    SamePacket, ///< Together with the refusal.
    SoonAfter, ///< While the connection is idle or has just been reused.
    BeforeNextResponse,
    WithNextResponse, ///< In the same packet as the next response, in front of it.
    AfterNextResponse,
    Count
};

/// What a faulty instance does with the request id in its refusals.
enum class id_form { Kept, LowerCaseName, Missing, Count };

template <typename enumeration> enumeration pick(std::mt19937& random)
{
    return static_cast<enumeration>(random() % static_cast<unsigned>(enumeration::Count));
}

const char* pickRefusalStatus(std::mt19937& random)
{
    const char* const statuses[] { "503 Service Unavailable", "429 Too Many Requests" };
    return statuses[random() % 2];
}

} // namespace

TEST_GROUP(repeated_response)
{
    static constexpr double refusedShare = 0.25;
    static constexpr double copiedShare = 0.5;

    test_mesh mesh;
    std::mt19937 random;
    std::map<std::string, int> runs; ///< How often each request ran, by its id.

    bool isChosen(double share) { return std::uniform_real_distribution<double>(0, 1)(random) < share; }

    std::string makeRefusal(const std::string& id)
    {
        std::string idLine;
        switch (pick<id_form>(random)) {
        case id_form::Kept:
            idLine = "Request-Id: " + id + "\r\n";
            break;
        case id_form::LowerCaseName:
            idLine = "request-id: " + id + "\r\n";
            break;
        case id_form::Missing:
        case id_form::Count:
            break;
        }
        return raw_instance::formatResponse(
            pickRefusalStatus(random), {}, idLine + "Not-Run: 1\r\nServer-Load: 1,0,16\r\n", {});
    }

    void refuse(const std::shared_ptr<raw_instance::connection>& connection, const std::string& id)
    {
        const auto refusal = makeRefusal(id);
        connection->write(refusal);
        if (!isChosen(copiedShare))
            return;
        switch (pick<copy_time>(random)) {
        case copy_time::SamePacket:
            connection->write(refusal);
            break;
        case copy_time::SoonAfter:
            connection->writeLater(std::chrono::milliseconds(1), [=] { connection->write(refusal); });
            break;
        case copy_time::BeforeNextResponse:
        case copy_time::WithNextResponse:
        case copy_time::AfterNextResponse:
        case copy_time::Count:
            connection->pendingBytes = refusal;
            break;
        }
    }

    void run(const std::shared_ptr<raw_instance::connection>& connection, const std::string& id)
    {
        ++runs[id];
        const auto copy = std::exchange(connection->pendingBytes, {});
        const auto response = raw_instance::formatResponse("200 OK", id, "Server-Stamp: s\r\n", id);
        const auto time = pick<copy_time>(random);
        if (time == copy_time::BeforeNextResponse)
            connection->write(copy);
        connection->writeLater(std::chrono::milliseconds(3), [=] {
            if (time == copy_time::BeforeNextResponse)
                connection->write(response);
            else if (time == copy_time::AfterNextResponse)
                connection->write(response + copy);
            else
                connection->write(copy + response);
        });
    }

    void addFaultyInstance(const std::string& id)
    {
        constexpr int slots = 16;
        auto& added = mesh.addVm(id, "orders");
        added.slots = slots;
        mesh.replaceInstance(added, [this](const auto& connection, const raw_instance::request& request) {
            if (isChosen(refusedShare))
                refuse(connection, request.id);
            else
                run(connection, request.id);
        });
    }

    /// Sends several requests at a time and checks their responses.
    void sendBatch(const test_mesh::vm& entry, const std::string& name, int count)
    {
        std::map<std::string, std::size_t> clients;
        for (int index = 0; index < count; ++index) {
            const auto id = name + '-' + std::to_string(index);
            clients[id] = mesh.send(entry, id, "/x", { { "Request-Deadline", "3000" } });
        }
        for (const auto& [id, client] : clients)
            expectTrueResponse(id, mesh.await(client));
    }

    /// Checks what the client of a request was told against what the instances did.
    void expectTrueResponse(const std::string& id, const outgoing_result& result)
    {
        CHECK_COMPARE_TEXT(runs[id], <=, 1, "a request that must run once ran again");
        if (result.isAnswered && result.head.status == 503)
            CHECK_EQUAL_TEXT(0, runs[id], "refused as not run, but it has run");
        if (result.isAnswered && result.head.status == 200)
            STRCMP_EQUAL(id.c_str(), result.body.c_str());
    }
};

// An instance repeats a refusal late on a kept connection. The copy must not pass for the response to a
// request that is running: neither to another one nor to the same one, sent again.
TEST(repeated_response, aCopiedRefusalNeverHidesARun)
{
    constexpr unsigned seeds = 4;
    constexpr int batches = 40;
    constexpr int batchSize = 8;
    auto& entry = mesh.addVm("i-1", "front");
    addFaultyInstance("i-2");
    addFaultyInstance("i-3");
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("orders", false));
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        random.seed(seed);
        for (int batch = 0; batch < batches; ++batch)
            sendBatch(entry, std::to_string(seed) + '-' + std::to_string(batch), batchSize);
    }
}
