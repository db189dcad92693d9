#include "client/http_fetch.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <thread>

#include <CppUTest/TestHarness.h> // Must be included last: it redefines `new` as a macro.

using namespace fuchsiagauge;

namespace {

namespace asio = boost::asio;

/// Accepts one connection, reads a request, sends a fixed byte sequence and closes or resets the connection.
class single_response_server {
public:
    explicit single_response_server(std::string bytes, bool isReset = false)
        : m_acceptor(m_io, { asio::ip::address_v4::loopback(), 0 })
        , m_bytes(std::move(bytes))
        , m_isReset(isReset)
        , m_thread([this] { serve(); })
    {
    }

    ~single_response_server()
    {
        if (m_thread.joinable())
            m_thread.join();
    }

    /// Waits until the connection has ended.
    /// @return whether all bytes were taken.
    bool waitForEnd()
    {
        m_thread.join();
        return m_isSent;
    }

    address getAddress() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }

private:
    void serve()
    {
        boost::system::error_code ignored;
        asio::ip::tcp::socket socket(m_io);
        m_acceptor.accept(socket, ignored);
        std::string request;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", ignored);
        m_isSent = asio::write(socket, asio::buffer(m_bytes), ignored) == m_bytes.size();
        if (m_bytes.empty()) // Sends nothing and waits until the client times out and closes.
            asio::read_until(socket, asio::dynamic_buffer(request), "never", ignored);
        if (m_isReset)
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

    asio::io_context m_io;
    asio::ip::tcp::acceptor m_acceptor;
    std::string m_bytes;
    bool m_isReset;
    bool m_isSent = false;
    std::thread m_thread;
};

struct response_case {
    const char* bytes;
    bool hasResponse;
    int status;
    const char* body;
};

const response_case responseCases[] = {
    { "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", true, 200, "ok" },
    { "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nto the end", true, 200, "to the end" },
    { "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n", true, 503, "" },
    { "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort", false, 0, "" },
    { "HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\nlong", false, 0, "" },
    { "HTTP/1.1 000 Odd\r\ncontent-length: 2\r\n\r\nok", false, 0, "" },
    { "HTTP/1.1 600 Odd\r\ncontent-length: 2\r\n\r\nok", false, 0, "" },
    { "HTTP/1.1 200 OK\r\nna me: x\r\ncontent-length: 2\r\n\r\nok", false, 0, "" },
    { "SSH-2.0-OpenSSH\r\n", false, 0, "" },
    { "", false, 0, "" },
};

} // namespace

TEST_GROUP(http_fetch) {};

TEST(http_fetch, acceptsOnlyCompleteResponses)
{
    for (const auto& row : responseCases) {
        single_response_server server(row.bytes);
        const auto results = fetchAll({ { server.getAddress(), "/status" } }, milliseconds(200));
        CHECK_EQUAL_TEXT(row.hasResponse, results.at(0).hasResponse, row.bytes);
        CHECK_EQUAL(row.status, results[0].status);
        STRCMP_EQUAL(row.body, results[0].body.c_str());
        CHECK_EQUAL_TEXT(row.hasResponse, results[0].reason.detail.empty(), row.bytes);
    }
}

TEST(http_fetch, takesNoResetForTheEndOfAResponse)
{
    single_response_server server("HTTP/1.1 200 OK\r\n\r\npart of it", true);
    const auto results = fetchAll({ { server.getAddress(), "/status" } }, milliseconds(20000));
    CHECK_FALSE(results.at(0).hasResponse);
}

// Chunk headers and trailers were kept without a limit until the request timed out.
TEST(http_fetch, givesUpAnEndlessResponse)
{
    constexpr std::size_t largerThanSocketBuffers = 33554432;
    const std::string chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    for (const auto& start : { chunked + "1;", chunked + "0\r\nname: " }) {
        single_response_server server(start + std::string(largerThanSocketBuffers, 'x'));
        const auto results = fetchAll({ { server.getAddress(), "/status" } }, milliseconds(20000));
        CHECK_FALSE_TEXT(results.at(0).hasResponse, start.c_str());
        CHECK_FALSE_TEXT(server.waitForEnd(), start.c_str());
    }
}

TEST(http_fetch, returnsResultsInRequestOrder)
{
    std::vector<fetch_request> requests(200, { { "not-a-number", 1 }, "/" });
    requests.back().node = { "[::1", 1 };
    const auto results = fetchAll(requests, milliseconds(200));
    CHECK_EQUAL(200, results.size());
    STRCMP_EQUAL("not an IP address", results.back().reason.detail.c_str());
    CHECK(results.back().node == requests.back().node);
}
