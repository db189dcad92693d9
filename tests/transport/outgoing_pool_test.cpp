#include "transport/outgoing_pool.h"

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

constexpr std::chrono::seconds longestRun { 20 };

/// One accepted connection of a scripted target.
struct scripted_connection {
    explicit scripted_connection(tcp::socket accepted)
        : socket(std::move(accepted))
    {
    }

    tcp::socket socket;
    std::string received;
    char piece[4096];
    bool isClosed = false;
};

} // namespace

TEST_GROUP(outgoing_pool)
{
    asio::io_context io;
    tcp::acceptor acceptor { io, { asio::ip::make_address("127.0.0.1"), 0 } };
    std::list<scripted_connection> connections;
    std::optional<outgoing_result> result;
    std::unique_ptr<outgoing_pool> pool;
    bool readsRequests = true;

    void setup() override
    {
        pool = std::make_unique<outgoing_pool>(io, fuchsiagauge::clock::makeBoot(),
            address { "127.0.0.1", acceptor.local_endpoint().port() }, pool_limits {});
        accept();
    }

    void teardown() override
    {
        pool.reset();
        acceptor.close();
        for (auto& one : connections)
            one.socket.close();
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

    void receive(scripted_connection & one)
    {
        one.socket.async_read_some(
            asio::buffer(one.piece), [this, &one](const boost::system::error_code& code, std::size_t count) {
                one.received.append(one.piece, count);
                if (code)
                    one.isClosed = true;
                else
                    receive(one);
            });
    }

    outgoing_pool::handle send(const std::string& id = "a", const std::string& body = {})
    {
        result.reset();
        outgoing_request outgoing;
        outgoing.request.method = body.empty() ? "GET" : "POST";
        outgoing.request.target = "/" + id;
        outgoing.request.body = body;
        outgoing.expiresAt = fuchsiagauge::clock::makeBoot().now() + milliseconds(10000);
        outgoing.isOwnAnswer = [id](const answer_head& head) { return head.fields.get("id") == id; };
        return pool->send(std::move(outgoing), [this](outgoing_result ended) { result = std::move(ended); });
    }

    template <typename Condition> void runUntil(Condition isMet)
    {
        const auto end = std::chrono::steady_clock::now() + longestRun;
        while (!isMet() && std::chrono::steady_clock::now() < end)
            io.run_one_for(std::chrono::milliseconds(50));
        CHECK(isMet());
    }

    void answer(const std::string& text)
    {
        runUntil([&] { return !connections.empty() && !connections.back().received.empty(); });
        connections.back().received.clear();
        asio::write(connections.back().socket, asio::buffer(text));
    }

    void expectWhole(const std::string& body)
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

TEST(outgoing_pool, keepsAConnectionForTheNextCall)
{
    send("a");
    answer("HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 2\r\n\r\nok");
    expectWhole("ok");
    send("b");
    answer("HTTP/1.1 200 OK\r\nid: b\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n");
    expectWhole("hi");
    CHECK_EQUAL(1U, connections.size());
}

TEST(outgoing_pool, readsAnAnswerThatComesInPieces)
{
    send("a");
    answer("HTTP/1.1 200 OK\r\nid: a\r\nTransfer-En");
    for (const char* piece :
        { "coding: chunked\r\n\r", "\n3", "\r\nabc\r", "\n2\r\nd", "e\r\n0\r\n", "\r\n" }) {
        for (int turn = 0; turn < 20; ++turn)
            io.run_one_for(std::chrono::milliseconds(1));
        asio::write(connections.back().socket, asio::buffer(std::string(piece)));
    }
    expectWhole("abcde");
}

TEST(outgoing_pool, leavesOutALateAnswerToAnotherRequest)
{
    send("a");
    answer("HTTP/1.1 200 OK\r\nid: older\r\nContent-Length: 5\r\n\r\nwrong"
           "HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 5\r\n\r\nright");
    expectWhole("right");
    runUntil([&] { return connections.back().isClosed; });
}

TEST(outgoing_pool, doesNotReuseAConnectionWithBytesBehindTheAnswer)
{
    send("a");
    answer("HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
    expectWhole("ok");
    runUntil([&] { return connections.back().isClosed; });
}

TEST(outgoing_pool, bytesOnAnIdleConnectionEndIt)
{
    send("a");
    answer("HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 2\r\n\r\nok");
    expectWhole("ok");
    asio::write(connections.back().socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\n")));
    runUntil([&] { return connections.back().isClosed; });
}

TEST(outgoing_pool, anAnswerThatEndsEarlyIsBroken)
{
    send("a");
    answer("HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 20\r\n\r\nhalf");
    io.poll();
    connections.back().socket.close();
    expectFailure(error_kind::BrokenAnswer, true);
}

TEST(outgoing_pool, anAnswerWithoutALengthEndsWithAnOrderlyClose)
{
    send("a");
    answer("HTTP/1.1 200 OK\r\nid: a\r\n\r\nall of it");
    io.poll();
    connections.back().socket.shutdown(tcp::socket::shutdown_both);
    expectWhole("all of it");
}

TEST(outgoing_pool, anAnswerWithoutALengthThatIsResetIsBroken)
{
    send("a");
    answer("HTTP/1.1 200 OK\r\nid: a\r\n\r\npart of it");
    io.poll();
    connections.back().socket.set_option(asio::socket_base::linger(true, 0));
    connections.back().socket.close();
    expectFailure(error_kind::BrokenAnswer, true);
}

TEST(outgoing_pool, garbageIsBroken)
{
    send("a");
    answer("this is no answer\r\n\r\n");
    expectFailure(error_kind::BrokenAnswer, true);
}

TEST(outgoing_pool, passesOverInterimAnswers)
{
    send("a");
    answer("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 2\r\n\r\nok");
    expectWhole("ok");
}

TEST(outgoing_pool, aRefusedConnectionCarriedNothing)
{
    acceptor.close();
    send("a");
    expectFailure(error_kind::TargetUnreachable, false);
}

TEST(outgoing_pool, aClosedConnectionMayHaveCarriedTheRequest)
{
    send("a");
    runUntil([&] { return !connections.empty() && !connections.back().received.empty(); });
    connections.back().socket.close();
    expectFailure(error_kind::ConnectionLost, true);
}

TEST(outgoing_pool, aCancelledCallClosesItsConnection)
{
    const auto call = send("a");
    runUntil([&] { return !connections.empty() && !connections.back().received.empty(); });
    outgoing_pool::cancel(call);
    runUntil([&] { return connections.back().isClosed; });
    CHECK_FALSE(result.has_value());
}

TEST(outgoing_pool, cancellingAnEndedCallLeavesTheNextOneAlone)
{
    const auto first = send("a");
    answer("HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 2\r\n\r\nok");
    expectWhole("ok");
    send("b");
    outgoing_pool::cancel(first);
    answer("HTTP/1.1 200 OK\r\nid: b\r\nContent-Length: 2\r\n\r\nhi");
    expectWhole("hi");
}

TEST(outgoing_pool, anAnswerBeforeTheWholeRequestEndsTheConnection)
{
    constexpr std::size_t moreThanTheKernelHolds = 33554432;
    readsRequests = false;
    send("a", std::string(moreThanTheKernelHolds, 'x'));
    runUntil([&] { return connections.size() == 1; });
    asio::write(connections.back().socket,
        asio::buffer(std::string("HTTP/1.1 413 Large\r\nid: a\r\nContent-Length: 0\r\n\r\n")));
    runUntil([&] { return result.has_value(); });
    CHECK(result->isAnswered);
    LONGS_EQUAL(413, result->head.status);
    send("b");
    runUntil([&] { return connections.size() == 2; });
}
