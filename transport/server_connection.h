#pragma once

// Include only from source files of the HTTP layer, since Beast is slow to compile.

#include "transport/http_server.h"
#include "transport/lingering_close.h"
#include "transport/message_parser.h"
#include "transport/socket_options.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <string>
#include <unordered_set>
#include <utility>

namespace fuchsiagauge {

class server_connection;

struct http_server::state : std::enable_shared_from_this<http_server::state> {
    state(boost::asio::io_context& context, clock source, std::size_t connectionLimit, call_hook hook)
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
    bool isFull() const;
    bool closeIdlest();
    void reportRefusal(const char* reason) const
    {
        if (onRefused)
            onRefused(reason);
    }

    static constexpr std::size_t readBufferBytes = 8192;

    boost::asio::io_context& io;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer retryTimer;
    clock time;
    std::size_t maxConnections;
    call_hook onCall;
    client_limits limits;
    receive_limits receiveLimits;
    milliseconds sendTimeout = defaultSendTimeout;
    std::shared_ptr<receive_memory> memory;
    std::shared_ptr<memory_account> account;
    std::shared_ptr<connection_budget> budget;
    refusal_hook onRefused;
    std::function<void(response_head&)> describeRefusal;
    bool isClosing = false;
    std::size_t openCallCount = 0;
    std::unordered_set<std::shared_ptr<server_connection>> connections;
    /// Shared by the connections, as each reads only when bytes have arrived and parses them at once.
    std::array<char, readBufferBytes> readBuffer;
};

/// One accepted connection. Parses requests and sends their responses in the same order.
class server_connection : public std::enable_shared_from_this<server_connection> {
public:
    server_connection(boost::asio::ip::tcp::socket accepted, std::shared_ptr<http_server::state> owner);
    ~server_connection();
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;

    void start();

    /// Closes the connection if it has exceeded the idle timeout or, within a request, the header timeout or
    /// the idle timeout of bodies, or if its client does not close it in time.
    void checkTimeouts(milliseconds now);

    /// Applies changed limits to the next request, unless a part of it has arrived.
    void applyLimits();

    /// @return whether no request is in progress or partly received and no response partly sent.
    bool isQuiet() const;

    /// @return whether the client has neither a request in progress nor a response to read.
    bool isWithoutCall() const { return m_calls.empty() && m_unsent.empty(); }

    /// @return whether the client's system has received all responses.
    bool isDelivered();

    /// @return whether no more is sent, but the client may still be receiving its last responses.
    bool isLingering() const { return m_isShutDown && m_lingers; }

    milliseconds getLastActiveTime() const { return m_lastActiveAt; }

    /// Cuts off the requests that hold up responses which are ready behind them, if the time that is left is
    /// just enough to deliver these responses.
    /// @return the number of requests that were cut off.
    std::size_t cutOffBlockingCalls(milliseconds timeLeft);

    /// Cuts off all requests that have no response yet.
    /// @return their number.
    std::size_t cutOffCalls() { return cutOffFirstCalls(m_calls.size()); }

    /// Shuts down the sending direction and waits for the client before closing the connection, so that a
    /// connection reset does not discard data that was sent.
    void shutDownSending();

    /// Closes the connection, or shuts it down if the client has not received all responses.
    void closeOnceDelivered();

    void close();

private:
    class direction : public memory_holder {
    public:
        direction(server_connection& owner, bool isSending)
            : m_owner(owner)
            , m_isSending(isSending)
        {
        }
        void resume() override { m_owner.read(); }
        void giveUp() override { m_owner.giveUp(m_isSending); }

    private:
        server_connection& m_owner;
        bool m_isSending;
    };

    using request_parser = message_parser<true>;

    void resetParser();
    void read();
    void onReadable(boost::system::error_code code);
    void onReadFailed(const boost::system::error_code& code);
    void stopReading();
    void handleBytes(std::size_t count);
    void discard();
    void accountForRequest(std::size_t receivedBytes);
    void checkFraming();
    void giveUp(bool isSending);
    std::size_t cutOffBlockingCalls();
    bool releaseHeldUpResponses();
    void refuseForMemory();
    void parseBuffered();
    std::size_t parse(const char* data, std::size_t size);
    void sendContinue();
    void rejectRequest(const boost::system::error_code& code);
    void refuse(const response_head& head, const std::string& text);
    void dispatchRequest();
    std::shared_ptr<incoming_call> addCall(call_request request, std::size_t memory);
    std::size_t cutOffFirstCalls(std::size_t count);
    void sendReadyResponses();
    void accountForResponses(std::size_t sentBytes);
    void send(std::string text);
    void waitUntilWritable();
    void onWritable(boost::system::error_code code);
    void onSent();
    void resumeReading();
    void postClose();

    boost::asio::ip::tcp::socket m_socket;
    std::shared_ptr<http_server::state> m_owner;
    std::unique_ptr<request_parser> m_parser;
    /// Bytes that were read but not parsed yet: an incomplete message, or too many requests are in progress.
    std::string m_unparsed;
    std::string m_unsent;
    std::size_t m_sentBytes = 0; ///< Of `m_unsent`.
    std::deque<std::shared_ptr<incoming_call>> m_calls; ///< Requests in progress, in order of arrival.
    std::size_t m_callBytes = 0; ///< Memory of the requests in progress.
    std::size_t m_heldBytes = 0; ///< Accounted for in `receive_memory`, without an account.
    direction m_receiving { *this, false };
    direction m_sending { *this, true };
    milliseconds m_lastActiveAt;
    lingering_close m_lingeringClose;
    bool m_isReading = false;
    bool m_isWaitingForMemory = false;
    bool m_isResumePosted = false;
    bool m_hasStoppedReading = false; ///< What the client still sends is discarded.
    bool m_hasClientFinished = false; ///< The client sends nothing more.
    bool m_isShutDown = false; ///< Nothing more is sent.
    bool m_lingers = false; ///< After the shutdown, the client may still be receiving responses.
    bool m_closesAfterSend = false;
    bool m_isClosed = false;
};

} // namespace fuchsiagauge
