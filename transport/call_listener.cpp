#include "transport/call_listener.h"

#include "transport/beast_types.h"
#include "transport/coroutine.h"
#include "transport/http_connection.h"
#include "transport/lingering_close.h"
#include "transport/socket_options.h"

#include <algorithm>
#include <array>
#include <set>

namespace fuchsiagauge {
namespace {

    constexpr milliseconds idleTimeout { 60000 };
    constexpr milliseconds bodyTimeout { 30000 };
    constexpr milliseconds writeTimeout { 30000 };
    constexpr milliseconds lingerCheckInterval { 20 };

    using request_parser = http::request_parser<http::string_body>;

} // namespace

class call_session;

struct call_listener::state {
    state(asio::io_context& ioContext, listener_limits listenerLimits, call_hook hook)
        : io(ioContext)
        , limits(listenerLimits)
        , onCall(std::move(hook))
        , acceptor(ioContext)
    {
    }

    asio::io_context& io;
    listener_limits limits;
    call_hook onCall;
    asio::ip::tcp::acceptor acceptor;
    std::set<call_session*> sessions;
    std::size_t openCallCount = 0;
    bool isStopping = false;
};

/// Serves the calls of one incoming connection.
class call_session : public response_writer, public std::enable_shared_from_this<call_session> {
public:
    call_session(asio::ip::tcp::socket socket, std::shared_ptr<call_listener::state> owner)
        : m_stream(std::move(socket))
        , m_owner(std::move(owner))
        , m_buffer(m_owner->limits.headerBytes + maxUnparsedBytes)
    {
        m_buffer.reserve(readBufferBytes);
        m_owner->sessions.insert(this);
    }

    ~call_session() override { m_owner->sessions.erase(this); }
    call_session(const call_session&) = delete;
    call_session& operator=(const call_session&) = delete;

    void run(asio::yield_context yield)
    {
        boost::system::error_code ignored;
        m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        while (serveRequest(yield)) { }
        m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        waitForCaller(yield);
    }

    /// Ends the connection, unless it is serving a call. One whose caller has not received its last response
    /// stays open until it has.
    void closeIfIdle()
    {
        if (m_isServing || m_isLingering)
            return;
        if (countUnacknowledgedBytes(m_stream.socket()) == 0)
            m_stream.close();
        else
            m_stream.cancel();
    }

    bool isLingering() const { return m_isLingering; }

    bool sendComplete(const response_head& head, const std::string& body, asio::yield_context yield) override
    {
        http::response<http::string_body> message;
        prepareHead(head, message);
        message.body() = m_isHeadRequest ? std::string() : body;
        const bool mayHaveBody = head.status != 204 && head.status != 304 && head.status >= 200;
        if (mayHaveBody)
            message.content_length(m_isHeadRequest ? head.contentLength.value_or(body.size()) : body.size());
        boost::system::error_code code;
        m_stream.expires_after(toChrono(writeTimeout));
        if (m_isHeadRequest) {
            http::response_serializer<http::string_body> serializer(message);
            http::async_write_header(m_stream, serializer, yield[code]);
        } else {
            http::async_write(m_stream, message, yield[code]);
        }
        m_isFinished = !code;
        return m_isFinished;
    }

    bool start(const response_head& head, asio::yield_context yield) override
    {
        m_streamedResponse.emplace();
        prepareHead(head, *m_streamedResponse);
        if (head.contentLength)
            m_streamedResponse->content_length(*head.contentLength);
        else
            m_streamedResponse->chunked(true);
        m_streamedResponse->body().data = nullptr;
        m_streamedResponse->body().more = true;
        m_serializer.emplace(*m_streamedResponse);
        boost::system::error_code code;
        m_stream.expires_after(toChrono(writeTimeout));
        http::async_write_header(m_stream, *m_serializer, yield[code]);
        return !code;
    }

    bool write(const char* data, std::size_t size, asio::yield_context yield) override
    {
        if (m_isHeadRequest)
            return true;
        auto& body = m_streamedResponse->body();
        body.data = const_cast<char*>(data);
        body.size = size;
        body.more = true;
        return writeBody(yield);
    }

    bool finish(asio::yield_context yield) override
    {
        auto& body = m_streamedResponse->body();
        body.data = nullptr;
        body.size = 0;
        body.more = false;
        m_isFinished = writeBody(yield);
        return m_isFinished;
    }

    void abort() override
    {
        m_stream.close();
        m_isClosed = true;
    }

    bool isStarted() const override { return m_isStarted; }
    bool isClosed() const override { return m_isClosed; }
    void setDisconnectHook(std::function<void()> hook) override { m_onDisconnect = std::move(hook); }

private:
    template <typename Message> void prepareHead(const response_head& head, Message& message)
    {
        m_isStarted = true;
        message.version(m_version);
        message.result(static_cast<unsigned>(head.status));
        insertFields(head.fields, message);
        message.keep_alive(m_isKeepAlive && !m_owner->isStopping);
        m_isKeepAlive = m_isKeepAlive && !m_owner->isStopping;
    }

    bool writeBody(asio::yield_context yield)
    {
        boost::system::error_code code;
        m_stream.expires_after(toChrono(writeTimeout));
        http::async_write(m_stream, *m_serializer, yield[code]);
        if (code == http::error::need_buffer)
            code = {};
        return !code;
    }

    /// Discards what the caller still sends until it closes the connection, as a request that was sent behind
    /// the last response would otherwise reset the connection and discard that response.
    void waitForCaller(asio::yield_context yield)
    {
        auto& socket = m_stream.socket();
        boost::system::error_code code;
        socket.non_blocking(true, code);
        if (code)
            return;
        const auto time = clock::makeSteady();
        lingering_close lingering;
        lingering.begin(time.now());
        m_isLingering = true;
        while (discardReceived()
            && !lingering.isOver(countUnacknowledgedBytes(socket), writeTimeout, time.now()))
            sleepFor(m_owner->io, lingerCheckInterval, yield);
        m_isLingering = false;
    }

    /// @return whether the caller may send more.
    bool discardReceived()
    {
        constexpr int maxReads = 16; // A caller that keeps sending must not hold up the others.
        std::array<char, readBufferBytes> discarded {};
        boost::system::error_code code;
        for (int reads = 0; !code && reads < maxReads; ++reads)
            m_stream.socket().read_some(asio::buffer(discarded), code);
        return !code || code == asio::error::would_block || code == asio::error::try_again;
    }

    /// Reads one request and serves it.
    /// @return whether the connection can serve another call.
    bool serveRequest(asio::yield_context yield)
    {
        resetCall();
        call_request request;
        if (!readRequest(request, yield))
            return false;
        m_isServing = true;
        ++m_owner->openCallCount;
        watchForDisconnect();
        m_owner->onCall(request, *this, yield);
        stopWatching();
        --m_owner->openCallCount;
        m_isServing = false;
        return m_isFinished && m_isKeepAlive && !m_owner->isStopping;
    }

    void resetCall()
    {
        m_isStarted = false;
        m_isFinished = false;
        m_onDisconnect = nullptr;
        m_serializer.reset();
        m_streamedResponse.reset();
    }

    bool readRequest(call_request& request, asio::yield_context yield)
    {
        request_parser parser;
        parser.header_limit(static_cast<std::uint32_t>(m_owner->limits.headerBytes));
        parser.body_limit(m_owner->limits.bodyBytes);
        boost::system::error_code code;
        m_stream.expires_after(toChrono(idleTimeout));
        http::async_read_header(m_stream, m_buffer, parser, yield[code]);
        if (code)
            return rejectRequest(code, yield);
        const auto& message = parser.get();
        m_version = message.version();
        m_isKeepAlive = message.keep_alive();
        m_isHeadRequest = message.method() == http::verb::head;
        if (beast::iequals(message[http::field::expect], "100-continue"))
            sendContinue(yield);
        m_stream.expires_after(toChrono(bodyTimeout));
        http::async_read(m_stream, m_buffer, parser, yield[code]);
        if (code)
            return rejectRequest(code, yield);
        m_stream.expires_never();
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        request.fields = copyFields(message);
        request.body = std::move(parser.get().body());
        return true;
    }

    void sendContinue(asio::yield_context yield)
    {
        http::response<http::empty_body> message(http::status::continue_, m_version);
        boost::system::error_code code;
        http::async_write(m_stream, message, yield[code]);
    }

    /// Responds to a request that could not be parsed. The connection is closed afterwards; if it was lost or
    /// timed out, no response is sent.
    /// @return false, since the connection can't serve another call.
    bool rejectRequest(const boost::system::error_code& code, asio::yield_context yield)
    {
        const bool isConnectionFailure = code == http::error::end_of_stream || code == beast::error::timeout
            || code.category() != http::make_error_code(http::error::bad_method).category();
        if (isConnectionFailure)
            return false;
        m_isKeepAlive = false;
        m_isHeadRequest = false;
        auto kind = error_kind::BadRequest;
        if (code == http::error::header_limit)
            kind = error_kind::HeaderTooLarge;
        if (code == http::error::body_limit)
            kind = error_kind::BodyTooLarge;
        sendErrorResponse(*this, kind, code.message(), {}, yield);
        return false;
    }

    /// Detects a caller that closes its connection while its call is being served.
    void watchForDisconnect()
    {
        const auto watched = ++m_watchNumber;
        m_stream.socket().async_wait(asio::ip::tcp::socket::wait_read,
            [self = shared_from_this(), watched](const boost::system::error_code& code) {
                if (code || watched != self->m_watchNumber || !self->m_stream.socket().is_open())
                    return;
                char byte = 0;
                const auto count
                    = ::recv(self->m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
                if (count > 0)
                    return;
                self->m_isClosed = true;
                if (self->m_onDisconnect)
                    self->m_onDisconnect();
            });
    }

    void stopWatching()
    {
        ++m_watchNumber;
        m_onDisconnect = nullptr;
        boost::system::error_code ignored;
        m_stream.socket().cancel(ignored);
    }

    beast::tcp_stream m_stream;
    std::shared_ptr<call_listener::state> m_owner;
    beast::flat_buffer m_buffer;
    std::function<void()> m_onDisconnect;
    std::optional<http::response<http::buffer_body>> m_streamedResponse;
    std::optional<http::response_serializer<http::buffer_body>> m_serializer;
    unsigned m_version = 11;
    std::uint64_t m_watchNumber = 0;
    bool m_isKeepAlive = false;
    bool m_isHeadRequest = false;
    bool m_isServing = false;
    bool m_isLingering = false; ///< Waits for the caller to close the connection.
    bool m_isStarted = false;
    bool m_isFinished = false;
    bool m_isClosed = false;
};

namespace {

    void acceptConnections(const std::shared_ptr<call_listener::state>& owner, asio::yield_context yield)
    {
        constexpr milliseconds retryDelay { 20 };
        while (!owner->isStopping) {
            boost::system::error_code code;
            asio::ip::tcp::socket socket(owner->io);
            owner->acceptor.async_accept(socket, yield[code]);
            if (code == asio::error::operation_aborted)
                return;
            if (code) {
                sleepFor(owner->io, retryDelay, yield);
                continue;
            }
            if (owner->sessions.size() >= owner->limits.connections)
                continue;
            auto session = std::make_shared<call_session>(std::move(socket), owner);
            startCoroutine(owner->io, [session](asio::yield_context inner) { session->run(inner); });
        }
    }

} // namespace

call_listener::call_listener(asio::io_context& io, listener_limits limits, call_hook onCall)
    : m_state(std::make_shared<state>(io, limits, std::move(onCall)))
{
}

call_listener::~call_listener() = default;

std::optional<address> call_listener::open(const address& local)
{
    boost::system::error_code code;
    const auto host = asio::ip::make_address(local.host, code);
    if (code)
        return fail(error_kind::BadSettings, "not an IP address: " + local.host);
    const asio::ip::tcp::endpoint endpoint(host, local.port);
    auto& acceptor = m_state->acceptor;
    try {
        acceptor.open(endpoint.protocol());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen(asio::socket_base::max_listen_connections);
    } catch (const boost::system::system_error& failure) {
        return fail(
            error_kind::BadSettings, "can't listen on " + formatAddress(local) + ": " + failure.what());
    }
    startCoroutine(
        m_state->io, [owner = m_state](asio::yield_context yield) { acceptConnections(owner, yield); });
    return address { local.host, acceptor.local_endpoint().port() };
}

void call_listener::stop()
{
    m_state->isStopping = true;
    boost::system::error_code ignored;
    m_state->acceptor.close(ignored);
    for (auto* session : m_state->sessions)
        session->closeIfIdle();
}

bool call_listener::isLingering() const
{
    const auto& sessions = m_state->sessions;
    return std::any_of(
        sessions.begin(), sessions.end(), [](const auto* session) { return session->isLingering(); });
}

std::size_t call_listener::getOpenCallCount() const { return m_state->openCallCount; }

} // namespace fuchsiagauge
