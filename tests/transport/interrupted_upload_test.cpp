#include "transport/connection_pool.h"
#include "transport/coroutine.h"
#include "transport/exchange.h"
#include "transport/pooled_http_client.h"
#include "transport/socket_options.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdio>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::chrono::seconds maxWaitTime { 20 };
constexpr std::size_t largerThanSocketBuffers = 33554432;
constexpr std::size_t callBufferBytes = 16384;
const milliseconds callTimeout { 10000 };
constexpr std::size_t bodySizes[] = { 1, 5000, 50000 }; ///< The largest one takes several reads.

enum class connection_end { Reset, Close, CloseThenReset };

const std::string unframedHead = "HTTP/1.1 200 OK\r\nid: a\r\n\r\n";

std::string makeBody(std::size_t size) { return std::string(size, 'y'); }

std::string makeResponseWithLength(const std::string& status, const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\nid: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

std::string makeChunkedResponse(const std::string& status, const std::string& body)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx", body.size());
    return "HTTP/1.1 " + status + "\r\nid: a\r\nTransfer-Encoding: chunked\r\n\r\n" + size + "\r\n" + body
        + "\r\n0\r\n\r\n";
}

/// Runs what is ready until nothing is.
void runAll(asio::io_context& io)
{
    while (io.poll() > 0) { }
}

/// Waits until the client's system has received everything.
void waitUntilReceived(tcp::socket& target)
{
    const auto end = std::chrono::steady_clock::now() + maxWaitTime;
    while (countUnacknowledgedBytes(target) > 0 && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    CHECK_EQUAL(0U, countUnacknowledgedBytes(target));
}

void endConnection(tcp::socket& target, connection_end ending)
{
    if (ending != connection_end::Reset) {
        target.shutdown(tcp::socket::shutdown_send);
        waitUntilReceived(target);
    }
    if (ending != connection_end::Close) {
        target.set_option(asio::socket_base::linger(true, 0));
        target.close();
    }
}

} // namespace

// A target responds to an upload that it does not read, and ends the connection while the client is still
// sending. The reset is reported to whichever comes first, the client's next send or its next read.
TEST_GROUP(interrupted_upload)
{
    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> work { asio::make_work_guard(io) };
    tcp::acceptor acceptor { io, { asio::ip::make_address("127.0.0.1"), 0 } };
    std::unique_ptr<pooled_http_client> client;
    std::optional<outgoing_result> result;

    void setup() override
    {
        client = std::make_unique<pooled_http_client>(io, fuchsiagauge::clock::makeBoot(),
            address { "127.0.0.1", acceptor.local_endpoint().port() }, pool_limits {});
    }

    void teardown() override
    {
        client.reset();
        io.poll();
    }

    void startUpload()
    {
        result.reset();
        outgoing_request outgoing;
        outgoing.request.method = "POST";
        outgoing.request.target = "/";
        outgoing.request.body = std::string(largerThanSocketBuffers, 'x');
        outgoing.expiresAt = fuchsiagauge::clock::makeBoot().now() + milliseconds(10000);
        outgoing.matchResponse = [](const response_head&) { return response_match::Matches; };
        client->send(std::move(outgoing), [this](outgoing_result ended) { result = std::move(ended); });
    }

    /// Starts an upload and responds to it.
    /// @param isReadFirst whether the client reads the response before the connection ends.
    void upload(const std::string& response, connection_end ending, bool isReadFirst)
    {
        startUpload();
        auto target = acceptor.accept();
        runAll(io); // Fills the socket buffers.
        asio::write(target, asio::buffer(response));
        waitUntilReceived(target);
        if (isReadFirst)
            runAll(io);
        endConnection(target, ending);
        const auto end = std::chrono::steady_clock::now() + maxWaitTime;
        while (!result && std::chrono::steady_clock::now() < end)
            io.run_one_for(std::chrono::milliseconds(50));
        CHECK(result.has_value());
    }

    void expectResponse(int status, const std::string& body)
    {
        CHECK_TEXT(result->isAnswered, result->failure.detail.c_str());
        LONGS_EQUAL(status, result->head.status);
        CHECK(result->body == body);
    }

    void expectFailure(error_kind kind)
    {
        CHECK_FALSE(result->isAnswered);
        CHECK(kind == result->failure.kind);
        CHECK(result->mayHaveArrived);
    }
};

TEST(interrupted_upload, aResponseWithoutALengthIsBrokenByAReset)
{
    for (const bool isReadFirst : { true, false }) {
        upload(unframedHead, connection_end::Reset, isReadFirst);
        expectFailure(error_kind::BrokenAnswer);
        for (const auto size : bodySizes) {
            upload(unframedHead + makeBody(size), connection_end::Reset, isReadFirst);
            expectFailure(error_kind::BrokenAnswer);
        }
    }
}

TEST(interrupted_upload, aFramedResponseThatBreaksOffIsBrokenByAReset)
{
    for (const bool isReadFirst : { true, false }) {
        for (const auto size : bodySizes) {
            for (const auto& response : { makeResponseWithLength("200 OK", makeBody(size)),
                     makeChunkedResponse("200 OK", makeBody(size)) }) {
                upload(response.substr(0, response.size() - 1), connection_end::Reset, isReadFirst);
                expectFailure(error_kind::BrokenAnswer);
            }
        }
    }
}

TEST(interrupted_upload, aResetWithoutAResponseLosesTheConnection)
{
    for (const bool isReadFirst : { true, false }) {
        upload({}, connection_end::Reset, isReadFirst);
        expectFailure(error_kind::ConnectionLost);
    }
}

// The target may refuse a request early, without reading it.
TEST(interrupted_upload, aFramedResponseThatIsWholeBeforeAResetIsReceived)
{
    for (const bool isReadFirst : { true, false }) {
        upload(makeResponseWithLength("413 Too Large", {}), connection_end::Reset, isReadFirst);
        expectResponse(413, {});
        for (const auto size : bodySizes) {
            upload(
                makeResponseWithLength("413 Too Large", makeBody(size)), connection_end::Reset, isReadFirst);
            expectResponse(413, makeBody(size));
            upload(makeChunkedResponse("200 OK", makeBody(size)), connection_end::Reset, isReadFirst);
            expectResponse(200, makeBody(size));
        }
    }
}

TEST(interrupted_upload, aResponseWithoutALengthEndsWithAnOrderlyClose)
{
    for (const auto ending : { connection_end::Close, connection_end::CloseThenReset }) {
        for (const bool isReadFirst : { true, false }) {
            for (const auto size : bodySizes) {
                upload(unframedHead + makeBody(size), ending, isReadFirst);
                expectResponse(200, makeBody(size));
            }
        }
    }
}

// The same target, called by an exchange, which sends the whole request before it reads.
TEST_GROUP(interrupted_exchange)
{
    asio::io_context io;
    tcp::acceptor acceptor { io, { asio::ip::make_address("127.0.0.1"), 0 } };
    int status = 0; ///< 0 if there was no complete response.
    std::string body;
    error failure;
    bool hasEnded = false;

    void startUpload()
    {
        status = 0;
        body.clear();
        hasEnded = false;
        startCoroutine(io, [this](asio::yield_context yield) {
            exchange call(std::make_shared<connection_pool>(
                io, address { "127.0.0.1", acceptor.local_endpoint().port() }));
            call_request request;
            request.method = "POST";
            request.target = "/";
            request.body = std::string(largerThanSocketBuffers, 'x');
            const auto head = call.start(request, callTimeout, callTimeout, yield);
            std::string buffer(callBufferBytes, '\0');
            std::optional<std::size_t> count;
            while (head && (count = call.readSome(buffer.data(), buffer.size(), yield)) && *count > 0)
                body.append(buffer, 0, *count);
            if (count)
                status = head->status;
            else
                failure = copyLastError();
            hasEnded = true;
        });
    }

    void upload(const std::string& response, connection_end ending)
    {
        io.restart();
        startUpload();
        io.poll();
        auto target = acceptor.accept();
        runAll(io); // Fills the socket buffers.
        asio::write(target, asio::buffer(response));
        waitUntilReceived(target);
        endConnection(target, ending);
        io.run_for(maxWaitTime);
        CHECK(hasEnded);
    }

    void expectFailure(error_kind kind) const
    {
        LONGS_EQUAL(0, status);
        CHECK(kind == failure.kind);
    }
};

TEST(interrupted_exchange, aResponseThatBreaksOffIsBrokenByAReset)
{
    for (const auto size : bodySizes) {
        upload(unframedHead + makeBody(size), connection_end::Reset);
        expectFailure(error_kind::BrokenAnswer);
        for (const auto& response : { makeResponseWithLength("200 OK", makeBody(size)),
                 makeChunkedResponse("200 OK", makeBody(size)) }) {
            upload(response.substr(0, response.size() - 1), connection_end::Reset);
            expectFailure(error_kind::BrokenAnswer);
        }
    }
    upload(unframedHead.substr(0, 20), connection_end::Reset);
    expectFailure(error_kind::BrokenAnswer);
    upload({}, connection_end::Reset);
    expectFailure(error_kind::ConnectionLost);
}

TEST(interrupted_exchange, aResponseThatIsWholeBeforeTheResetIsReceived)
{
    for (const auto size : bodySizes) {
        for (const auto& response : { makeResponseWithLength("413 Too Large", makeBody(size)),
                 makeChunkedResponse("413 Too Large", makeBody(size)) }) {
            upload(response, connection_end::Reset);
            LONGS_EQUAL(413, status);
            CHECK(body == makeBody(size));
        }
        upload(unframedHead + makeBody(size), connection_end::CloseThenReset);
        LONGS_EQUAL(200, status);
        CHECK(body == makeBody(size));
    }
}
