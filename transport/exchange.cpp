#include "transport/exchange.h"

#include "core/http_status.h"
#include "transport/connection_pool.h"
#include "transport/coroutine.h"
#include "transport/http_connection.h"
#include "transport/socket_options.h"

#include <limits>

namespace fuchsiagauge {
namespace {

    constexpr std::uint32_t maxResponseHeaderBytes = 65536;
    constexpr std::size_t maxResponseFields = 1000;

    /// Limits the number of header fields, as many short ones take many times the bytes that were received.
    class limited_parser : public http::response_parser<http::buffer_body> {
        void on_field_impl(http::field name, beast::string_view nameText, beast::string_view value,
            boost::system::error_code& code) override
        {
            if (++m_fieldCount > maxResponseFields)
                code = http::error::header_limit;
            else
                get().insert(name, nameText, value);
        }

        std::size_t m_fieldCount = 0;
    };

    error_kind classifyFailure(const boost::system::error_code& code)
    {
        if (code == beast::error::timeout)
            return error_kind::AnswerTimeout;
        if (code == http::error::end_of_stream
            || code.category() != http::make_error_code(http::error::bad_method).category())
            return error_kind::ConnectionLost;
        return error_kind::BrokenAnswer;
    }

    bool isInterim(http::status status)
    {
        return http::to_status_class(status) == http::status_class::informational
            && status != http::status::switching_protocols;
    }

} // namespace

struct exchange::state {
    std::shared_ptr<connection_pool> pool;
    std::unique_ptr<http_connection> connection;
    std::optional<limited_parser> parser;
    boost::system::error_code sendError; ///< Why the rest of the request can't be sent.
    bool mayHaveArrived = false;
    bool isCancelled = false;
    bool isDone = false;

    std::nullopt_t failExchange(const boost::system::error_code& code)
    {
        const auto kind = isCancelled ? error_kind::Cancelled : classifyFailure(code);
        connection.reset();
        return fail(kind,
            formatAddress(pool->getRemote()) + ": "
                + (sendError ? "send: " + sendError.message() : code.message()));
    }

    bool sendRequest(const call_request& request, boost::asio::yield_context yield)
    {
        http::request<http::string_body> message;
        message.method_string(request.method);
        message.target(request.target);
        insertFields(request.fields, message);
        message.body() = request.body;
        if (!request.body.empty() || request.method == "POST" || request.method == "PUT")
            message.content_length(request.body.size());
        mayHaveArrived = true;
        boost::system::error_code code;
        const auto sentBytes = http::async_write(connection->stream, message, yield[code]);
        // The remote side may have responded before it ended the connection.
        if (sentBytes > 0 && (code == asio::error::connection_reset || code == asio::error::broken_pipe)) {
            sendError = code;
            return true;
        }
        if (code)
            failExchange(code);
        return !code;
    }

    void prepareParser(bool isHeadRequest)
    {
        parser.emplace();
        parser->header_limit(maxResponseHeaderBytes);
        parser->body_limit(std::numeric_limits<std::uint64_t>::max());
        parser->skip(isHeadRequest);
    }

    void finish()
    {
        isDone = true;
        if (parser->get().keep_alive() && !sendError)
            pool->release(std::move(connection));
        connection.reset();
    }
};

exchange::exchange(std::shared_ptr<connection_pool> pool)
    : m_state(std::make_unique<state>())
{
    m_state->pool = std::move(pool);
}

exchange::~exchange() = default;

std::optional<response_head> exchange::start(const call_request& request, milliseconds connectTimeout,
    milliseconds timeout, boost::asio::yield_context yield)
{
    auto& self = *m_state;
    self.connection = self.pool->acquire(connectTimeout, yield);
    if (!self.connection)
        return std::nullopt;
    if (self.isCancelled)
        return fail(error_kind::Cancelled, "given up before it was sent");
    setTimeout(timeout);
    if (!self.sendRequest(request, yield))
        return std::nullopt;
    boost::system::error_code code;
    do {
        self.prepareParser(request.method == "HEAD");
        http::async_read_header(self.connection->stream, self.connection->buffer, *self.parser, yield[code]);
        if (!code && !isHttpStatus(static_cast<int>(self.parser->get().result_int())))
            code = http::error::bad_status;
    } while (!code && isInterim(self.parser->get().result()));
    // Behind a failed send, a body that ends with the stream can't be told from a part of one.
    if (!code && self.parser->need_eof() && !isOrderlyEnd(asio::error::eof, self.sendError))
        code = http::error::partial_message;
    if (code)
        return self.failExchange(code);
    response_head head;
    head.status = static_cast<int>(self.parser->get().result_int());
    head.fields = copyFields(self.parser->get());
    if (const auto length = self.parser->content_length())
        head.contentLength = *length;
    else if (self.parser->is_done())
        head.contentLength = 0;
    if (request.method == "HEAD" || self.parser->is_done())
        self.finish();
    return head;
}

std::optional<std::size_t> exchange::readSome(char* data, std::size_t size, boost::asio::yield_context yield)
{
    auto& self = *m_state;
    if (self.isDone)
        return 0;
    if (!self.connection)
        return fail(error_kind::Cancelled, "the exchange was given up");
    auto& body = self.parser->get().body();
    body.data = data;
    body.size = size;
    boost::system::error_code code;
    http::async_read_some(self.connection->stream, self.connection->buffer, *self.parser, yield[code]);
    if (code && code != http::error::need_buffer)
        return self.failExchange(code);
    const auto count = size - body.size;
    if (self.parser->is_done())
        self.finish();
    if (count == 0 && !self.isDone)
        return readSome(data, size, yield);
    return count;
}

void exchange::setTimeout(milliseconds timeout)
{
    if (m_state->connection)
        m_state->connection->stream.expires_after(toChrono(timeout));
}

void exchange::cancel()
{
    m_state->isCancelled = true;
    if (m_state->connection)
        m_state->connection->stream.close();
}

bool exchange::mayHaveArrived() const { return m_state->mayHaveArrived; }

} // namespace fuchsiagauge
