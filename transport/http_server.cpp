#include "transport/http_server.h"

#include "core/error.h"
#include "transport/message_parser.h"
#include "transport/message_text.h"
#include "transport/socket_options.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <deque>
#include <unordered_set>

namespace fuchsiagauge {
namespace {

    namespace asio = boost::asio;
    using tcp = asio::ip::tcp;
    using request_parser = message_parser<true>;

    constexpr std::size_t readBytes = 8192;
    constexpr std::size_t maxPipelined = 16; ///< Requests ahead on one connection; more stay unread.
    constexpr std::size_t maxUnsentBytes = 1048576; ///< Answers held for a slow reader before reading stops.
    constexpr int badRequestStatus = 400;
    constexpr int bodyTooLargeStatus = 413;
    constexpr int headerTooLargeStatus = 431;

    class connection;

} // namespace

struct http_server::state : std::enable_shared_from_this<http_server::state> {
    state(asio::io_context& context, clock source, std::size_t most, call_hook hook)
        : io(context)
        , acceptor(context)
        , retryTimer(context)
        , time(std::move(source))
        , maxConnections(most)
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
    bool isClosing = false;
    std::size_t openCalls = 0;
    std::unordered_set<std::shared_ptr<connection>> connections;
};

namespace {

    /// One accepted connection: parses requests, keeps the order of their answers.
    class connection : public std::enable_shared_from_this<connection> {
    public:
        connection(tcp::socket accepted, std::shared_ptr<http_server::state> owner)
            : m_socket(std::move(accepted))
            , m_owner(std::move(owner))
            , m_activeAt(m_owner->time.now())
        {
            resetParser();
        }

        void start()
        {
            prepareSocket(m_socket);
            read();
        }

        /// Ends the connection if its time is over.
        void checkTimeouts(milliseconds now)
        {
            if (!m_calls.empty() || !m_unsent.empty())
                return;
            const bool isReceiving = m_parser->got_some();
            const auto limit = isReceiving ? m_owner->limits.headerTimeout : m_owner->limits.idleTimeout;
            if (now - m_activeAt > limit)
                close();
        }

        void close()
        {
            if (m_isClosed)
                return;
            m_isClosed = true;
            const auto self = shared_from_this();
            boost::system::error_code code;
            m_socket.close(code);
            m_owner->openCalls -= m_calls.size();
            auto calls = std::move(m_calls);
            m_calls.clear();
            for (const auto& call : calls)
                call->leave();
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
            if (m_isReading || m_isClosed || m_isReadingOver)
                return;
            if (m_calls.size() >= maxPipelined || m_unsent.size() > maxUnsentBytes)
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
            m_activeAt = m_owner->time.now();
            if (m_pending.empty()) {
                const auto used = parse(m_readBuffer.data(), count);
                m_pending.assign(m_readBuffer.data() + used, count - used);
            } else {
                m_pending.append(m_readBuffer.data(), count);
                parsePending();
            }
            read();
        }

        void parsePending()
        {
            const auto used = parse(m_pending.data(), m_pending.size());
            m_pending.erase(0, used);
        }

        /// @return the bytes that were used.
        std::size_t parse(const char* data, std::size_t size)
        {
            std::size_t used = 0;
            while (used < size && !m_isClosed && !m_isReadingOver && m_calls.size() < maxPipelined) {
                boost::system::error_code code;
                const auto count = m_parser->put(asio::buffer(data + used, size - used), code);
                used += count;
                if (code && code != boost::beast::http::error::need_more) {
                    refuse(code);
                    return size;
                }
                if (m_parser->is_done()) {
                    takeCall();
                    continue;
                }
                if (m_parser->is_header_done())
                    sendContinue();
                if (code == boost::beast::http::error::need_more || count == 0)
                    break;
            }
            return used;
        }

        /// Asks a client that waits for leave to send its body.
        void sendContinue()
        {
            const bool isWaiting = m_parser->expectsContinue && m_calls.empty() && m_unsent.empty();
            if (!isWaiting)
                return;
            m_parser->expectsContinue = false;
            send("HTTP/1.1 100 Continue\r\n\r\n");
        }

        void refuse(const boost::system::error_code& code)
        {
            m_isReadingOver = true;
            answer_head head;
            head.status = badRequestStatus;
            if (code == boost::beast::http::error::header_limit)
                head.status = headerTooLargeStatus;
            else if (code == boost::beast::http::error::body_limit)
                head.status = bodyTooLargeStatus;
            const auto call = addCall({});
            call->answer(head, code.message() + "\n");
        }

        void takeCall()
        {
            m_isReadingOver = !m_parser->keep_alive();
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
                        self->sendReady();
                });
            m_calls.push_back(call);
            ++m_owner->openCalls;
            return call;
        }

        /// Sends the answers that are next in order.
        void sendReady()
        {
            std::string text;
            bool isLast = false;
            while (!m_isClosed && !isLast && !m_calls.empty() && m_calls.front()->isReady()) {
                const auto call = std::move(m_calls.front());
                m_calls.pop_front();
                --m_owner->openCalls;
                if (call->isDropped()) {
                    isLast = true;
                    break;
                }
                isLast = m_calls.empty() && (m_isReadingOver || m_owner->isClosing);
                text += formatAnswer(
                    call->getHead(), call->getBody(), { call->getRequest().method == "HEAD", isLast });
            }
            m_closesAfterSend = m_closesAfterSend || isLast;
            m_activeAt = m_owner->time.now();
            send(text);
        }

        void send(const std::string& text)
        {
            if (m_isClosed)
                return;
            boost::system::error_code code;
            std::size_t written = 0;
            if (m_unsent.empty() && !text.empty())
                written = writeNow(m_socket, text.data(), text.size(), code);
            if (code) {
                closeLater();
                return;
            }
            const bool wasSending = !m_unsent.empty();
            m_unsent.append(text, written, std::string::npos);
            if (m_unsent.empty())
                afterSend();
            else if (!wasSending)
                sendRest();
        }

        void sendRest()
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
                m_unsent.erase(0, writeNow(m_socket, m_unsent.data(), m_unsent.size(), code));
            if (code) {
                close();
                return;
            }
            m_activeAt = m_owner->time.now();
            if (m_unsent.empty())
                afterSend();
            else
                sendRest();
        }

        void afterSend()
        {
            if (m_closesAfterSend) {
                finish();
                return;
            }
            if (m_isReading || m_isResuming)
                return;
            m_isResuming = true;
            asio::post(m_owner->io, [self = shared_from_this()] { self->resume(); });
        }

        /// Goes on reading after answers have made room.
        void resume()
        {
            m_isResuming = false;
            if (m_isClosed)
                return;
            if (!m_pending.empty())
                parsePending();
            read();
        }

        /// Ends the sending side and waits for the other side's end, so that nothing sent is lost by a reset.
        void finish()
        {
            m_isReadingOver = true;
            boost::system::error_code code;
            m_socket.shutdown(tcp::socket::shutdown_send, code);
            if (m_isReading)
                return;
            m_isReading = true;
            m_socket.async_read_some(asio::buffer(m_readBuffer),
                [self = shared_from_this()](
                    const boost::system::error_code&, std::size_t) { self->close(); });
        }

        void closeLater()
        {
            asio::post(m_owner->io, [self = shared_from_this()] { self->close(); });
        }

        tcp::socket m_socket;
        std::shared_ptr<http_server::state> m_owner;
        std::unique_ptr<request_parser> m_parser;
        std::array<char, readBytes> m_readBuffer;
        std::string m_pending; ///< Read, not parsed: too many requests are under way.
        std::string m_unsent;
        std::deque<std::shared_ptr<incoming_call>> m_calls; ///< In order of arrival.
        milliseconds m_activeAt;
        bool m_isReading = false;
        bool m_isResuming = false;
        bool m_isReadingOver = false; ///< No further request is read.
        bool m_closesAfterSend = false;
        bool m_isClosed = false;
    };

} // namespace

void http_server::state::accept()
{
    acceptor.async_accept(
        [self = shared_from_this()](const boost::system::error_code& code, tcp::socket peer) {
            if (!self->acceptor.is_open())
                return;
            if (code) {
                self->pauseAccepting();
                return;
            }
            const auto accepted = std::make_shared<connection>(std::move(peer), self);
            self->connections.insert(accepted);
            accepted->start();
            if (self->connections.size() < self->maxConnections)
                self->accept();
            else
                self->pauseAccepting();
        });
}

/// Tries again after a short while, as when descriptors have run out.
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

void http_server::setLimits(const client_limits& limits) { m_state->limits = limits; }

void http_server::beginClosing() { m_state->isClosing = true; }

void http_server::tick()
{
    const auto now = m_state->time.now();
    const std::vector<std::shared_ptr<connection>> connections(
        m_state->connections.begin(), m_state->connections.end());
    for (const auto& one : connections)
        one->checkTimeouts(now);
}

void http_server::close()
{
    boost::system::error_code code;
    m_state->acceptor.close(code);
    m_state->retryTimer.cancel();
    const auto connections = m_state->connections;
    for (const auto& one : connections)
        one->close();
}

std::size_t http_server::getOpenCalls() const { return m_state->openCalls; }

} // namespace fuchsiagauge
