#include "transport/server_connection.h"

#include "transport/message_text.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <iterator>
#include <vector>

namespace fuchsiagauge {
namespace {

    namespace asio = boost::asio;
    using tcp = asio::ip::tcp;

    /// Requests in progress on one connection. Further ones are not read until a response has been sent.
    constexpr std::size_t maxPipelinedRequests = 16;
    /// Responses buffered for a slow client. Above this, no further requests are read from its connection.
    constexpr std::size_t maxUnsentBytes = 1048576;
    /// Times for delivering responses that were held up: one round trip, and what further bytes take.
    constexpr milliseconds minDeliveryTime { 60 };
    constexpr double deliveredBytesPerMs = 16384;
    /// A request that is forwarded has its head twice.
    constexpr std::size_t headCopies = 2;
    constexpr std::size_t copiedBodyBytes = 16384; ///< A body up to this size is sent from a copy.
    constexpr int badRequestStatus = 400;
    constexpr int bodyTooLargeStatus = 413;
    constexpr int headerTooLargeStatus = 431;
    constexpr int unavailableStatus = 503;
    constexpr const char* memoryRetryAfterS = "1";

} // namespace

server_connection::server_connection(tcp::socket accepted, std::shared_ptr<http_server::state> owner)
    : m_socket(std::move(accepted))
    , m_owner(std::move(owner))
    , m_lastActiveAt(m_owner->time.now())
{
    if (m_owner->budget)
        ++m_owner->budget->open;
    resetParser();
}

server_connection::~server_connection()
{
    if (!m_isClosed && m_owner->budget)
        --m_owner->budget->open;
}

void server_connection::start()
{
    configureSocket(m_socket, m_owner->sendTimeout);
    read();
}

void server_connection::checkTimeouts(milliseconds now)
{
    if (m_isShutDown) {
        if (m_lingeringClose.isOver(countUnacknowledgedBytes(m_socket), m_owner->sendTimeout, now))
            close();
        return;
    }
    if (m_isWaitingForMemory || !isWithoutCall())
        return;
    const auto idleFor = now - m_lastActiveAt;
    if (!m_parser->got_some()) {
        if (idleFor > m_owner->limits.idleTimeout)
            closeOnceDelivered();
        return;
    }
    const bool isInBody = m_parser->is_header_done();
    if (idleFor <= (isInBody ? m_owner->receiveLimits.bodyIdleTimeout : m_owner->limits.headerTimeout))
        return;
    m_owner->reportRefusal(isInBody ? "body-idle" : "head-idle");
    closeOnceDelivered();
}

void server_connection::applyLimits()
{
    if (!m_parser->got_some() && m_unparsed.empty())
        resetParser();
}

bool server_connection::isQuiet() const
{
    return m_calls.empty() && m_unsent.empty() && m_unparsed.empty() && !m_parser->got_some();
}

bool server_connection::isDelivered() { return m_unsent.empty() && countUnacknowledgedBytes(m_socket) == 0; }

std::size_t server_connection::cutOffBlockingCalls(milliseconds timeLeft)
{
    std::size_t bytes = m_unsent.size() - m_sentBytes;
    for (const auto& call : m_calls)
        bytes += call->getResponseBody().size();
    const milliseconds deliveryTime { static_cast<double>(bytes) / deliveredBytesPerMs };
    return timeLeft > minDeliveryTime + deliveryTime ? 0 : cutOffBlockingCalls();
}

std::size_t server_connection::cutOffBlockingCalls()
{
    const auto isReady = [](const auto& call) { return call->isReady(); };
    const auto lastReady = std::find_if(m_calls.rbegin(), m_calls.rend(), isReady);
    return cutOffFirstCalls(static_cast<std::size_t>(std::distance(lastReady, m_calls.rend())));
}

/// Cuts off those of the first requests that have no response yet.
/// @return their number.
std::size_t server_connection::cutOffFirstCalls(std::size_t count)
{
    const auto self = shared_from_this();
    // A copy, as each response removes itself and those behind it that are ready from `m_calls`.
    const std::vector<std::shared_ptr<incoming_call>> calls(
        m_calls.begin(), m_calls.begin() + static_cast<std::ptrdiff_t>(count));
    std::size_t cutOffCount = 0;
    for (const auto& call : calls) {
        if (call->isEnded())
            continue;
        call->cutOff();
        cutOffCount += call->isEnded() ? 1 : 0;
    }
    return cutOffCount;
}

void server_connection::shutDownSending()
{
    if (m_isShutDown || m_isClosed)
        return;
    stopReading();
    m_lingers = m_closesAfterSend || !isDelivered();
    m_isShutDown = true;
    m_lingeringClose.begin(m_owner->time.now());
    boost::system::error_code code;
    m_socket.shutdown(tcp::socket::shutdown_send, code);
    read();
}

void server_connection::closeOnceDelivered()
{
    if (isDelivered())
        close();
    else
        shutDownSending();
}

void server_connection::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    const auto self = shared_from_this();
    boost::system::error_code code;
    m_socket.close(code);
    if (m_owner->budget)
        --m_owner->budget->open;
    m_owner->openCallCount -= m_calls.size();
    auto calls = std::move(m_calls);
    m_calls.clear();
    m_callBytes = 0;
    m_unsent = {};
    m_unparsed = {};
    accountForResponses(0);
    if (m_owner->account)
        m_owner->account->endReceiving(m_receiving);
    for (const auto& call : calls)
        call->handleDisconnect();
    m_owner->connections.erase(self);
}

void server_connection::resetParser()
{
    m_parser = std::make_unique<request_parser>(m_owner->limits.headerBytes, m_owner->limits.bodyBytes);
    m_parser->limits = m_owner->receiveLimits;
}

void server_connection::read()
{
    m_isWaitingForMemory = false;
    if (m_isReading || m_isClosed || m_hasClientFinished)
        return;
    const bool isFull = m_calls.size() >= maxPipelinedRequests || m_unsent.size() > maxUnsentBytes;
    if (isFull && !m_hasStoppedReading)
        return;
    m_isReading = true;
    m_socket.async_wait(
        tcp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code& code) {
            self->m_isReading = false;
            self->onReadable(code);
        });
}

void server_connection::onReadable(boost::system::error_code code)
{
    if (m_isClosed)
        return;
    if (code) {
        onReadFailed(code);
        return;
    }
    const auto now = m_owner->time.now();
    if (!m_hasStoppedReading && m_owner->account && !m_owner->account->mayRead(m_receiving, now)) {
        m_isWaitingForMemory = true;
        return;
    }
    const auto count = m_socket.read_some(asio::buffer(m_owner->readBuffer), code);
    if (code == asio::error::would_block || code == asio::error::try_again) {
        read();
        return;
    }
    if (code) {
        onReadFailed(code);
        return;
    }
    if (m_hasStoppedReading) {
        discard();
        return;
    }
    m_lastActiveAt = now;
    handleBytes(count);
    accountForRequest(count);
    read();
}

/// Closes the connection, unless the client has only shut down its sending direction and is receiving its
/// last response.
void server_connection::onReadFailed(const boost::system::error_code& code)
{
    m_hasClientFinished = code == asio::error::eof;
    if (m_hasClientFinished && m_calls.empty() && !m_unsent.empty()) {
        stopReading();
        m_closesAfterSend = true;
        return;
    }
    close();
}

/// Ends the reading of requests and frees an incomplete one.
void server_connection::stopReading()
{
    m_hasStoppedReading = true;
    m_unparsed = {};
    resetParser();
    if (m_owner->account)
        m_owner->account->endReceiving(m_receiving);
}

/// Reads on to notice when the client disconnects, and so that a request that was sent in the meantime does
/// not reset the connection while the client is receiving its responses.
void server_connection::discard()
{
    if (m_isShutDown && !m_lingers)
        close();
    else
        read();
}

void server_connection::handleBytes(std::size_t count)
{
    const auto* data = m_owner->readBuffer.data();
    if (m_unparsed.empty()) {
        const auto used = parse(data, count);
        m_unparsed.assign(data + used, count - used);
    } else {
        m_unparsed.append(data, count);
        parseBuffered();
    }
    if (!m_unparsed.empty())
        checkFraming();
}

/// Updates the memory of the request that is being received.
void server_connection::accountForRequest(std::size_t receivedBytes)
{
    if (!m_owner->account || m_isClosed)
        return;
    std::size_t bytes = m_unparsed.size();
    if (m_parser->got_some())
        bytes += m_parser->getMemory();
    m_receiving.setLarge(m_parser->isLargeBody());
    m_owner->account->updateReceiving(m_receiving, bytes, m_callBytes, receivedBytes, m_owner->time.now());
}

/// Limits the line of a chunk's size and the trailer, which the parser takes only when they are complete.
void server_connection::checkFraming()
{
    const auto& limits = m_owner->receiveLimits;
    const auto smallest = std::min(limits.trailerBytes, limits.chunkExtensionBytes);
    if (m_hasStoppedReading || m_unparsed.size() <= smallest || !m_parser->is_header_done())
        return;
    const std::string lineEnd = "\r\n";
    const auto start = m_unparsed.compare(0, lineEnd.size(), lineEnd) == 0 ? lineEnd.size() : 0;
    const auto end = m_unparsed.find(lineEnd, start);
    const bool isTrailer = end != std::string::npos;
    const auto bytes = m_unparsed.size() - (isTrailer ? end + lineEnd.size() : start);
    if (bytes <= (isTrailer ? limits.trailerBytes : limits.chunkExtensionBytes))
        return;
    m_parser->exceededLimit = isTrailer ? "trailer" : "chunk-extension";
    rejectRequest(boost::beast::http::error::bad_chunk);
}

/// Frees the memory of the request that is being received, or closes a connection that is not read. A client
/// that sends only a part of a head gets no response, unless earlier ones are due to it.
void server_connection::giveUp(bool isSending)
{
    const auto self = shared_from_this();
    if (isSending) {
        if (releaseHeldUpResponses())
            return;
        m_owner->reportRefusal("slow-reader");
        close();
        return;
    }
    m_owner->reportRefusal("memory");
    if (m_parser->is_header_done() || !isWithoutCall() || !isDelivered())
        refuseForMemory();
    else
        close();
}

/// Cuts off the requests that hold up ready responses, unless it is the client that does not read.
/// @return whether responses were released.
bool server_connection::releaseHeldUpResponses()
{
    if (!m_unsent.empty())
        return false;
    const auto heldBytes = m_heldBytes;
    if (cutOffBlockingCalls() == 0)
        return false;
    m_owner->reportRefusal("held-up");
    // Counts as progress, as the client could read none of these responses before.
    accountForResponses(heldBytes);
    return true;
}

void server_connection::refuseForMemory()
{
    response_head head;
    head.status = unavailableStatus;
    head.fields.add("Retry-After", memoryRetryAfterS);
    if (m_owner->describeRefusal)
        m_owner->describeRefusal(head);
    refuse(head, {});
    read();
}

void server_connection::parseBuffered()
{
    const auto used = parse(m_unparsed.data(), m_unparsed.size());
    m_unparsed.erase(0, used);
}

/// @return the number of bytes that were consumed.
std::size_t server_connection::parse(const char* data, std::size_t size)
{
    std::size_t used = 0;
    while (used < size && !m_isClosed && !m_hasStoppedReading && m_calls.size() < maxPipelinedRequests) {
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
    return m_hasStoppedReading ? size : used;
}

/// Sends `100 Continue` to a client that waits for it before sending its body, unless responses to earlier
/// requests are still due.
void server_connection::sendContinue()
{
    const bool isClientWaiting = m_parser->expectsContinue && m_calls.empty() && m_unsent.empty();
    if (!isClientWaiting)
        return;
    m_parser->expectsContinue = false;
    send("HTTP/1.1 100 Continue\r\n\r\n");
}

void server_connection::rejectRequest(const boost::system::error_code& code)
{
    response_head head;
    head.status = badRequestStatus;
    std::string text = code.message() + "\n";
    if (m_parser->exceededLimit) {
        m_owner->reportRefusal(m_parser->exceededLimit);
        text = std::string("the request is beyond the limit: ") + m_parser->exceededLimit + "\n";
    } else if (code == boost::beast::http::error::header_limit) {
        head.status = headerTooLargeStatus;
    } else if (code == boost::beast::http::error::body_limit) {
        head.status = bodyTooLargeStatus;
    }
    refuse(head, text);
}

/// Answers a request that is not read completely. What its client still sends is discarded.
void server_connection::refuse(const response_head& head, const std::string& text)
{
    stopReading();
    const auto call = addCall({}, 0);
    call->respond(head, text);
}

void server_connection::dispatchRequest()
{
    m_hasStoppedReading = !m_parser->keep_alive();
    const auto bodyBytes = m_parser->body.size();
    const auto memory = m_parser->getMemory();
    const auto headBytes = memory - std::min(memory, bodyBytes);
    call_request request;
    request.method = std::move(m_parser->method);
    request.target = std::move(m_parser->target);
    request.fields = std::move(m_parser->fields);
    request.body = std::move(m_parser->body);
    resetParser();
    const auto call = addCall(std::move(request),
        headBytes * headCopies + bodyBytes + (bodyBytes <= copiedBodyBytes ? bodyBytes : 0));
    m_owner->onCall(call);
}

std::shared_ptr<incoming_call> server_connection::addCall(call_request request, std::size_t memory)
{
    auto call
        = std::make_shared<incoming_call>(std::move(request), m_owner->time.now(), [weak = weak_from_this()] {
              if (const auto self = weak.lock())
                  self->sendReadyResponses();
          });
    if (m_owner->account) {
        call->setCharge({ m_owner->account, memory });
        m_callBytes += memory;
    }
    m_calls.push_back(call);
    ++m_owner->openCallCount;
    return call;
}

/// Sends the responses that are ready, up to the first request that still has none.
void server_connection::sendReadyResponses()
{
    std::string text;
    bool isLast = false;
    while (!m_isClosed && !isLast && !m_calls.empty() && m_calls.front()->isReady()) {
        const auto call = std::move(m_calls.front());
        m_calls.pop_front();
        m_callBytes -= call->getChargedBytes();
        --m_owner->openCallCount;
        if (call->isDropped()) {
            isLast = true;
            break;
        }
        isLast = m_calls.empty() && (m_hasStoppedReading || m_owner->isClosing);
        auto formatted = formatResponse(call->getResponseHead(), call->getResponseBody(),
            { call->getRequest().method == "HEAD", isLast });
        if (text.empty())
            text = std::move(formatted);
        else
            text += formatted;
    }
    if (isLast) {
        // The client must count requests behind this response as not read, so none of them may run.
        stopReading();
        m_closesAfterSend = true;
    }
    m_lastActiveAt = m_owner->time.now();
    send(std::move(text));
    accountForResponses(0);
    accountForRequest(0);
}

/// Updates the memory of the responses that the client has not read: unsent ones, and those that wait for the
/// response to an earlier request.
void server_connection::accountForResponses(std::size_t sentBytes)
{
    if (!m_owner->account && !m_owner->memory)
        return;
    auto bytes = m_unsent.size();
    for (const auto& call : m_calls)
        bytes += call->getResponseHead().fields.getMemory() + call->getResponseBody().size();
    if (bytes == m_heldBytes && sentBytes == 0)
        return;
    if (m_owner->account) {
        // Responses that wait for an earlier one don't wait for the client.
        m_owner->account->updateSending(
            m_sending, bytes, m_unsent.empty() ? bytes : sentBytes, m_owner->time.now());
    } else {
        m_owner->memory->hold(m_heldBytes, bytes);
    }
    m_heldBytes = bytes;
}

void server_connection::send(std::string text)
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
    if (!m_unsent.empty()) {
        m_unsent += text;
        return;
    }
    if (written == text.size()) {
        onSent();
        return;
    }
    m_unsent = std::move(text);
    m_sentBytes = written;
    waitUntilWritable();
}

void server_connection::waitUntilWritable()
{
    m_socket.async_wait(
        tcp::socket::wait_write, [self = shared_from_this()](const boost::system::error_code& code) {
            if (!self->m_isClosed)
                self->onWritable(code);
        });
}

void server_connection::onWritable(boost::system::error_code code)
{
    std::size_t written = 0;
    if (!code)
        written
            = writeNonBlocking(m_socket, m_unsent.data() + m_sentBytes, m_unsent.size() - m_sentBytes, code);
    if (code) {
        close();
        return;
    }
    m_sentBytes += written;
    if (m_sentBytes == m_unsent.size()) {
        m_unsent = {};
        m_sentBytes = 0;
    } else if (m_sentBytes > m_unsent.size() / 2) {
        m_unsent = m_unsent.substr(m_sentBytes);
        m_sentBytes = 0;
    }
    m_lastActiveAt = m_owner->time.now();
    accountForResponses(written);
    if (m_unsent.empty())
        onSent();
    else
        waitUntilWritable();
}

void server_connection::onSent()
{
    if (m_hasClientFinished) {
        close();
        return;
    }
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
void server_connection::resumeReading()
{
    m_isResumePosted = false;
    if (m_isClosed || m_isWaitingForMemory)
        return;
    if (!m_unparsed.empty()) {
        parseBuffered();
        accountForRequest(0);
    }
    read();
}

void server_connection::postClose()
{
    asio::post(m_owner->io, [self = shared_from_this()] { self->close(); });
}

} // namespace fuchsiagauge
