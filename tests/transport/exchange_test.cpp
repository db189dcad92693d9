#include "transport/exchange.h"

#include "transport/connection_pool.h"
#include "transport/coroutine.h"

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
constexpr std::size_t pieceBytes = 16384;
constexpr std::size_t maxSentBytes
    = 16777216; ///< Without an end of the call, the response is taken without limit.
const milliseconds callTimeout { 60000 };

/// A way in which a target sends bytes without end that complete no response.
struct endless_response {
    const char* name;
    std::string start;
    std::string repeated;
};

std::vector<endless_response> makeEndlessResponses()
{
    const std::string filler(pieceBytes, 'x');
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    return {
        { "noise", "", filler },
        { "status line", "HTTP/1.1 200 ", filler },
        { "header line", "HTTP/1.1 200 OK\r\nname: ", filler },
        { "header fields", "HTTP/1.1 200 OK\r\n", "name: " + filler + "\r\n" },
        { "chunk size", chunked, std::string(pieceBytes, '0') },
        { "chunk extension", chunked + "1;", filler },
        { "trailer", chunked + "0\r\n", "name: " + filler + "\r\n" },
        { "trailer line", chunked + "0\r\nname: ", filler },
    };
}

} // namespace

TEST_GROUP(exchange)
{
    asio::io_context io;
    tcp::acceptor acceptor { io, { asio::ip::make_address("127.0.0.1"), 0 } };
    bool hasEnded = false;
    bool isComplete = false;
    error failure;
    std::size_t sentBytes = 0;

    /// Makes a call to the acceptor and reads its whole response.
    void startCall()
    {
        startCoroutine(io, [this](asio::yield_context yield) {
            exchange call(std::make_shared<connection_pool>(
                io, address { "127.0.0.1", acceptor.local_endpoint().port() }));
            call_request request;
            request.method = "GET";
            request.target = "/";
            bool isFailed = !call.start(request, callTimeout, callTimeout, yield);
            std::vector<char> buffer(pieceBytes);
            while (!isFailed) {
                const auto count = call.readSome(buffer.data(), buffer.size(), yield);
                isFailed = !count;
                if (count && *count == 0)
                    break;
            }
            hasEnded = true;
            isComplete = !isFailed;
            failure = isFailed ? copyLastError() : error {};
        });
    }

    /// Answers the next connection until the call has ended.
    void respond(const std::string& start, const std::string& repeated)
    {
        io.restart();
        tcp::socket target(io);
        acceptor.async_accept(target, [](const boost::system::error_code&) {});
        const auto end = std::chrono::steady_clock::now() + maxWaitTime;
        startCall();
        while (!target.is_open() && std::chrono::steady_clock::now() < end)
            io.run_one_for(std::chrono::milliseconds(10));
        boost::system::error_code code;
        asio::write(target, asio::buffer(start), code);
        target.non_blocking(true);
        while (!hasEnded && sentBytes < maxSentBytes && std::chrono::steady_clock::now() < end) {
            if (!repeated.empty())
                sentBytes += target.write_some(asio::buffer(repeated), code);
            io.run_one_for(std::chrono::milliseconds(1));
        }
    }
};

// A target in trouble sends bytes until the caller closes. The call must fail long before it times out, in
// bounded memory: what the parser can't take was kept without a limit.
TEST(exchange, givesUpAnEndlessResponse)
{
    for (const auto& endless : makeEndlessResponses()) {
        hasEnded = false;
        sentBytes = 0;
        respond(endless.start, endless.repeated);
        CHECK_TEXT(hasEnded, endless.name);
        CHECK_FALSE_TEXT(isComplete, endless.name);
        CHECK_TEXT(failure.kind == error_kind::BrokenAnswer, endless.name);
    }
}

// A head of many short fields takes many times the bytes that were received, also if it stays below the limit
// on heads and does not end.
TEST(exchange, givesUpAHeadOfTooManyFields)
{
    constexpr int fieldCount = 8000;
    std::string head = "HTTP/1.1 200 OK\r\n";
    for (int index = 0; index < fieldCount; ++index)
        head += "a:b\r\n";
    respond(head, {});
    CHECK(hasEnded);
    CHECK(failure.kind == error_kind::BrokenAnswer);
}

// The limits leave room for what targets send.
TEST(exchange, readsALargeHeadAndALongBody)
{
    constexpr int fieldCount = 500;
    constexpr std::size_t bodyBytes = 1000000;
    std::string response = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n";
    for (int index = 0; index < fieldCount; ++index)
        response += "Field-" + std::to_string(index) + ": " + std::string(100, 'x') + "\r\n";
    respond(response + "\r\n", std::string(bodyBytes, 'y'));
    CHECK(hasEnded);
    CHECK(isComplete);
}

// The caller would get such a head as a response, with a status or a line that HTTP does not know.
TEST(exchange, acceptsNoHeadThatIsNoResponse)
{
    const std::string end = "Content-Length: 2\r\n\r\nok";
    std::vector<std::string> responses;
    for (const char* status : { "000", "099", "600", "999" })
        responses.push_back("HTTP/1.1 " + std::string(status) + " Odd\r\n" + end);
    for (const auto& name : { std::string("Na me"), std::string("Name "), std::string("Na\tme"),
             std::string("Na\0me", 5), std::string("Na\x01me"), std::string("Na\x7fme"),
             std::string("Na\rme"), std::string("Na\nme"), std::string("Na\r\nme"), std::string() })
        responses.push_back("HTTP/1.1 200 OK\r\n" + name + ": x\r\n" + end);
    for (const auto& response : responses) {
        hasEnded = false;
        respond(response, {});
        CHECK_TEXT(hasEnded, response.c_str());
        CHECK_FALSE_TEXT(isComplete, response.c_str());
        CHECK_TEXT(failure.kind == error_kind::BrokenAnswer, response.c_str());
    }
}
