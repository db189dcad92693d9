#include "transport/call_listener.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::chrono::seconds maxWaitTime { 20 };
constexpr std::chrono::milliseconds settleTime { 50 };
constexpr int receiveBufferBytes
    = 65536; ///< Of the caller, which receives no more than a part of its response.
constexpr std::size_t responseBytes = 1000000;

} // namespace

TEST_GROUP(call_listener)
{
    asio::io_context io;
    std::size_t servedCount = 0;
    call_listener listener { io, listener_limits {},
        [this](call_request&, response_writer& writer, asio::yield_context yield) {
            ++servedCount;
            response_head head;
            head.status = 200;
            writer.sendComplete(head, std::string(responseBytes, 'x'), yield);
        } };
    tcp::socket client { io };

    void setup() override
    {
        const auto bound = listener.open({ "127.0.0.1", 0 });
        client.open(tcp::v4());
        client.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
        client.connect({ asio::ip::make_address(bound->host), bound->port });
    }

    void teardown() override
    {
        listener.stop();
        client.close();
        io.restart();
        io.run_for(settleTime);
    }

    template <typename Condition> void runUntil(Condition isMet)
    {
        const auto end = std::chrono::steady_clock::now() + maxWaitTime;
        while (!isMet() && std::chrono::steady_clock::now() < end)
            io.run_one_for(std::chrono::milliseconds(10));
        CHECK(isMet());
    }

    /// Sends bytes, unless the listener has reset the connection: then readAll() tells.
    void sendBytes(const std::string& text)
    {
        boost::system::error_code code;
        asio::write(client, asio::buffer(text), code);
        io.restart();
        io.run_for(settleTime);
    }

    /// Sends a request and waits until the kernel has taken its response.
    void sendRequest(const std::string& fields = {})
    {
        sendBytes("GET /1 HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n");
        runUntil([&] { return servedCount == 1 && listener.getOpenCallCount() == 0; });
    }

    /// Reads to the end of the connection.
    /// @return the number of bytes.
    std::size_t readAll()
    {
        client.non_blocking(true);
        std::vector<char> buffer(receiveBufferBytes);
        std::size_t bytes = 0;
        boost::system::error_code code;
        runUntil([&] {
            do
                bytes += client.read_some(asio::buffer(buffer), code);
            while (!code);
            return code != asio::error::would_block;
        });
        CHECK(code == asio::error::eof);
        return bytes;
    }
};

// A request behind the last response reset the connection and cut that response off.
TEST(call_listener, bytesBehindTheLastResponseDoNotCutItOff)
{
    sendRequest("Connection: close\r\n");
    sendBytes("GET /2 HT");
    sendBytes("TP/1.1\r\n");
    CHECK(readAll() > responseBytes);
    CHECK_EQUAL(1U, servedCount);
}

// Chunk headers and trailers of requests were kept without a limit until the timeout of the body.
TEST(call_listener, givesUpAnEndlessRequest)
{
    constexpr std::size_t maxSentBytes = 16777216;
    const std::string filler(16384, 'x');
    client.non_blocking(true);
    sendBytes("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;");
    std::size_t sentBytes = 0;
    boost::system::error_code code;
    while (
        sentBytes < maxSentBytes && client.available() == 0 && (!code || code == asio::error::would_block)) {
        sentBytes += client.write_some(asio::buffer(filler), code);
        io.run_one_for(std::chrono::milliseconds(1));
    }
    CHECK(sentBytes < maxSentBytes);
    CHECK_EQUAL(0U, servedCount);
}

// A planned stop closes a kept connection whose caller is still receiving its response.
TEST(call_listener, aStopDoesNotCutOffAResponse)
{
    sendRequest();
    listener.stop();
    sendBytes("GET /2 HT");
    sendBytes("TP/1.1\r\n");
    CHECK(readAll() > responseBytes);
    CHECK_EQUAL(1U, servedCount);
}

// The process must not end before the caller has received its last response and closed the connection.
TEST(call_listener, lingersUntilTheCallerHasClosedTheConnection)
{
    sendRequest();
    listener.stop();
    sendBytes({});
    CHECK(listener.isLingering());
    CHECK(readAll() > responseBytes);
    client.close();
    runUntil([&] { return !listener.isLingering(); });
}
