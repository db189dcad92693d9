#include "transport/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::chrono::seconds maxWaitTime { 20 };

response_head makeHead(int status)
{
    response_head head;
    head.status = status;
    return head;
}

} // namespace

TEST_GROUP(http_server)
{
    asio::io_context io;
    std::vector<std::shared_ptr<incoming_call>> calls;
    http_server server { io, fuchsiagauge::clock::makeBoot(), 100,
        [this](const std::shared_ptr<incoming_call>& call) { calls.push_back(call); } };
    tcp::socket client { io };
    std::string received;
    bool isClosed = false;

    void setup() override
    {
        const auto bound = server.open({ "127.0.0.1", 0 });
        client.connect({ asio::ip::make_address(bound->host), bound->port });
        receive();
    }

    void teardown() override
    {
        server.close();
        client.close();
        io.poll();
    }

    void receive()
    {
        client.async_read_some(
            asio::buffer(m_readBuffer), [this](const boost::system::error_code& code, std::size_t count) {
                received.append(m_readBuffer, count);
                if (code)
                    isClosed = true;
                else
                    receive();
            });
    }

    void sendBytes(const std::string& text) { asio::write(client, asio::buffer(text)); }

    template <typename Condition> void runUntil(Condition isMet)
    {
        const auto end = std::chrono::steady_clock::now() + maxWaitTime;
        while (!isMet() && std::chrono::steady_clock::now() < end)
            io.run_one_for(std::chrono::milliseconds(50));
        CHECK(isMet());
    }

    bool hasReceived(const std::string& text) const { return received.find(text) != std::string::npos; }

    char m_readBuffer[4096];
};

TEST(http_server, sendsResponsesInTheOrderOfTheRequests)
{
    sendBytes("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    runUntil([&] { return calls.size() == 2; });
    calls[1]->respond(makeHead(200), "second");
    io.poll();
    CHECK(received.empty());
    calls[0]->respond(makeHead(200), "first.");
    runUntil([&] { return hasReceived("second"); });
    CHECK(received.find("first.") < received.find("second"));
}

TEST(http_server, readsAChunkedBody)
{
    sendBytes(
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    runUntil([&] { return calls.size() == 1; });
    STRCMP_EQUAL("abcde", calls[0]->getRequest().body.getText().c_str());
    CHECK(calls[0]->getRequest().fields.find("transfer-encoding") == nullptr);
}

TEST(http_server, notifiesACallWhenItsClientDisconnects)
{
    sendBytes("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    runUntil([&] { return calls.size() == 1; });
    bool isDisconnected = false;
    calls[0]->setDisconnectHook([&] { isDisconnected = true; });
    client.shutdown(tcp::socket::shutdown_both);
    runUntil([&] { return isDisconnected; });
    CHECK(calls[0]->isEnded());
    calls[0]->respond(makeHead(200), "too late");
}

// No request follows on such a connection, but its end still tells that the client has left.
TEST(http_server, notifiesACallWhoseClientDisconnectsFromAConnectionThatIsNotKept)
{
    for (const std::string request : { "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
             "GET /1 HTTP/1.0\r\n\r\n", "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\nmore" }) {
        calls.clear();
        tcp::socket leaving(io);
        leaving.connect(client.remote_endpoint());
        asio::write(leaving, asio::buffer(request));
        runUntil([&] { return calls.size() == 1; });
        bool isDisconnected = false;
        calls[0]->setDisconnectHook([&] { isDisconnected = true; });
        leaving.close();
        runUntil([&] { return isDisconnected; });
    }
}

TEST(http_server, aDroppedCallClosesTheConnectionWithoutAResponse)
{
    sendBytes("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    runUntil([&] { return calls.size() == 1; });
    calls[0]->drop();
    runUntil([&] { return isClosed; });
    CHECK(received.empty());
}

TEST(http_server, rejectsABodyOverTheLimit)
{
    client_limits limits;
    limits.bodyBytes = 10;
    server.setLimits(limits);
    sendBytes("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab");
    runUntil([&] { return calls.size() == 1; });
    calls[0]->respond(makeHead(204), {});
    sendBytes("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n");
    runUntil([&] { return isClosed; });
    CHECK(hasReceived("413"));
    CHECK_EQUAL(1U, calls.size());
}

// Guards against request smuggling: servers may disagree on where a request with both headers ends.
// A client sends its next request on a connection that it has kept since before the limits changed.
TEST(http_server, changedLimitsApplyToTheNextRequestOfAKeptConnection)
{
    client_limits limits;
    limits.bodyBytes = 4;
    server.setLimits(limits);
    sendBytes("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    runUntil([&] { return calls.size() == 1; });
    calls[0]->respond(makeHead(200), "first.");
    runUntil([&] { return hasReceived("first."); });
    limits.bodyBytes = 5;
    server.setLimits(limits);
    sendBytes("POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde");
    runUntil([&] { return calls.size() == 2; });
    calls[1]->respond(makeHead(200), "second");
    runUntil([&] { return hasReceived("second"); });
    limits.bodyBytes = 4;
    server.setLimits(limits);
    sendBytes("POST /3 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde");
    runUntil([&] { return hasReceived("413"); });
}

TEST(http_server, rejectsContentLengthTogetherWithChunkedEncoding)
{
    sendBytes(
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    runUntil([&] { return isClosed; });
    CHECK(hasReceived("400"));
    CHECK(calls.empty());
}

TEST(http_server, closesTheConnectionAfterTheNextResponseWhileClosing)
{
    sendBytes("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    runUntil([&] { return calls.size() == 1; });
    server.beginClosing();
    calls[0]->respond(makeHead(200), "whole");
    runUntil([&] { return isClosed; });
    CHECK(hasReceived("Connection: close"));
    CHECK(hasReceived("whole"));
}

TEST(http_server, omitsTheBodyOfAResponseToHead)
{
    sendBytes("HEAD /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    runUntil([&] { return calls.size() == 1; });
    auto head = makeHead(200);
    head.contentLength = 5;
    calls[0]->respond(head, "12345");
    runUntil([&] { return hasReceived("\r\n\r\n"); });
    CHECK(hasReceived("Content-Length: 5"));
    CHECK_FALSE(hasReceived("12345"));
}

TEST(http_server, sends100ContinueIfTheClientExpectsIt)
{
    sendBytes("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
    runUntil([&] { return hasReceived("100 Continue"); });
    sendBytes("ab");
    runUntil([&] { return calls.size() == 1; });
}

// A planned stop must not cut off a response that a slow client has not read yet.
TEST(http_server, isNotDrainedBeforeTheClientHasReadTheResponse)
{
    constexpr std::size_t largerThanSocketBuffers = 33554432;
    client.cancel();
    io.poll();
    sendBytes("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    runUntil([&] { return calls.size() == 1; });
    CHECK_FALSE(server.isDrained());
    server.beginClosing();
    calls[0]->respond(makeHead(200), std::string(largerThanSocketBuffers, 'x'));
    io.poll();
    CHECK_EQUAL(0U, server.getOpenCallCount());
    CHECK_FALSE(server.isDrained());
    received.clear();
    receive();
    runUntil([&] { return received.size() > largerThanSocketBuffers; });
    runUntil([&] { return server.isDrained(); });
}

// A client pauses in the middle of its response for longer than an unresponsive connection is kept.
TEST(http_server, waitsForAClientThatPausesWhileItReads)
{
    constexpr std::size_t largerThanSocketBuffers = 8388608;
    constexpr std::chrono::seconds pause { 5 };
    server.setSendTimeout(milliseconds(30000));
    tcp::socket slow(io, tcp::v4());
    slow.set_option(asio::socket_base::receive_buffer_size(65536));
    slow.connect(client.remote_endpoint());
    asio::write(slow, asio::buffer(std::string("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")));
    runUntil([&] { return calls.size() == 1; });
    calls[0]->respond(makeHead(200), std::string(largerThanSocketBuffers, 'x'));
    io.run_for(pause);
    slow.non_blocking(true);
    std::vector<char> buffer(largerThanSocketBuffers);
    std::size_t count = 0;
    boost::system::error_code code;
    runUntil([&] {
        count += slow.read_some(asio::buffer(buffer), code);
        return count > largerThanSocketBuffers || (code && code != asio::error::would_block);
    });
    CHECK(count > largerThanSocketBuffers);
}

// Responses that a client has not read take memory, also those that wait for an earlier one.
TEST(http_server, accountsForResponsesUntilTheirClientHasReadThem)
{
    constexpr std::size_t largerThanSocketBuffers = 8388608;
    const auto memory = std::make_shared<receive_memory>(largerThanSocketBuffers);
    server.setMemory(memory);
    tcp::socket slow(io, tcp::v4());
    slow.set_option(asio::socket_base::receive_buffer_size(65536));
    slow.connect(client.remote_endpoint());
    asio::write(slow,
        asio::buffer(std::string("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")));
    runUntil([&] { return calls.size() == 2; });
    calls[1]->respond(makeHead(200), std::string(largerThanSocketBuffers, 'x'));
    CHECK_EQUAL(largerThanSocketBuffers, memory->getUsed());
    CHECK(memory->isMostlyHeld());
    calls[0]->respond(makeHead(200), std::string(largerThanSocketBuffers, 'x'));
    CHECK(memory->getUsed() > largerThanSocketBuffers);
    slow.close();
    runUntil([&] { return memory->getUsed() == 0; });
    CHECK_FALSE(memory->isMostlyHeld());
}

// A head of many short fields takes many times the bytes that an instance sends.
TEST(http_server, accountsForTheHeadsOfResponsesThatWaitForAnEarlierOne)
{
    constexpr std::size_t fieldCount = 10000;
    const auto memory = std::make_shared<receive_memory>(2 * fieldCount * sizeof(header_field));
    server.setMemory(memory);
    sendBytes("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    runUntil([&] { return calls.size() == 2; });
    auto head = makeHead(200);
    for (std::size_t index = 0; index < fieldCount; ++index)
        head.fields.add("a", "b");
    calls[1]->respond(head, {});
    CHECK(memory->getUsed() >= fieldCount * sizeof(header_field));
    calls[0]->respond(makeHead(200), {});
    runUntil([&] { return memory->getUsed() == 0; });
}

TEST(http_server, isNotDrainedWhileARequestIsPartlyReceived)
{
    CHECK(server.isDrained());
    sendBytes("GET /a HTTP/1.1\r\nHo");
    runUntil([&] { return !server.isDrained(); });
    sendBytes("st: h\r\n\r\n");
    runUntil([&] { return calls.size() == 1; });
    calls[0]->respond(makeHead(200), "ok");
    runUntil([&] { return hasReceived("ok"); });
    CHECK(server.isDrained());
}

TEST(http_server, shutsDownIdleConnectionsInAnOrderlyWay)
{
    runUntil([&] { return server.getConnectionCount() == 1; });
    server.shutDown();
    runUntil([&] { return isClosed; });
    client.close();
    runUntil([&] { return server.getConnectionCount() == 0; });
}
