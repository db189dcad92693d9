#include "transport/http_server.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::chrono::seconds maxWaitTime { 20 };
constexpr milliseconds longTime { 1000 };
constexpr milliseconds shortTime { 40 };
constexpr std::size_t processBytes = 67108864;
constexpr std::size_t mostOfTheShare = 12582912; ///< Of the responses.

} // namespace

// Pipelined requests of one client at a server that is about to close its connections. The first line of each
// response is enough to tell which request it belongs to.
TEST_GROUP(cut_off)
{
    asio::io_context io;
    std::vector<std::shared_ptr<incoming_call>> calls;
    std::vector<std::size_t> cutOff; ///< Indexes of the calls that were cut off.
    milliseconds now { 1000 };
    std::shared_ptr<memory_account> account
        = std::make_shared<memory_account>(makeMemoryShares(processBytes));
    http_server server { io, fuchsiagauge::clock([this] { return now; }), 2,
        [this](const std::shared_ptr<incoming_call>& call) { addCall(call); } };
    tcp::socket client { io };
    std::string received;

    void setup() override
    {
        const auto listener = *server.open({ "127.0.0.1", 0 });
        client.connect({ asio::ip::make_address(listener.host), listener.port });
        client.non_blocking(true);
    }

    void teardown() override
    {
        server.close();
        client.close();
        io.poll();
    }

    void addCall(const std::shared_ptr<incoming_call>& call)
    {
        call->setCutOffHook([this, index = calls.size()] {
            cutOff.push_back(index);
            respond(index, 502);
        });
        calls.push_back(call);
    }

    template <typename Condition> void runUntil(Condition isMet)
    {
        const auto end = std::chrono::steady_clock::now() + maxWaitTime;
        while (!isMet() && std::chrono::steady_clock::now() < end)
            io.run_one_for(std::chrono::milliseconds(10));
        CHECK(isMet());
    }

    void sendRequests(std::size_t count)
    {
        std::string text;
        for (std::size_t index = 0; index < count; ++index)
            text += "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        asio::write(client, asio::buffer(text));
        runUntil([&] { return calls.size() == count; });
    }

    void respond(std::size_t index, int status, std::size_t bytes = 0)
    {
        response_head head;
        head.status = status;
        head.fields.add("Number", std::to_string(index));
        calls.at(index)->respond(head, std::string(bytes, 'x'));
    }

    /// @return the number of bytes that the client has received in all.
    std::size_t receive()
    {
        std::array<char, 65536> bytes {};
        boost::system::error_code code;
        while (!code)
            received.append(bytes.data(), client.read_some(asio::buffer(bytes), code));
        return received.size();
    }

    /// Checks which responses the client has received in all, as `status number` in the order of arrival.
    void checkReceived(const std::vector<std::string>& expected)
    {
        std::vector<std::string> found;
        runUntil([&] {
            receive();
            found.clear();
            std::size_t position = 0;
            while ((position = received.find("HTTP/1.1 ", position)) != std::string::npos) {
                const auto number = received.find("Number: ", position);
                if (number == std::string::npos)
                    break;
                found.push_back(received.substr(position + 9, 3) + ' ' + received[number + 8]);
                position = number;
            }
            return found.size() >= expected.size();
        });
        CHECK(expected == found);
    }
};

// Guards against the loss of responses that are ready when the connection is closed (review/12).
TEST(cut_off, responsesBehindUnfinishedRequestsAreSentBeforeTheConnectionIsClosed)
{
    sendRequests(6);
    respond(2, 200);
    respond(4, 200);
    server.cutOffBlockingCalls(shortTime);
    checkReceived({ "502 0", "502 1", "200 2", "502 3", "200 4" });
    CHECK((std::vector<std::size_t> { 0, 1, 3 }) == cutOff);
    CHECK_FALSE(calls[5]->isEnded());
}

TEST(cut_off, noRequestIsCutOffWhileThereIsTimeToWait)
{
    sendRequests(2);
    respond(1, 200);
    server.cutOffBlockingCalls(longTime);
    CHECK(cutOff.empty());
    respond(0, 200);
    checkReceived({ "200 0", "200 1" });
}

TEST(cut_off, noRequestIsCutOffThatHoldsUpNothing)
{
    sendRequests(2);
    respond(0, 200);
    server.cutOffBlockingCalls(shortTime);
    CHECK(cutOff.empty());
    checkReceived({ "200 0" });
}

// A large response needs more time to reach its client.
TEST(cut_off, largeResponsesAreReleasedEarlier)
{
    constexpr std::size_t manyBytes = 4194304;
    sendRequests(2);
    respond(1, 200, manyBytes);
    server.cutOffBlockingCalls(milliseconds(300));
    CHECK_EQUAL(1U, cutOff.size());
    checkReceived({ "502 0", "200 1" });
}

TEST(cut_off, everyRequestGetsAResponseAtTheEnd)
{
    sendRequests(3);
    respond(1, 200);
    server.cutOffCalls();
    checkReceived({ "502 0", "200 1", "502 2" });
    LONGS_EQUAL(0, server.getOpenCallCount());
}

// A late response of an instance must not follow the one that was given instead.
TEST(cut_off, aRequestThatWasCutOffGetsNoSecondResponse)
{
    sendRequests(2);
    respond(1, 200);
    server.cutOffBlockingCalls(shortTime);
    respond(0, 200);
    server.cutOffCalls();
    checkReceived({ "502 0", "200 1" });
    CHECK_EQUAL(1U, cutOff.size());
}

// Guards against closing the connection of a client that reads: its responses take memory only because an
// unfinished request holds them up.
TEST(cut_off, heldUpResponsesAreReleasedWhenTheyTakeTooMuchMemory)
{
    server.setAccount(account);
    sendRequests(3);
    respond(1, 200, mostOfTheShare);
    account->tick(now);
    CHECK(cutOff.empty());
    now = now + memory_shares {}.stallTime;
    account->tick(now);
    CHECK_EQUAL(1U, cutOff.size());
    account->tick(now);
    checkReceived({ "502 0", "200 1" });
    runUntil([&] { return receive() >= mostOfTheShare; });
    CHECK_FALSE(calls[2]->isEnded());
    respond(2, 200);
    checkReceived({ "502 0", "200 1", "200 2" });
}

// A client that does not read is given up as before.
TEST(cut_off, aSlowReaderIsGivenUpWhenItsResponsesTakeTooMuchMemory)
{
    server.setAccount(account);
    sendRequests(3);
    respond(0, 200, mostOfTheShare);
    respond(2, 200);
    now = now + memory_shares {}.stallTime;
    account->tick(now);
    CHECK(cutOff.empty());
    CHECK(calls[1]->isEnded());
    LONGS_EQUAL(0, server.getConnectionCount());
}
