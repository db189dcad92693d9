#include "transport/pooled_http_client.h"

#include "transport/message_parser.h"
#include "transport/message_text.h"
#include "transport/socket_options.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <deque>
#include <unordered_set>
#include <utility>
#include <vector>

namespace fuchsiagauge {
namespace {

    namespace asio = boost::asio;
    using tcp = asio::ip::tcp;
    using response_parser = message_parser<false>;

    constexpr std::size_t readBufferBytes = 8192;
    /// A body up to this size is sent in one write with its head.
    constexpr std::size_t joinedBodyBytes = 16384;
    constexpr std::size_t maxHeaderBytes = 65536;
    /// Largest unfinished header section, chunk header or trailer section. The parser does not limit them
    /// all.
    constexpr std::size_t maxUnparsedBytes = maxHeaderBytes + readBufferBytes;
    /// Interim responses and responses to other requests that are skipped for one call.
    constexpr int maxSkippedMessages = 16;
    constexpr int firstFinalStatus = 200;
    constexpr double msPerSecond = 1000;
    /// Connections are reused only within this fraction of the idle timeout that the remote side announces.
    constexpr double keepAliveShare = 0.75;

} // namespace

/// One connection, which carries at most one call at a time.
class pooled_http_client::connection : public std::enable_shared_from_this<pooled_http_client::connection> {
public:
    connection(asio::io_context& io, std::shared_ptr<pooled_http_client::state> owner);

    void startCall(outgoing_request request, result_hook onResult);
    void cancel();
    void close();
    void checkTimeouts(milliseconds now);
    bool isIdleLongerThan(milliseconds duration, milliseconds now) const
    {
        return now - m_idleSince > std::min(duration, m_idleLimit);
    }
    bool hasCarried(const std::string& requestId) const;
    bool isRunningCall(std::uint64_t callNumber) const { return m_isBusy && m_callNumber == callNumber; }
    std::uint64_t getCallNumber() const { return m_callNumber; }

private:
    void rememberRequest();
    void connect();
    void onConnected(const boost::system::error_code& code);
    void sendRequest();
    void writeUnsent(boost::system::error_code& code);
    bool isSent() const;
    void onWritable(const boost::system::error_code& code);
    void onSendFailed();
    void read();
    void onRead(const boost::system::error_code& code, std::size_t count);
    std::size_t parse(const char* data, std::size_t size);
    bool handleMessage(bool isFollowedByData);
    response_match matchMessage();
    void onReadFailed(const boost::system::error_code& code);
    outgoing_result makeResult() const;
    void finish();
    void failCall(error_kind kind, const std::string& detail);
    void failInterruptedCall(const boost::system::error_code& code);
    void resetParser();
    bool isWithinLimits();
    void releaseMemory();

    /// A request that may be sent again until it expires.
    struct carried_request {
        std::size_t idHash;
        milliseconds expiresAt;
    };

    tcp::socket m_socket;
    std::shared_ptr<pooled_http_client::state> m_owner;
    outgoing_request m_request;
    result_hook m_onResult;
    std::unique_ptr<response_parser> m_parser;
    std::deque<carried_request> m_carriedRequests;
    std::string m_text; ///< Head of the request, with its body if that is small.
    std::size_t m_sentBytes = 0; ///< Of the head and the body.
    boost::system::error_code m_sendError; ///< Why the rest of the request can't be sent.
    std::string
        m_unparsed; ///< Incomplete response head or chunk header received so far; empty between calls.
    std::size_t m_accountedBytes = 0; ///< Bytes of the response that `receive_memory` knows of.
    int m_skippedMessages = 0;
    milliseconds m_startedAt;
    milliseconds m_idleSince;
    milliseconds m_idleLimit { 1e9 };
    std::uint64_t m_callNumber = 0;
    bool m_isBodyJoined = true; ///< The body is part of `m_text`.
    bool m_isConnected = false;
    bool m_isReading = false;
    bool m_isBusy = false;
    bool m_isClosed = false;
    bool m_hasSent = false;
    bool m_hasUnrequestedData = false; ///< Received data other than the response to the current call.
};

struct pooled_http_client::state : std::enable_shared_from_this<pooled_http_client::state> {
    state(asio::io_context& context, clock source, address remoteAddress, pool_limits poolLimits)
        : io(context)
        , time(std::move(source))
        , remote(std::move(remoteAddress))
        , limits(std::move(poolLimits))
    {
        boost::system::error_code code;
        endpoint = tcp::endpoint(asio::ip::make_address(remote.host, code), remote.port);
    }

    /// @return the most recently used idle connection that may carry the request; null if there is none.
    std::shared_ptr<connection> takeIdle(const outgoing_request& request)
    {
        const auto now = time.now();
        const auto maxIdleTime = std::min(request.maxIdleTime, limits.idleTimeout);
        for (auto position = idle.rbegin(); position != idle.rend(); ++position) {
            auto candidate = *position;
            // The connections before it have been idle for even longer.
            if (candidate->isIdleLongerThan(maxIdleTime, now))
                return nullptr;
            if (candidate->hasCarried(request.id))
                continue;
            idle.erase(std::next(position).base());
            return candidate;
        }
        return nullptr;
    }

    /// Closes an idle connection that must not carry the request, so that the new connection which the
    /// request needs does not add to their number.
    void closeCarrier(const std::string& requestId)
    {
        const auto carrier = std::find_if(
            idle.begin(), idle.end(), [&](const auto& entry) { return entry->hasCarried(requestId); });
        if (carrier == idle.end())
            return;
        const auto replaced = *carrier;
        replaced->close();
    }

    asio::io_context& io;
    clock time;
    address remote;
    tcp::endpoint endpoint;
    pool_limits limits;
    std::unordered_set<std::shared_ptr<connection>> connections;
    std::vector<std::shared_ptr<connection>> idle; ///< The most recently used one is last.
    std::size_t openCallCount = 0;
    /// Shared by the connections, as each reads only when bytes have arrived and parses them at once.
    std::array<char, readBufferBytes> readBuffer;
};

pooled_http_client::connection::connection(
    asio::io_context& io, std::shared_ptr<pooled_http_client::state> owner)
    : m_socket(io)
    , m_owner(std::move(owner))
{
    resetParser();
}

void pooled_http_client::connection::resetParser()
{
    m_parser = std::make_unique<response_parser>(maxHeaderBytes, m_owner->limits.responseBytes);
    if (m_request.request.method == "HEAD")
        m_parser->skip(true);
}

void pooled_http_client::connection::startCall(outgoing_request request, result_hook onResult)
{
    m_request = std::move(request);
    m_onResult = std::move(onResult);
    const auto& body = m_request.request.body;
    m_isBodyJoined = body.size() <= joinedBodyBytes;
    m_text = formatRequestHead(m_request.request, m_isBodyJoined ? body.size() : 0);
    if (m_isBodyJoined)
        m_text += body.getText();
    m_sentBytes = 0;
    m_sendError = {};
    m_isBusy = true;
    ++m_callNumber;
    m_hasSent = false;
    m_hasUnrequestedData = false;
    m_skippedMessages = 0;
    m_unparsed.clear();
    m_startedAt = m_owner->time.now();
    rememberRequest();
    ++m_owner->openCallCount;
    resetParser();
    if (m_isConnected)
        sendRequest();
    else
        connect();
}

void pooled_http_client::connection::rememberRequest()
{
    while (!m_carriedRequests.empty() && m_carriedRequests.front().expiresAt < m_startedAt)
        m_carriedRequests.pop_front();
    if (!m_request.id.empty())
        m_carriedRequests.push_back({ std::hash<std::string> {}(m_request.id), m_request.expiresAt });
}

/// @return whether a request with this id may have been sent on the connection.
bool pooled_http_client::connection::hasCarried(const std::string& requestId) const
{
    if (requestId.empty())
        return false;
    const auto idHash = std::hash<std::string> {}(requestId);
    return std::any_of(m_carriedRequests.begin(), m_carriedRequests.end(),
        [&](const carried_request& carried) { return carried.idHash == idHash; });
}

void pooled_http_client::connection::connect()
{
    m_socket.async_connect(
        m_owner->endpoint, [self = shared_from_this()](const boost::system::error_code& code) {
            if (!self->m_isClosed)
                self->onConnected(code);
        });
}

void pooled_http_client::connection::onConnected(const boost::system::error_code& code)
{
    if (code) {
        failCall(error_kind::TargetUnreachable, "connect: " + code.message());
        return;
    }
    m_isConnected = true;
    configureSocket(m_socket);
    sendRequest();
}

void pooled_http_client::connection::sendRequest()
{
    writeUnsent(m_sendError);
    if (m_sendError) {
        asio::post(m_owner->io, [self = shared_from_this()] {
            if (!self->m_isClosed && self->m_isBusy)
                self->onSendFailed();
        });
        return;
    }
    read();
    if (isSent())
        return;
    m_socket.async_wait(
        tcp::socket::wait_write, [self = shared_from_this()](const boost::system::error_code& waitCode) {
            if (!self->m_isClosed && self->m_isBusy)
                self->onWritable(waitCode);
        });
}

/// Writes the head, then a body that is not joined to it, as far as the socket takes them.
void pooled_http_client::connection::writeUnsent(boost::system::error_code& code)
{
    if (m_sentBytes < m_text.size())
        m_sentBytes
            += writeNonBlocking(m_socket, m_text.data() + m_sentBytes, m_text.size() - m_sentBytes, code);
    const auto& body = m_request.request.body;
    if (!code && !m_isBodyJoined && m_sentBytes >= m_text.size()) {
        const auto sent = m_sentBytes - m_text.size();
        m_sentBytes += writeNonBlocking(m_socket, body.data() + sent, body.size() - sent, code);
    }
    m_hasSent = m_hasSent || m_sentBytes > 0;
}

bool pooled_http_client::connection::isSent() const
{
    return m_sentBytes == m_text.size() + (m_isBodyJoined ? 0 : m_request.request.body.size());
}

void pooled_http_client::connection::onWritable(const boost::system::error_code& code)
{
    m_sendError = code;
    if (code)
        onSendFailed();
    else
        sendRequest();
}

/// Reads what has been received, as the remote side may have responded before it ended the connection.
void pooled_http_client::connection::onSendFailed()
{
    if (!m_hasSent) { // Without a request, nothing that was received responds to it.
        failInterruptedCall(m_sendError);
        return;
    }
    while (m_isBusy && !m_isClosed) {
        boost::system::error_code code;
        const auto count = m_socket.read_some(asio::buffer(m_owner->readBuffer), code);
        if (code == asio::error::would_block || code == asio::error::try_again)
            failInterruptedCall(m_sendError);
        else
            onRead(code, count);
    }
}

void pooled_http_client::connection::read()
{
    if (m_isReading || m_isClosed || m_sendError)
        return;
    m_isReading = true;
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](boost::system::error_code code) {
        self->m_isReading = false;
        if (self->m_isClosed || self->m_sendError) // onSendFailed() reads the rest.
            return;
        std::size_t count = 0;
        if (!code)
            count = self->m_socket.read_some(asio::buffer(self->m_owner->readBuffer), code);
        if (code == asio::error::would_block || code == asio::error::try_again)
            self->read();
        else
            self->onRead(code, count);
    });
}

void pooled_http_client::connection::onRead(const boost::system::error_code& code, std::size_t count)
{
    if (!m_isBusy) {
        close();
        return;
    }
    if (code) {
        onReadFailed(code);
        return;
    }
    if (m_unparsed.empty()) {
        const auto used = parse(m_owner->readBuffer.data(), count);
        m_unparsed.assign(m_owner->readBuffer.data() + used, count - used);
    } else {
        m_unparsed.append(m_owner->readBuffer.data(), count);
        const auto used = parse(m_unparsed.data(), m_unparsed.size());
        m_unparsed.erase(0, used);
    }
    if (m_isBusy && !m_isClosed && !isWithinLimits())
        failCall(error_kind::BrokenAnswer, "the response takes too much memory");
    if (!m_isClosed)
        read();
}

/// Checks the memory that the response takes, as the remote side may send bytes without end.
bool pooled_http_client::connection::isWithinLimits()
{
    if (m_unparsed.size() > maxUnparsedBytes)
        return false;
    const auto& memory = m_owner->limits.memory;
    if (!memory)
        return true;
    // A head of many short fields takes many times the bytes that were received.
    const auto bytes = m_parser->getMemory() + m_unparsed.capacity();
    if (bytes <= m_accountedBytes)
        return true;
    if (!memory->grow(m_accountedBytes, bytes))
        return false;
    m_accountedBytes = bytes;
    return true;
}

void pooled_http_client::connection::releaseMemory()
{
    if (m_owner->limits.memory)
        m_owner->limits.memory->release(m_accountedBytes);
    m_accountedBytes = 0;
}

/// @return the number of bytes that were consumed; the rest must be passed again together with the next
/// bytes.
std::size_t pooled_http_client::connection::parse(const char* data, std::size_t size)
{
    std::size_t used = 0;
    while (used < size) {
        boost::system::error_code code;
        const auto step = m_parser->put(asio::buffer(data + used, size - used), code);
        used += step;
        const bool needsMore = code == boost::beast::http::error::need_more;
        if (code && !needsMore) {
            failCall(error_kind::BrokenAnswer,
                m_parser->hasSecondStatusLine ? "an unfinished head goes on with another response"
                                              : code.message());
            return size;
        }
        if (m_parser->is_done()) {
            if (handleMessage(used < size))
                return size;
            continue;
        }
        if (needsMore && step == 0)
            return used;
    }
    return used;
}

/// Ends the call with the parsed message, or discards an interim response or a response to another request.
/// @param isFollowedByData whether more data arrived after the message.
/// @return whether the call has ended.
bool pooled_http_client::connection::handleMessage(bool isFollowedByData)
{
    const auto match = matchMessage();
    if (match == response_match::Matches) {
        m_hasUnrequestedData = m_hasUnrequestedData || isFollowedByData;
        finish();
        return true;
    }
    if (match == response_match::Unidentified) {
        failCall(error_kind::BrokenAnswer, "a response that names no request");
        return true;
    }
    if (++m_skippedMessages > maxSkippedMessages) {
        failCall(error_kind::BrokenAnswer, "too many interim responses and responses to other requests");
        return true;
    }
    resetParser();
    return false;
}

response_match pooled_http_client::connection::matchMessage()
{
    if (m_parser->status < firstFinalStatus)
        return response_match::OtherRequest;
    if (!m_request.matchResponse)
        return response_match::Matches;
    response_head head;
    head.status = m_parser->status;
    head.fields = m_parser->fields;
    const auto match = m_request.matchResponse(head);
    if (match != response_match::Matches)
        m_hasUnrequestedData = true;
    return match;
}

void pooled_http_client::connection::onReadFailed(const boost::system::error_code& code)
{
    if (isOrderlyEnd(code, m_sendError) && m_parser->is_header_done() && m_parser->need_eof()) {
        boost::system::error_code endCode;
        m_parser->put_eof(endCode);
        if (!endCode && m_parser->is_done() && handleMessage(false))
            return;
    }
    failInterruptedCall(code);
}

/// @return a result that tells which connection the call used and how long it took.
outgoing_result pooled_http_client::connection::makeResult() const
{
    outgoing_result result;
    result.isConnectionReused = m_callNumber > 1;
    result.duration = m_owner->time.now() - m_startedAt;
    return result;
}

void pooled_http_client::connection::finish()
{
    const auto self = shared_from_this();
    auto result = makeResult();
    result.isAnswered = true;
    result.mayHaveArrived = true;
    result.head.status = m_parser->status;
    result.head.fields = std::move(m_parser->fields);
    if (const auto length = m_parser->content_length())
        result.head.contentLength = *length;
    result.body = std::move(m_parser->body);
    m_unparsed = {};
    releaseMemory();
    const bool isReusable = m_parser->keep_alive() && isSent() && !m_hasUnrequestedData;
    result.request = std::move(m_request.request);
    m_text = {};
    m_sentBytes = 0;
    if (m_parser->keepAliveSeconds >= 0)
        m_idleLimit = milliseconds(m_parser->keepAliveSeconds * msPerSecond * keepAliveShare);
    const auto onResult = std::move(m_onResult);
    m_isBusy = false;
    --m_owner->openCallCount;
    m_request = {};
    m_idleSince = m_owner->time.now();
    if (isReusable) {
        m_owner->idle.push_back(self);
        read();
    } else {
        close();
    }
    onResult(std::move(result));
}

void pooled_http_client::connection::failCall(error_kind kind, const std::string& detail)
{
    const auto self = shared_from_this();
    const auto onResult = std::move(m_onResult);
    m_onResult = nullptr;
    auto result = makeResult();
    result.failure = { kind, formatAddress(m_owner->remote) + ": " + detail };
    result.mayHaveArrived = m_hasSent;
    close();
    if (onResult)
        onResult(std::move(result));
}

/// Fails a call whose connection ended before its response was complete.
void pooled_http_client::connection::failInterruptedCall(const boost::system::error_code& code)
{
    failCall(m_parser->got_some() ? error_kind::BrokenAnswer : error_kind::ConnectionLost,
        m_sendError ? "send: " + m_sendError.message() : code.message());
}

void pooled_http_client::connection::cancel()
{
    m_onResult = nullptr;
    close();
}

void pooled_http_client::connection::close()
{
    if (m_isClosed)
        return;
    const auto self = shared_from_this();
    m_isClosed = true;
    releaseMemory();
    boost::system::error_code code;
    m_socket.close(code);
    if (m_isBusy)
        --m_owner->openCallCount;
    m_isBusy = false;
    auto& idle = m_owner->idle;
    idle.erase(std::remove(idle.begin(), idle.end(), self), idle.end());
    m_owner->connections.erase(self);
}

void pooled_http_client::connection::checkTimeouts(milliseconds now)
{
    if (!m_isBusy) {
        if (isIdleLongerThan(m_owner->limits.idleTimeout, now))
            close();
        return;
    }
    if (!m_isConnected && now - m_startedAt > m_owner->limits.connectTimeout)
        failCall(error_kind::TargetUnreachable, "no connection in time");
    else if (now >= m_request.expiresAt)
        failCall(error_kind::AnswerTimeout, "no answer in time");
}

pooled_http_client::pooled_http_client(asio::io_context& io, clock time, address remote, pool_limits limits)
    : m_state(std::make_shared<state>(io, std::move(time), std::move(remote), std::move(limits)))
{
}

pooled_http_client::~pooled_http_client()
{
    const auto connections = m_state->connections;
    for (const auto& entry : connections)
        entry->cancel();
}

pooled_http_client::handle pooled_http_client::send(outgoing_request request, result_hook onResult)
{
    auto chosen = m_state->takeIdle(request);
    if (!chosen) {
        m_state->closeCarrier(request.id);
        if (m_state->connections.size() >= m_state->limits.connections) {
            outgoing_result result;
            result.failure = { error_kind::TargetUnreachable, "too many connections" };
            asio::post(
                m_state->io, [weak = std::weak_ptr<state>(m_state), result, onResult = std::move(onResult)] {
                    if (weak.lock())
                        onResult(result);
                });
            return {};
        }
        chosen = std::make_shared<connection>(m_state->io, m_state);
        m_state->connections.insert(chosen);
    }
    chosen->startCall(std::move(request), std::move(onResult));
    return { chosen, chosen->getCallNumber() };
}

void pooled_http_client::cancel(const handle& call)
{
    const auto owner = call.owner.lock();
    if (owner && owner->isRunningCall(call.callNumber))
        owner->cancel();
}

void pooled_http_client::tick()
{
    const auto now = m_state->time.now();
    const std::vector<std::shared_ptr<connection>> connections(
        m_state->connections.begin(), m_state->connections.end());
    for (const auto& entry : connections)
        entry->checkTimeouts(now);
}

void pooled_http_client::closeIdle()
{
    const auto idle = m_state->idle;
    for (const auto& entry : idle)
        entry->close();
}

std::size_t pooled_http_client::getOpenCallCount() const { return m_state->openCallCount; }

} // namespace fuchsiagauge
