#include "tests/mesh/test_mesh.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <chrono>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

TEST_GROUP(planned_stop) { test_mesh mesh; };

// review/6: the process ended 300 ms after it had shut down its connections. What the kernel still had to
// send to a slow client was then discarded as soon as that client sent its next request.
TEST(planned_stop, theProcessDoesNotEndBeforeASlowClientHasReceivedWhatTheKernelHolds)
{
    constexpr std::size_t responseBytes = 1000000;
    constexpr std::chrono::milliseconds longerThanIdleConnectionsTake { 600 };
    constexpr std::chrono::milliseconds requestInterval { 50 };
    auto& entry = mesh.addVm("i-1", "front");
    entry.handler = [](const std::shared_ptr<incoming_call>& call) {
        const auto id = call->getRequest().fields.get("Request-Id");
        response_head head;
        head.fields.add("Request-Id", id);
        call->respond(head, std::string(id == "slow" ? responseBytes : 1, 'x'));
    };
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("front", true));
    auto client = mesh.connectRawClient(entry);
    const std::string request = "GET / HTTP/1.1\r\nHost: shop\r\nRequest-Id: slow\r\n\r\n";
    boost::asio::write(client, boost::asio::buffer(request));
    mesh.runUntil([&] { return entry.received.size() == 1; });
    bool isStopped = false;
    entry.node->stop([&] { isStopped = true; });
    bool isShutDown = false;
    auto nextRequestAt = std::chrono::steady_clock::now();
    mesh.runUntil([&] {
        if (!isShutDown && std::chrono::steady_clock::now() >= nextRequestAt) {
            isShutDown = !mesh.await(mesh.send(entry, "late")).isAnswered;
            nextRequestAt += requestInterval;
        }
        return isShutDown;
    });
    boost::asio::write(client, boost::asio::buffer(request));
    const auto shutDownAt = std::chrono::steady_clock::now();
    mesh.runUntil(
        [&] { return std::chrono::steady_clock::now() - shutDownAt > longerThanIdleConnectionsTake; });
    CHECK_FALSE(isStopped);
    client.non_blocking(true);
    std::vector<char> buffer(responseBytes);
    std::size_t count = 0;
    boost::system::error_code code;
    mesh.runUntil([&] {
        count += client.read_some(boost::asio::buffer(buffer), code);
        return code && code != boost::asio::error::would_block;
    });
    CHECK(code == boost::asio::error::eof);
    CHECK(count > responseBytes);
    CHECK_EQUAL(1,
        std::count_if(entry.received.begin(), entry.received.end(),
            [](const call_request& request) { return request.fields.get("Request-Id") == "slow"; }));
    client.close();
    mesh.runUntil([&] { return isStopped; });
}
