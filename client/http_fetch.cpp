#include "client/http_fetch.h"

#include "core/http_status.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <memory>
#include <optional>

namespace fuchsiagauge {
namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = boost::beast::http;

    constexpr std::size_t maxConcurrentFetches = 64;
    constexpr std::uint64_t maxResponseBytes = 64ULL * 1024 * 1024;
    /// Largest part of a response that is kept until the parser can take it, such as a chunk header or a
    /// trailer.
    constexpr std::size_t maxUnparsedBytes = 131072;
    constexpr unsigned httpVersion = 11; // HTTP/1.1 in Beast's notation.

    /// Removes the brackets around an IPv6 address.
    std::string stripBrackets(const std::string& host)
    {
        const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
        return isBracketed ? host.substr(1, host.size() - 2) : host;
    }

    /// Performs one request, from connecting to receiving the complete response.
    class fetch_session : public std::enable_shared_from_this<fetch_session> {
    public:
        using completion_handler = std::function<void()>;

        fetch_session(asio::io_context& io, const fetch_request& request, fetch_result& result,
            milliseconds timeout, completion_handler onComplete)
            : m_stream(io)
            , m_result(result)
            , m_timeout(timeout)
            , m_onComplete(std::move(onComplete))
        {
            m_request.version(httpVersion);
            m_request.method(http::verb::get);
            m_request.target(request.path);
            m_request.set(http::field::host, formatAddress(request.node));
            m_request.set(http::field::connection, "close");
            m_parser.body_limit(maxResponseBytes);
        }

        void start()
        {
            beast::error_code failure;
            const auto ipAddress = asio::ip::make_address(stripBrackets(m_result.node.host), failure);
            if (failure)
                return finishWithError("not an IP address");
            m_stream.expires_after(
                std::chrono::microseconds(static_cast<long long>(m_timeout.getCount() * 1000)));
            m_stream.async_connect({ ipAddress, m_result.node.port },
                [self = shared_from_this()](beast::error_code errorCode) { self->sendRequest(errorCode); });
        }

    private:
        void sendRequest(beast::error_code errorCode)
        {
            if (errorCode)
                return finishWithError(errorCode.message());
            http::async_write(
                m_stream, m_request, [self = shared_from_this()](beast::error_code failure, std::size_t) {
                    self->readHeader(failure);
                });
        }

        void readHeader(beast::error_code errorCode)
        {
            if (errorCode)
                return finishWithError(errorCode.message());
            http::async_read_header(m_stream, m_buffer, m_parser,
                [self = shared_from_this()](
                    beast::error_code failure, std::size_t) { self->readBody(failure); });
        }

        /// Checks `content-length` first, because the parser reserves memory for a body of that length.
        void readBody(beast::error_code errorCode)
        {
            if (errorCode)
                return finishWithError(errorCode.message());
            const auto length = m_parser.content_length();
            if (length && *length > maxResponseBytes)
                return finishWithError("the response is too large");
            http::async_read(m_stream, m_buffer, m_parser,
                [self = shared_from_this()](
                    beast::error_code failure, std::size_t) { self->storeResponse(failure); });
        }

        void storeResponse(beast::error_code errorCode)
        {
            if (errorCode)
                return finishWithError(errorCode.message());
            const auto status = static_cast<int>(m_parser.get().result_int());
            if (!isHttpStatus(status))
                return finishWithError("a response with the status " + std::to_string(status));
            m_result.hasResponse = true;
            m_result.status = status;
            m_result.body = std::move(m_parser.get().body());
            m_onComplete();
        }

        void finishWithError(const std::string& detail)
        {
            m_result.reason = { error_kind::TargetUnreachable, detail };
            m_onComplete();
        }

        beast::tcp_stream m_stream;
        beast::flat_buffer m_buffer { maxUnparsedBytes };
        http::request<http::empty_body> m_request;
        http::response_parser<http::string_body> m_parser;
        fetch_result& m_result;
        milliseconds m_timeout;
        completion_handler m_onComplete;
    };

    /// Runs all requests, at most maxConcurrentFetches at the same time.
    class fetch_batch {
    public:
        fetch_batch(const std::vector<fetch_request>& requests, milliseconds timeout)
            : m_requests(requests)
            , m_timeout(timeout)
            , m_results(requests.size())
        {
        }

        std::vector<fetch_result> run()
        {
            const auto initialCount = std::min(maxConcurrentFetches, m_requests.size());
            for (std::size_t i = 0; i < initialCount; ++i)
                startNext();
            m_io.run();
            return std::move(m_results);
        }

    private:
        void startNext()
        {
            if (m_next == m_requests.size())
                return;
            const auto index = m_next++;
            m_results[index].node = m_requests[index].node;
            std::make_shared<fetch_session>(m_io, m_requests[index], m_results[index], m_timeout, [this] {
                startNext();
            })->start();
        }

        const std::vector<fetch_request>& m_requests;
        milliseconds m_timeout;
        std::vector<fetch_result> m_results;
        asio::io_context m_io { 1 };
        std::size_t m_next = 0;
    };

} // namespace

std::vector<fetch_result> fetchAll(const std::vector<fetch_request>& requests, milliseconds timeout)
{
    return fetch_batch(requests, timeout).run();
}

std::string encodePathSegment(const std::string& text)
{
    constexpr char unreserved[] = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~";
    constexpr char hexDigits[] = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        if (character != '\0' && std::string_view(unreserved).find(character) != std::string_view::npos) {
            encoded += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        encoded += { '%', hexDigits[byte >> 4], hexDigits[byte & 15] };
    }
    return encoded;
}

} // namespace fuchsiagauge
