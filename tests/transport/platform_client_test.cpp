#include "transport/platform_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

constexpr std::chrono::seconds maxWaitTime { 20 };

/// A response of the platform to the client's first read, and the result that the client must report.
struct response_case {
    const char* name;
    std::string response;
    /// Text that the failure reason must contain; empty if the document must be accepted.
    const char* failure;
    bool isReset = false; ///< Whether the connection is reset behind the response.
};

const std::vector<response_case>& getCases()
{
    static const std::vector<response_case> cases {
        { "good", "HTTP/1.1 200 OK\r\nrevision: 7\r\ncontent-length: 4\r\n\r\ntext", "" },
        { "no revision", "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ntext", "no revision" },
        { "bad revision", "HTTP/1.1 200 OK\r\nrevision: 7x\r\ncontent-length: 4\r\n\r\ntext", "no revision" },
        { "outage", "HTTP/1.1 503 Out\r\ncontent-length: 0\r\n\r\n", "503" },
        { "above the limit", "HTTP/1.1 429 Limit\r\ncontent-length: 0\r\n\r\n", "429" },
        { "without a length", "HTTP/1.1 200 OK\r\nrevision: 7\r\n\r\ntext", "" },
        { "reset without a length", "HTTP/1.1 200 OK\r\nrevision: 7\r\n\r\ntext", "answer", true },
        { "cut short", "HTTP/1.1 200 OK\r\nrevision: 7\r\ncontent-length: 40\r\n\r\ntext", "answer" },
        { "too large", "HTTP/1.1 200 OK\r\nrevision: 7\r\ncontent-length: 2000000\r\n\r\n", "answer" },
        { "garbage", "garbage\r\n\r\n", "answer" },
        { "closed", "", "answer" },
    };
    return cases;
}

} // namespace

TEST_GROUP(platform_client_responses) {};

TEST(platform_client_responses, acceptsDocumentsAndReportsFailures)
{
    using boost::asio::ip::tcp;
    for (const auto& row : getCases()) {
        boost::asio::io_context io;
        tcp::acceptor acceptor(io, { boost::asio::ip::make_address("127.0.0.1"), 0 });
        std::string request;
        std::function<void()> accept = [&] {
            acceptor.async_accept([&](const boost::system::error_code& code, tcp::socket socket) {
                if (code)
                    return;
                boost::system::error_code ignored;
                request.clear();
                boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", ignored);
                boost::asio::write(socket, boost::asio::buffer(row.response), ignored);
                if (row.isReset)
                    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
                else
                    socket.shutdown(tcp::socket::shutdown_send, ignored);
                socket.close(ignored);
                accept();
            });
        };
        accept();
        platform_client::options options;
        options.platform = { "127.0.0.1", acceptor.local_endpoint().port() };
        std::vector<std::string> documents;
        std::vector<std::string> failures;
        int permittedCalls = 1;
        platform_client::hooks hooks;
        hooks.random = [] { return 0.5; };
        hooks.tryTakeCallPermit = [&] { return permittedCalls-- > 0; };
        hooks.onContact = [] {};
        hooks.onDocument = [&](document_kind, std::uint64_t revision, const std::string& text) {
            documents.push_back(std::to_string(revision) + ' ' + text);
        };
        hooks.onFailure = [&](const std::string& reason) { failures.push_back(reason); };
        platform_client client(io, options, hooks);
        client.start();
        const auto end = std::chrono::steady_clock::now() + maxWaitTime;
        while (documents.empty() && failures.empty() && std::chrono::steady_clock::now() < end)
            io.run_one_for(std::chrono::milliseconds(50));
        client.stop();
        acceptor.close();
        // Runs the cancelled operations to completion, before the client is destroyed.
        io.run_for(maxWaitTime);
        const bool isValid = *row.failure == '\0';
        CHECK_EQUAL_TEXT(isValid ? 1U : 0U, documents.size(), row.name);
        if (isValid)
            STRCMP_EQUAL("7 text", documents[0].c_str());
        else
            CHECK_TEXT(!failures.empty() && failures[0].find(row.failure) != std::string::npos, row.name);
    }
}

// A faulty platform sends bytes without end that complete no response. Chunk headers and trailers were kept
// without a limit until the call timed out.
TEST(platform_client_responses, givesUpAnEndlessResponse)
{
    using boost::asio::ip::tcp;
    constexpr std::size_t maxSentBytes = 16777216;
    const std::string filler(16384, 'x');
    const std::string chunked = "HTTP/1.1 200 OK\r\nrevision: 7\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string& start :
        { std::string(), std::string("HTTP/1.1 200 "), std::string("HTTP/1.1 200 OK\r\nname: "),
            std::string("HTTP/1.1 200 OK\r\n\r\n"), chunked + "1;", chunked + "0\r\nname: " }) {
        boost::asio::io_context io;
        tcp::acceptor acceptor(io, { boost::asio::ip::make_address("127.0.0.1"), 0 });
        tcp::socket target(io);
        std::size_t sentBytes = 0;
        std::function<void(const boost::system::error_code&, std::size_t)> sendMore
            = [&](const boost::system::error_code& code, std::size_t count) {
                  sentBytes += count;
                  if (!code && sentBytes < maxSentBytes)
                      boost::asio::async_write(target, boost::asio::buffer(filler), sendMore);
              };
        acceptor.async_accept(target, [&](const boost::system::error_code& code) {
            if (!code)
                boost::asio::async_write(target, boost::asio::buffer(start), sendMore);
        });
        platform_client::options options;
        options.platform = { "127.0.0.1", acceptor.local_endpoint().port() };
        std::vector<std::string> failures;
        int permittedCalls = 1;
        platform_client::hooks hooks;
        hooks.random = [] { return 0.5; };
        hooks.tryTakeCallPermit = [&] { return permittedCalls-- > 0; };
        hooks.onContact = [] {};
        hooks.onDocument = [](document_kind, std::uint64_t, const std::string&) {};
        hooks.onFailure = [&](const std::string& reason) { failures.push_back(reason); };
        platform_client client(io, options, hooks);
        client.start();
        const auto end = std::chrono::steady_clock::now() + maxWaitTime;
        while (failures.empty() && sentBytes < maxSentBytes && std::chrono::steady_clock::now() < end)
            io.run_one_for(std::chrono::milliseconds(50));
        CHECK_EQUAL_TEXT(1U, failures.size(), start.c_str());
        client.stop();
        acceptor.close();
        target.close();
        // Runs the cancelled operations to completion, before the client is destroyed.
        io.run_for(maxWaitTime);
    }
}
