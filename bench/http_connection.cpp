#include "bench/http_connection.h"

#include "bench/generated_body.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>

namespace fuchsiagauge::bench {
namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = beast::http;
    using error_code = boost::system::error_code;

    constexpr std::size_t blockBytes = 32768;
    constexpr std::uint64_t maxBodyBytes = 1ULL << 40;

    std::chrono::microseconds toMicroseconds(milliseconds duration)
    {
        constexpr double microsecondsPerMillisecond = 1000;
        return std::chrono::microseconds(
            static_cast<long long>(duration.getCount() * microsecondsPerMillisecond));
    }

    http::request<http::string_body> makeRequest(const http_request& request, const address& remote)
    {
        http::request<http::string_body> result;
        result.method_string(request.method);
        result.target(request.path);
        result.version(11);
        result.set(http::field::host, formatAddress(remote));
        for (const auto& field : request.fields)
            result.insert(field.name, field.value);
        result.body() = request.body;
        result.prepare_payload();
        return result;
    }

    exchange_failure classifyReadError(const error_code& code, bool hasHead)
    {
        if (code == beast::error::timeout)
            return exchange_failure::Timeout;
        const bool isProtocolFault = code.category() == make_error_code(http::error::bad_version).category()
            && code != http::error::end_of_stream;
        if (hasHead || isProtocolFault)
            return exchange_failure::BrokenAnswer;
        return exchange_failure::ConnectionLost;
    }

} // namespace

const char* getFailureName(exchange_failure failure)
{
    switch (failure) {
    case exchange_failure::None:
        return "none";
    case exchange_failure::ConnectFailed:
        return "connect-failed";
    case exchange_failure::SendFailed:
        return "send-failed";
    case exchange_failure::Timeout:
        return "timeout";
    case exchange_failure::ConnectionLost:
        return "connection-lost";
    case exchange_failure::BrokenAnswer:
        break;
    }
    return "broken-answer";
}

struct http_connection::state {
    state(asio::io_context& context, address remoteAddress)
        : stream(context)
        , remote(std::move(remoteAddress))
    {
    }

    void readHead(http::response_parser<http::buffer_body>& parser, exchange_result& result) const
    {
        const auto& head = parser.get();
        result.response.status = static_cast<int>(head.result_int());
        for (const auto& field : head)
            result.response.fields.add(std::string(field.name_string()), std::string(field.value()));
    }

    error_code readBody(http::response_parser<http::buffer_body>& parser, exchange_result& result,
        bool keepBody, const asio::yield_context& yield)
    {
        body_digest digest;
        error_code code;
        while (!parser.is_done()) {
            parser.get().body().data = block.data();
            parser.get().body().size = block.size();
            http::async_read(stream, buffer, parser, yield[code]);
            if (code == http::error::need_buffer)
                code = {};
            if (code)
                return code;
            const auto count = block.size() - parser.get().body().size;
            digest.add(block.data(), count);
            result.bodyBytes += count;
            if (keepBody)
                result.response.body.append(block.data(), count);
        }
        result.bodyDigest = digest.format();
        return code;
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::vector<char> block = std::vector<char>(blockBytes);
    address remote;
};

http_connection::http_connection(asio::io_context& context, address remote)
    : m_state(std::make_unique<state>(context, std::move(remote)))
{
}

http_connection::~http_connection() = default;

bool http_connection::connect(milliseconds timeout, const asio::yield_context& yield)
{
    error_code code;
    const auto host = asio::ip::make_address(m_state->remote.host, code);
    if (code)
        return false;
    m_state->stream.expires_after(toMicroseconds(timeout));
    m_state->stream.async_connect(asio::ip::tcp::endpoint(host, m_state->remote.port), yield[code]);
    if (code) {
        close();
        return false;
    }
    m_state->stream.socket().set_option(asio::ip::tcp::no_delay(true), code);
    return true;
}

bool http_connection::isIdle() const
{
    auto& socket = m_state->stream.socket();
    if (!socket.is_open() || m_state->buffer.size() > 0)
        return false;
    error_code code;
    socket.non_blocking(true, code);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, code);
    return code == asio::error::would_block;
}

exchange_result http_connection::exchange(
    const http_request& request, milliseconds timeout, bool keepBody, const asio::yield_context& yield)
{
    exchange_result result;
    error_code code;
    m_state->stream.expires_after(toMicroseconds(timeout));
    auto message = makeRequest(request, m_state->remote);
    http::async_write(m_state->stream, message, yield[code]);
    if (code) {
        result.failure
            = code == beast::error::timeout ? exchange_failure::Timeout : exchange_failure::SendFailed;
        close();
        return result;
    }
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(maxBodyBytes);
    parser.skip(request.method == "HEAD");
    http::async_read_header(m_state->stream, m_state->buffer, parser, yield[code]);
    const bool hasHead = !code;
    if (hasHead) {
        m_state->readHead(parser, result);
        code = m_state->readBody(parser, result, keepBody, yield);
    }
    if (code) {
        result.failure = classifyReadError(code, hasHead);
        close();
        return result;
    }
    m_state->stream.expires_never();
    result.isReusable = parser.get().keep_alive() && m_state->buffer.size() == 0;
    if (!result.isReusable)
        close();
    return result;
}

void http_connection::close()
{
    error_code code;
    m_state->stream.socket().close(code);
}

} // namespace fuchsiagauge::bench
