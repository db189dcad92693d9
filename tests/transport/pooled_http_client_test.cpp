#include "transport/pooled_http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <list>
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::chrono::seconds maxWaitTime { 20 };

/// A connection accepted by the target that the test plays.
struct scripted_connection {
    explicit scripted_connection(tcp::socket accepted)
        : socket(std::move(accepted))
    {
    }

    tcp::socket socket;
    std::string received;
    char readBuffer[4096];
    bool isClosed = false;
};

} // namespace

TEST_GROUP(pooled_http_client)
{
    asio::io_context io;
    tcp::acceptor acceptor { io, { asio::ip::make_address("127.0.0.1"), 0 } };
    std::list<scripted_connection> connections;
    std::optional<outgoing_result> result;
    std::unique_ptr<pooled_http_client> client;
    bool readsRequests = true;

    void setup() override
    {
        client = std::make_unique<pooled_http_client>(io, fuchsiagauge::clock::makeBoot(),
            address { "127.0.0.1", acceptor.local_endpoint().port() }, pool_limits {});
        accept();
    }

    void teardown() override
    {
        client.reset();
        acceptor.close();
        for (auto& connection : connections)
            connection.socket.close();
        io.poll();
        connections.clear();
    }

    void accept()
    {
        acceptor.async_accept([this](const boost::system::error_code& code, tcp::socket socket) {
            if (code)
                return;
            connections.emplace_back(std::move(socket));
            if (readsRequests)
                receive(connections.back());
            accept();
        });
    }

    void receive(scripted_connection & connection)
    {
        connection.socket.async_read_some(asio::buffer(connection.readBuffer),
            [this, &connection](const boost::system::error_code& code, std::size_t count) {
                connection.received.append(connection.readBuffer, count);
                if (code)
                    connection.isClosed = true;
                else
                    receive(connection);
            });
    }

    pooled_http_client::handle send(const std::string& id = "a", const std::string& body = {})
    {
        result.reset();
        outgoing_request outgoing;
        outgoing.request.method = body.empty() ? "GET" : "POST";
        outgoing.request.target = "/" + id;
        outgoing.request.body = body;
        outgoing.expiresAt = fuchsiagauge::clock::makeBoot().now() + milliseconds(10000);
        outgoing.id = id;
        outgoing.matchResponse = [id](const response_head& head) {
            const auto* found = head.fields.find("id");
            if (!found)
                return response_match::Unidentified;
            return *found == id ? response_match::Matches : response_match::OtherRequest;
        };
        return client->send(
            std::move(outgoing), [this](outgoing_result ended) { result = std::move(ended); });
    }

    template <typename Condition> void runUntil(Condition isMet)
    {
        const auto end = std::chrono::steady_clock::now() + maxWaitTime;
        while (!isMet() && std::chrono::steady_clock::now() < end)
            io.run_one_for(std::chrono::milliseconds(50));
        CHECK(isMet());
    }

    void respond(const std::string& text)
    {
        runUntil([&] { return !connections.empty() && !connections.back().received.empty(); });
        connections.back().received.clear();
        asio::write(connections.back().socket, asio::buffer(text));
    }

    void expectResponse(const std::string& body)
    {
        runUntil([&] { return result.has_value(); });
        CHECK(result->isAnswered);
        STRCMP_EQUAL(body.c_str(), result->body.c_str());
    }

    void expectFailure(error_kind kind, bool mayHaveArrived)
    {
        runUntil([&] { return result.has_value(); });
        CHECK_FALSE(result->isAnswered);
        CHECK(kind == result->failure.kind);
        CHECK_EQUAL(mayHaveArrived, result->mayHaveArrived);
    }
};

TEST(pooled_http_client, reusesAConnectionForTheNextCall)
{
    send("a");
    respond("HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 2\r\n\r\nok");
    expectResponse("ok");
    CHECK_FALSE(result->isConnectionReused);
    send("b");
    respond("HTTP/1.1 200 OK\r\nid: b\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n");
    expectResponse("hi");
    CHECK(result->isConnectionReused);
    CHECK_EQUAL(1U, connections.size());
}

TEST(pooled_http_client, readsAResponseSplitAcrossReads)
{
    send("a");
    respond("HTTP/1.1 200 OK\r\nid: a\r\nTransfer-En");
    for (const char* piece :
        { "coding: chunked\r\n\r", "\n3", "\r\nabc\r", "\n2\r\nd", "e\r\n0\r\n", "\r\n" }) {
        for (int turn = 0; turn < 20; ++turn)
            io.run_one_for(std::chrono::milliseconds(1));
        asio::write(connections.back().socket, asio::buffer(std::string(piece)));
    }
    expectResponse("abcde");
}

TEST(pooled_http_client, skipsALateResponseToAnotherRequest)
{
    send("a");
    respond("HTTP/1.1 200 OK\r\nid: older\r\nContent-Length: 5\r\n\r\nwrong"
            "HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 5\r\n\r\nright");
    expectResponse("right");
    runUntil([&] { return connections.back().isClosed; });
}

TEST(pooled_http_client, doesNotReuseAConnectionWithBytesAfterTheResponse)
{
    send("a");
    respond("HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
    expectResponse("ok");
    runUntil([&] { return connections.back().isClosed; });
}

TEST(pooled_http_client, closesAnIdleConnectionThatReceivesBytes)
{
    send("a");
    respond("HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 2\r\n\r\nok");
    expectResponse("ok");
    asio::write(connections.back().socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\n")));
    runUntil([&] { return connections.back().isClosed; });
}

TEST(pooled_http_client, reportsATruncatedResponseAsBroken)
{
    send("a");
    respond("HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 20\r\n\r\nhalf");
    io.poll();
    connections.back().socket.close();
    expectFailure(error_kind::BrokenAnswer, true);
}

TEST(pooled_http_client, aResponseWithoutALengthEndsWithAnOrderlyClose)
{
    send("a");
    respond("HTTP/1.1 200 OK\r\nid: a\r\n\r\nall of it");
    io.poll();
    connections.back().socket.shutdown(tcp::socket::shutdown_both);
    expectResponse("all of it");
}

TEST(pooled_http_client, aResponseWithoutALengthIsBrokenIfTheConnectionIsReset)
{
    send("a");
    respond("HTTP/1.1 200 OK\r\nid: a\r\n\r\npart of it");
    io.poll();
    connections.back().socket.set_option(asio::socket_base::linger(true, 0));
    connections.back().socket.close();
    expectFailure(error_kind::BrokenAnswer, true);
}

TEST(pooled_http_client, reportsInvalidHttpAsBroken)
{
    send("a");
    respond("this is no answer\r\n\r\n");
    expectFailure(error_kind::BrokenAnswer, true);
}

TEST(pooled_http_client, skipsInterimResponses)
{
    send("a");
    respond("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 2\r\n\r\nok");
    expectResponse("ok");
}

TEST(pooled_http_client, aRequestDoesNotArriveOnARefusedConnection)
{
    acceptor.close();
    send("a");
    expectFailure(error_kind::TargetUnreachable, false);
}

TEST(pooled_http_client, aRequestMayHaveArrivedOnAConnectionThatCloses)
{
    send("a");
    runUntil([&] { return !connections.empty() && !connections.back().received.empty(); });
    connections.back().socket.close();
    expectFailure(error_kind::ConnectionLost, true);
}

TEST(pooled_http_client, aCancelledCallClosesItsConnection)
{
    const auto call = send("a");
    runUntil([&] { return !connections.empty() && !connections.back().received.empty(); });
    pooled_http_client::cancel(call);
    runUntil([&] { return connections.back().isClosed; });
    CHECK_FALSE(result.has_value());
}

TEST(pooled_http_client, cancellingAnEndedCallDoesNotAffectTheNextOne)
{
    const auto first = send("a");
    respond("HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 2\r\n\r\nok");
    expectResponse("ok");
    send("b");
    pooled_http_client::cancel(first);
    respond("HTTP/1.1 200 OK\r\nid: b\r\nContent-Length: 2\r\n\r\nhi");
    expectResponse("hi");
}

TEST(pooled_http_client, closesTheConnectionIfTheResponseArrivesBeforeTheRequestIsSent)
{
    constexpr std::size_t largerThanSocketBuffers = 33554432;
    readsRequests = false;
    send("a", std::string(largerThanSocketBuffers, 'x'));
    runUntil([&] { return connections.size() == 1; });
    asio::write(connections.back().socket,
        asio::buffer(std::string("HTTP/1.1 413 Large\r\nid: a\r\nContent-Length: 0\r\n\r\n")));
    runUntil([&] { return result.has_value(); });
    CHECK(result->isAnswered);
    LONGS_EQUAL(413, result->head.status);
    send("b");
    runUntil([&] { return connections.size() == 2; });
}

namespace {

/// Ways in which a target sends bytes without end that complete no response.
struct endless_response {
    const char* name;
    std::string start;
    std::string repeated;
};

} // namespace

// A target in trouble sends bytes until the caller closes. The call must fail long before it times out, in
// bounded memory.
TEST(pooled_http_client, givesUpAnEndlessResponse)
{
    constexpr std::size_t pieceBytes = 16384;
    constexpr std::size_t maxReceivedBytes = 4194304;
    const std::string filler(pieceBytes, 'x');
    const std::vector<endless_response> cases {
        { "status line", "HTTP/1.1 200 ", filler },
        { "header line", "HTTP/1.1 200 OK\r\nid: a\r\nname: ", filler },
        { "header fields", "HTTP/1.1 200 OK\r\nid: a\r\n", "name: " + filler + "\r\n" },
        { "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "responses to other requests", "", "HTTP/1.1 200 OK\r\nid: older\r\nContent-Length: 0\r\n\r\n" },
        { "body without a length", "HTTP/1.1 200 OK\r\nid: a\r\n\r\n", filler },
        { "body of excessive length", "HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 99999999999\r\n\r\n",
            filler },
        { "chunk size", "HTTP/1.1 200 OK\r\nid: a\r\nTransfer-Encoding: chunked\r\n\r\n",
            std::string(pieceBytes, '0') },
        { "chunk extension", "HTTP/1.1 200 OK\r\nid: a\r\nTransfer-Encoding: chunked\r\n\r\n1;", filler },
        { "chunks", "HTTP/1.1 200 OK\r\nid: a\r\nTransfer-Encoding: chunked\r\n\r\n",
            "4000\r\n" + filler + "\r\n" },
        { "trailer", "HTTP/1.1 200 OK\r\nid: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nname: ", filler },
    };
    pool_limits limits;
    limits.memory = std::make_shared<receive_memory>(1048576);
    client = std::make_unique<pooled_http_client>(io, fuchsiagauge::clock::makeBoot(),
        address { "127.0.0.1", acceptor.local_endpoint().port() }, limits);
    for (const auto& endless : cases) {
        connections.clear();
        send("a");
        respond(endless.start);
        auto& connection = connections.back();
        std::size_t sent = 0;
        boost::system::error_code code;
        connection.socket.non_blocking(true);
        while (!result && sent < maxReceivedBytes) {
            sent += connection.socket.write_some(asio::buffer(endless.repeated), code);
            io.run_one_for(std::chrono::milliseconds(1));
        }
        CHECK_TEXT(result.has_value(), endless.name);
        CHECK_FALSE_TEXT(result->isAnswered, endless.name);
        CHECK_TEXT(result->failure.kind == error_kind::BrokenAnswer, endless.name);
        CHECK_EQUAL_TEXT(0U, limits.memory->getUsed(), endless.name);
        runUntil([&] { return connection.isClosed; });
    }
}

// A head of many short fields takes many times the bytes that were received. It stays below the limit on
// heads and does not end, so that many calls together would exceed the memory.
TEST(pooled_http_client, accountsForTheFieldsOfAHead)
{
    constexpr int fieldCount = 8000;
    pool_limits limits;
    limits.memory = std::make_shared<receive_memory>(1048576);
    client = std::make_unique<pooled_http_client>(io, fuchsiagauge::clock::makeBoot(),
        address { "127.0.0.1", acceptor.local_endpoint().port() }, limits);
    std::string head = "HTTP/1.1 200 OK\r\nid: a\r\n";
    for (int index = 0; index < fieldCount; ++index)
        head += "a:b\r\n";
    send("a");
    respond(head);
    expectFailure(error_kind::BrokenAnswer, true);
    CHECK_EQUAL(0U, limits.memory->getUsed());
}

// A late copy of an earlier response arrives in the same packet as the start of the next one.
TEST(pooled_http_client, skipsACopyThatArrivesTogetherWithTheNextResponse)
{
    send("a");
    respond("HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 3\r\n\r\nold");
    expectResponse("old");
    send("b");
    respond("HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nid: b\r\nConte");
    io.poll();
    CHECK_FALSE(result.has_value());
    asio::write(connections.back().socket, asio::buffer(std::string("nt-Length: 3\r\n\r\nnew")));
    expectResponse("new");
    runUntil([&] { return connections.back().isClosed; });
}

// The target repeats its first response to a request that is sent again: the copy has the id of both.
TEST(pooled_http_client, sendsARequestAgainOnAnotherConnection)
{
    const std::string refusal = "HTTP/1.1 503 Busy\r\nid: a\r\nContent-Length: 4\r\n\r\nbusy";
    send("a");
    respond(refusal);
    expectResponse("busy");
    send("b");
    respond("HTTP/1.1 200 OK\r\nid: b\r\nContent-Length: 5\r\n\r\nother");
    expectResponse("other");
    CHECK_EQUAL(1U, connections.size());
    send("a");
    runUntil([&] { return connections.size() == 2; });
    boost::system::error_code code;
    asio::write(connections.front().socket, asio::buffer(refusal), code);
    respond("HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 5\r\n\r\nright");
    expectResponse("right");
    runUntil([&] { return connections.front().isClosed; });
}

// A refusal without an id must not pass for the response to the request that is running, whether it is a late
// copy on a kept connection or the first message on a new one.
TEST(pooled_http_client, trustsNoResponseWithoutAnId)
{
    const std::string refusal = "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy";
    send("a");
    respond(refusal);
    expectFailure(error_kind::BrokenAnswer, true);
    runUntil([&] { return connections.back().isClosed; });
    send("b");
    respond("HTTP/1.1 200 OK\r\nid: b\r\nContent-Length: 2\r\n\r\nok");
    expectResponse("ok");
    send("c");
    respond(refusal);
    expectFailure(error_kind::BrokenAnswer, true);
    runUntil([&] { return connections.back().isClosed; });
}

// Fields behind the last chunk must not change what the head has told.
TEST(pooled_http_client, ignoresTheFieldsOfATrailer)
{
    send("a");
    respond("HTTP/1.1 200 OK\r\nid: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
            "Not-Run: 1\r\nid: b\r\nKeep-Alive: timeout=0\r\n\r\n");
    expectResponse("ok");
    CHECK(result->head.fields.find("Not-Run") == nullptr);
}

// The connection ends before the last chunk: what arrived looks whole but for the end mark.
TEST(pooled_http_client, reportsAChunkedResponseWithoutItsEndAsBroken)
{
    for (const bool isReset : { false, true }) {
        connections.clear();
        send("a");
        respond("HTTP/1.1 200 OK\r\nid: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
        io.poll();
        connections.back().socket.set_option(asio::socket_base::linger(isReset, 0));
        connections.back().socket.close();
        expectFailure(error_kind::BrokenAnswer, true);
    }
}
