#include "transport/http_server.h"

#include "core/error.h"
#include "transport/message_parser.h"
#include "transport/message_text.h"
#include "transport/socket_options.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <deque>
#include <unordered_set>
#include <vector>

namespace fuchsiagauge {
namespace {

    namespace asio = boost::asio;
    using tcp = asio::ip::tcp;
    using request_parser = message_parser<true>;

    constexpr std::size_t readBufferBytes = 8192;
    /// Requests in progress on one connection. Further ones are not read until a response has been sent.
    constexpr std::size_t maxPipelinedRequests = 16;
    /// Responses buffered for a slow client. Above this, no further requests are read from its connection.
    constexpr std::size_t maxUnsentBytes = 1048576;
    constexpr int badRequestStatus = 400;
    constexpr int bodyTooLargeStatus = 413;
    constexpr int headerTooLargeStatus = 431;

    class connection;

} // namespace

struct http_server::state : std::enable_shared_from_this<http_server::state> {
    state(asio::io_context& context, clock source, std::size_t connectionLimit, call_hook hook)
        : io(context)
        , acceptor(context)
        , retryTimer(context)
        , time(std::move(source))
        , maxConnections(connectionLimit)
        , onCall(std::move(hook))
    {
    }

    void accept();
    void pauseAccepting();

    asio::io_context& io;
    tcp::acceptor acceptor;
    asio::steady_timer retryTimer;
    clock time;
    std::size_t maxConnections;
    call_hook onCall;
    client_limits limits;
    milliseconds sendTimeout = defaultSendTimeout;
    std::shared_ptr<receive_memory> memory;
    bool isClosing = false;
    std::size_t openCallCount = 0;
    std::unordered_set<std::shared_ptr<connection>> connections;
};

namespace {

    /// One accepted connection. Parses requests and sends their responses in the same order.
    class connection : public std::enable_shared_from_this<connection> {
    public:
        connection(tcp::socket accepted, std::shared_ptr<http_server::state> owner)
            : m_socket(std::move(accepted))
            , m_owner(std::move(owner))
            , m_lastActiveAt(m_owner->time.now())
        {
            resetParser();
        }

        void start()
        {
            configureSocket(m_socket, m_owner->sendTimeout);
            read();
        }

        /// Closes the connection if it has exceeded the idle timeout or, within a request, the header
        /// timeout.
        void checkTimeouts(milliseconds now)
        {
            if (!m_calls.empty() || !m_unsent.empty())
                return;
            const bool isReceiving = m_parser->got_some();
            const auto limit = isReceiving ? m_owner->limits.headerTimeout : m_owner->limits.idleTimeout;
            if (now - m_lastActiveAt > limit)
                close();
        }

        /// Applies changed limits to the next request, unless a part of it has arrived.
        void applyLimits()
        {
            if (!m_parser->got_some() && m_unparsed.empty())
                resetParser();
        }

        /// @return whether no request is in progress or partly received and no response partly sent.
        bool isQuiet() const
        {
            return m_calls.empty() && m_unsent.empty() && m_unparsed.empty() && !m_parser->got_some();
        }

        /// Shuts down the sending direction and waits for the client before closing the connection, so that a
        /// connection reset does not discard data that was sent.
        void shutDownSending()
        {
            m_hasStoppedReading = true;
            m_isShutDown = true;
            boost::system::error_code code;
            m_socket.shutdown(tcp::socket::shutdown_send, code);
            if (m_isReading)
                return;
            m_isReading = true;
            m_socket.async_read_some(asio::buffer(m_readBuffer),
                [self = shared_from_this()](
                    const boost::system::error_code&, std::size_t) { self->close(); });
        }

        void close()
        {
            if (m_isClosed)
                return;
            m_isClosed = true;
            const auto self = shared_from_this();
            boost::system::error_code code;
            m_socket.close(code);
            m_owner->openCallCount -= m_calls.size();
            auto calls = std::move(m_calls);
            m_calls.clear();
            m_unsent.clear();
            accountForResponses();
            for (const auto& call : calls)
                call->handleDisconnect();
            m_owner->connections.erase(self);
        }

    private:
        void resetParser()
        {
            m_parser
                = std::make_unique<request_parser>(m_owner->limits.headerBytes, m_owner->limits.bodyBytes);
        }

        void read()
        {
            if (m_isReading || m_isClosed)
                return;
            const bool isFull = m_calls.size() >= maxPipelinedRequests || m_unsent.size() > maxUnsentBytes;
            if (isFull && !m_hasStoppedReading)
                return;
            m_isReading = true;
            m_socket.async_read_some(asio::buffer(m_readBuffer),
                [self = shared_from_this()](const boost::system::error_code& code, std::size_t count) {
                    self->m_isReading = false;
                    self->onRead(code, count);
                });
        }

        void onRead(const boost::system::error_code& code, std::size_t count)
        {
            if (m_isClosed)
                return;
            if (code) {
                close();
                return;
            }
            if (m_hasStoppedReading) {
                // Reads on only to notice when the client disconnects.
                if (m_isShutDown)
                    close();
                else
                    read();
                return;
            }
            m_lastActiveAt = m_owner->time.now();
            if (m_unparsed.empty()) {
                const auto used = parse(m_readBuffer.data(), count);
                m_unparsed.assign(m_readBuffer.data() + used, count - used);
            } else {
                m_unparsed.append(m_readBuffer.data(), count);
                parseBuffered();
            }
            read();
        }

        void parseBuffered()
        {
            const auto used = parse(m_unparsed.data(), m_unparsed.size());
            m_unparsed.erase(0, used);
        }

        /// @return the number of bytes that were consumed.
        std::size_t parse(const char* data, std::size_t size)
        {
            std::size_t used = 0;
            while (
                used < size && !m_isClosed && !m_hasStoppedReading && m_calls.size() < maxPipelinedRequests) {
                boost::system::error_code code;
                const auto count = m_parser->put(asio::buffer(data + used, size - used), code);
                used += count;
                if (code && code != boost::beast::http::error::need_more) {
                    rejectRequest(code);
                    return size;
                }
                if (m_parser->is_done()) {
                    dispatchRequest();
                    continue;
                }
                if (m_parser->is_header_done())
                    sendContinue();
                if (code == boost::beast::http::error::need_more || count == 0)
                    break;
            }
            return used;
        }

        /// Sends `100 Continue` to a client that waits for it before sending its body, unless responses to
        /// earlier requests are still due.
        void sendContinue()
        {
            const bool isClientWaiting = m_parser->expectsContinue && m_calls.empty() && m_unsent.empty();
            if (!isClientWaiting)
                return;
            m_parser->expectsContinue = false;
            send("HTTP/1.1 100 Continue\r\n\r\n");
        }

        void rejectRequest(const boost::system::error_code& code)
        {
            m_hasStoppedReading = true;
            response_head head;
            head.status = badRequestStatus;
            if (code == boost::beast::http::error::header_limit)
                head.status = headerTooLargeStatus;
            else if (code == boost::beast::http::error::body_limit)
                head.status = bodyTooLargeStatus;
            const auto call = addCall({});
            call->respond(head, code.message() + "\n");
        }

        void dispatchRequest()
        {
            m_hasStoppedReading = !m_parser->keep_alive();
            call_request request;
            request.method = std::move(m_parser->method);
            request.target = std::move(m_parser->target);
            request.fields = std::move(m_parser->fields);
            request.body = std::move(m_parser->body);
            resetParser();
            const auto call = addCall(std::move(request));
            m_owner->onCall(call);
        }

        std::shared_ptr<incoming_call> addCall(call_request request)
        {
            auto call = std::make_shared<incoming_call>(
                std::move(request), m_owner->time.now(), [weak = weak_from_this()] {
                    if (const auto self = weak.lock())
                        self->sendReadyResponses();
                });
            m_calls.push_back(call);
            ++m_owner->openCallCount;
            return call;
        }

        /// Sends the responses that are ready, up to the first request that still has none.
        void sendReadyResponses()
        {
            std::string text;
            bool isLast = false;
            while (!m_isClosed && !isLast && !m_calls.empty() && m_calls.front()->isReady()) {
                const auto call = std::move(m_calls.front());
                m_calls.pop_front();
                --m_owner->openCallCount;
                if (call->isDropped()) {
                    isLast = true;
                    break;
                }
                isLast = m_calls.empty() && (m_hasStoppedReading || m_owner->isClosing);
                text += formatResponse(call->getResponseHead(), call->getResponseBody(),
                    { call->getRequest().method == "HEAD", isLast });
            }
            m_closesAfterSend = m_closesAfterSend || isLast;
            m_lastActiveAt = m_owner->time.now();
            send(text);
            accountForResponses();
        }

        /// Updates the memory of the responses that the client has not read: unsent ones, and those that wait
        /// for the response to an earlier request.
        void accountForResponses()
        {
            const auto& memory = m_owner->memory;
            if (!memory)
                return;
            auto bytes = m_unsent.size();
            for (const auto& call : m_calls)
                bytes += call->getResponseBody().size();
            memory->hold(m_heldBytes, bytes);
            m_heldBytes = bytes;
        }

        void send(const std::string& text)
        {
            if (m_isClosed)
                return;
            boost::system::error_code code;
            std::size_t written = 0;
            if (m_unsent.empty() && !text.empty())
                written = writeNonBlocking(m_socket, text.data(), text.size(), code);
            if (code) {
                postClose();
                return;
            }
            const bool wasSending = !m_unsent.empty();
            m_unsent.append(text, written, std::string::npos);
            if (m_unsent.empty())
                onSent();
            else if (!wasSending)
                waitUntilWritable();
        }

        void waitUntilWritable()
        {
            m_socket.async_wait(
                tcp::socket::wait_write, [self = shared_from_this()](const boost::system::error_code& code) {
                    if (!self->m_isClosed)
                        self->onWritable(code);
                });
        }

        void onWritable(boost::system::error_code code)
        {
            if (!code)
                m_unsent.erase(0, writeNonBlocking(m_socket, m_unsent.data(), m_unsent.size(), code));
            if (code) {
                close();
                return;
            }
            m_lastActiveAt = m_owner->time.now();
            accountForResponses();
            if (m_unsent.empty())
                onSent();
            else
                waitUntilWritable();
        }

        void onSent()
        {
            if (m_closesAfterSend) {
                shutDownSending();
                return;
            }
            if (m_isReading || m_isResumePosted)
                return;
            m_isResumePosted = true;
            asio::post(m_owner->io, [self = shared_from_this()] { self->resumeReading(); });
        }

        /// Continues parsing and reading requests after responses have been sent.
        void resumeReading()
        {
            m_isResumePosted = false;
            if (m_isClosed)
                return;
            if (!m_unparsed.empty())
                parseBuffered();
            read();
        }

        void postClose()
        {
            asio::post(m_owner->io, [self = shared_from_this()] { self->close(); });
        }

        tcp::socket m_socket;
        std::shared_ptr<http_server::state> m_owner;
        std::unique_ptr<request_parser> m_parser;
        std::array<char, readBufferBytes> m_readBuffer;
        /// Bytes that were read but not parsed yet: an incomplete message, or too many requests are in
        /// progress.
        std::string m_unparsed;
        std::string m_unsent;
        std::deque<std::shared_ptr<incoming_call>> m_calls; ///< Requests in progress, in order of arrival.
        std::size_t m_heldBytes = 0; ///< Accounted for in `receive_memory`.
        milliseconds m_lastActiveAt;
        bool m_isReading = false;
        bool m_isResumePosted = false;
        bool m_hasStoppedReading = false; ///< No further requests are read from this connection.
        bool m_isShutDown = false; ///< Nothing more is sent.
        bool m_closesAfterSend = false;
        bool m_isClosed = false;
    };

} // namespace

void http_server::state::accept()
{
    acceptor.async_accept(
        [self = shared_from_this()](const boost::system::error_code& code, tcp::socket socket) {
            if (!self->acceptor.is_open())
                return;
            if (code) {
                self->pauseAccepting();
                return;
            }
            const auto accepted = std::make_shared<connection>(std::move(socket), self);
            self->connections.insert(accepted);
            accepted->start();
            if (self->connections.size() < self->maxConnections)
                self->accept();
            else
                self->pauseAccepting();
        });
}

/// Tries to accept again after a short pause. Used when accepting failed, for example because file
/// descriptors have run out, and while the maximum number of connections is open.
void http_server::state::pauseAccepting()
{
    constexpr std::chrono::milliseconds pause { 20 };
    retryTimer.expires_after(pause);
    retryTimer.async_wait([self = shared_from_this()](const boost::system::error_code& code) {
        if (code || !self->acceptor.is_open())
            return;
        if (self->connections.size() < self->maxConnections)
            self->accept();
        else
            self->pauseAccepting();
    });
}

http_server::http_server(asio::io_context& io, clock time, std::size_t maxConnections, call_hook onCall)
    : m_state(std::make_shared<state>(io, std::move(time), maxConnections, std::move(onCall)))
{
}

http_server::~http_server() { close(); }

std::optional<address> http_server::open(const address& local)
{
    boost::system::error_code code;
    auto& acceptor = m_state->acceptor;
    const tcp::endpoint endpoint(asio::ip::make_address(local.host, code), local.port);
    if (!code)
        acceptor.open(endpoint.protocol(), code);
    if (!code)
        acceptor.set_option(tcp::acceptor::reuse_address(true), code);
    if (!code)
        acceptor.bind(endpoint, code);
    if (!code)
        acceptor.listen(asio::socket_base::max_listen_connections, code);
    if (code)
        return fail(
            error_kind::BadSettings, "can't listen on " + formatAddress(local) + ": " + code.message());
    m_state->accept();
    return address { local.host, acceptor.local_endpoint(code).port() };
}

void http_server::setLimits(const client_limits& limits)
{
    m_state->limits = limits;
    for (const auto& entry : m_state->connections)
        entry->applyLimits();
}

void http_server::setSendTimeout(milliseconds timeout) { m_state->sendTimeout = timeout; }

void http_server::setMemory(std::shared_ptr<receive_memory> memory) { m_state->memory = std::move(memory); }

void http_server::beginClosing() { m_state->isClosing = true; }

void http_server::tick()
{
    const auto now = m_state->time.now();
    const std::vector<std::shared_ptr<connection>> connections(
        m_state->connections.begin(), m_state->connections.end());
    for (const auto& entry : connections)
        entry->checkTimeouts(now);
}

void http_server::close()
{
    boost::system::error_code code;
    m_state->acceptor.close(code);
    m_state->retryTimer.cancel();
    const auto connections = m_state->connections;
    for (const auto& entry : connections)
        entry->close();
}

void http_server::shutDown()
{
    boost::system::error_code code;
    m_state->acceptor.close(code);
    const std::vector<std::shared_ptr<connection>> connections(
        m_state->connections.begin(), m_state->connections.end());
    for (const auto& entry : connections)
        entry->shutDownSending();
}

bool http_server::isDrained() const
{
    const auto& connections = m_state->connections;
    return std::all_of(
        connections.begin(), connections.end(), [](const auto& entry) { return entry->isQuiet(); });
}

std::size_t http_server::getConnectionCount() const { return m_state->connections.size(); }

std::size_t http_server::getOpenCallCount() const { return m_state->openCallCount; }

} // namespace fuchsiagauge
