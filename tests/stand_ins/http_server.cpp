#include "tests/stand_ins/http_server.h"

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <sstream>

namespace fuchsiagauge::stand_in {
namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = beast::http;
    using error_code = boost::system::error_code;
    using tcp = asio::ip::tcp;

    constexpr std::size_t blockBytes = 65536;
    constexpr std::uint64_t maxRequestBytes = 128ULL << 20;

    std::string formatHead(const bench::http_response& response, std::uint64_t contentLength)
    {
        http::response<http::empty_body> head;
        head.version(11);
        head.result(static_cast<unsigned>(response.status));
        for (const auto& field : response.fields)
            head.insert(field.name, field.value);
        const bool hasNoBody = response.status == 304 || response.status == 204;
        if (!hasNoBody)
            head.set(http::field::content_length, std::to_string(contentLength));
        std::ostringstream out;
        out << head.base();
        return out.str();
    }

    bench::http_request toHttpRequest(http::request<http::string_body>&& message)
    {
        bench::http_request request;
        request.method = std::string(message.method_string());
        request.path = std::string(message.target());
        for (const auto& field : message)
            request.fields.add(std::string(field.name_string()), std::string(field.value()));
        request.body = std::move(message.body());
        return request;
    }

} // namespace

struct http_exchange::connection : std::enable_shared_from_this<connection> {
    connection(tcp::socket accepted, http_handler requestHandler)
        : socket(std::move(accepted))
        , handler(std::move(requestHandler))
    {
    }

    /// Detects that the caller closes the connection while its request is being served.
    void watchForDisconnect()
    {
        socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& code) {
            if (code || !self->current)
                return;
            error_code peekCode;
            char byte = 0;
            self->socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, peekCode);
            if (peekCode && peekCode != asio::error::would_block)
                self->current->reportDisconnect();
        });
    }

    void stopWatching()
    {
        if (!isWatching)
            return;
        isWatching = false;
        error_code code;
        socket.cancel(code);
    }

    void serve(bench::http_request request, const asio::yield_context& yield)
    {
        http_exchange exchange(*this, std::move(request));
        current = &exchange;
        isWatching = true;
        watchForDisconnect();
        handler(exchange, yield);
        stopWatching();
        current = nullptr;
    }

    void run(const asio::yield_context& yield)
    {
        error_code code;
        socket.set_option(tcp::no_delay(true), code);
        socket.non_blocking(true, code);
        while (!isClosing) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(maxRequestBytes);
            http::async_read(socket, buffer, parser, yield[code]);
            if (code)
                return;
            isClosing = !parser.get().keep_alive();
            serve(toHttpRequest(parser.release()), yield);
        }
    }

    tcp::socket socket;
    beast::flat_buffer buffer;
    http_handler handler;
    http_exchange* current = nullptr;
    bool isWatching = false;
    bool isClosing = false;
};

http_exchange::http_exchange(connection& owner, bench::http_request request)
    : m_owner(owner)
    , m_request(std::move(request))
{
}

void http_exchange::send(const bench::http_response& response, const asio::yield_context& yield)
{
    const bool isHead = m_request.method == "HEAD";
    auto bytes = formatHead(response, response.body.size());
    if (!isHead)
        bytes += response.body;
    sendRaw(bytes, yield);
}

void http_exchange::sendStream(const bench::http_response& head, std::uint64_t contentLength,
    std::uint64_t sentBytes, const body_source& source, const asio::yield_context& yield)
{
    auto bytes = formatHead(head, contentLength);
    if (m_request.method == "HEAD")
        return sendRaw(bytes, yield);
    std::uint64_t offset = 0;
    do {
        const auto count = std::min<std::uint64_t>(blockBytes, sentBytes - offset);
        const auto headBytes = bytes.size();
        bytes.resize(headBytes + count);
        source(offset, bytes.data() + headBytes, count);
        sendRaw(bytes, yield);
        bytes.clear();
        offset += count;
    } while (offset < sentBytes && !m_isCallerDisconnected);
}

void http_exchange::sendRaw(const std::string& bytes, const asio::yield_context& yield)
{
    m_owner.stopWatching();
    error_code code;
    asio::async_write(m_owner.socket, asio::buffer(bytes), yield[code]);
    if (!code)
        return;
    m_isCallerDisconnected = true;
    m_owner.isClosing = true;
}

void http_exchange::closeAfterExchange() { m_owner.isClosing = true; }

void http_exchange::reportDisconnect()
{
    m_isCallerDisconnected = true;
    m_owner.isClosing = true;
    if (m_disconnectHook)
        m_disconnectHook();
}

void serveHttp(asio::io_context& context, const address& listen, http_handler handler)
{
    const tcp::endpoint endpoint(asio::ip::make_address(listen.host), listen.port);
    auto acceptor = std::make_shared<tcp::acceptor>(context, endpoint);
    asio::spawn(
        context, [acceptor, &context, handler = std::move(handler)](const asio::yield_context& yield) {
            while (true) {
                error_code code;
                tcp::socket socket(context);
                acceptor->async_accept(socket, yield[code]);
                if (code)
                    continue;
                auto owner = std::make_shared<http_exchange::connection>(std::move(socket), handler);
                asio::spawn(context,
                    [owner](const asio::yield_context& connectionYield) { owner->run(connectionYield); });
            }
        });
}

} // namespace fuchsiagauge::stand_in
