#include "transport/http_server.h"

#include "core/error.h"
#include "transport/server_connection.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace fuchsiagauge {
namespace {

    namespace asio = boost::asio;
    using tcp = asio::ip::tcp;

    /// A connection without a request is closed in favour of a new one only if it has been idle this long.
    constexpr milliseconds minIdleTime { 1000 };

} // namespace

void http_server::state::accept()
{
    acceptor.async_accept(
        [self = shared_from_this()](const boost::system::error_code& code, tcp::socket socket) {
            if (!self->acceptor.is_open())
                return;
            if (code) {
                self->closeIdlest();
                self->pauseAccepting();
                return;
            }
            const auto accepted = std::make_shared<server_connection>(std::move(socket), self);
            self->connections.insert(accepted);
            accepted->start();
            if (!self->isFull() || self->closeIdlest())
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
        if (!self->isFull() || self->closeIdlest())
            self->accept();
        else
            self->pauseAccepting();
    });
}

/// @return whether no further connection may be accepted.
bool http_server::state::isFull() const
{
    return connections.size() >= maxConnections || (budget && budget->open >= budget->limit);
}

/// Closes the connection that has been idle for longest, if one is neither in use nor was so just before. One
/// whose client has not received its responses is in use.
/// @return whether one was closed.
bool http_server::state::closeIdlest()
{
    const auto now = time.now();
    std::shared_ptr<server_connection> found;
    for (const auto& entry : connections) {
        const bool isIdle = entry->isWithoutCall() && now - entry->getLastActiveTime() >= minIdleTime;
        const bool isIdlest = isIdle && (!found || entry->getLastActiveTime() < found->getLastActiveTime());
        if (isIdlest && entry->isDelivered())
            found = entry;
    }
    if (!found)
        return false;
    reportRefusal("connections");
    found->close();
    return true;
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

void http_server::setAccount(std::shared_ptr<memory_account> account)
{
    m_state->account = std::move(account);
}

void http_server::setBudget(std::shared_ptr<connection_budget> budget)
{
    m_state->budget = std::move(budget);
}

void http_server::setReceiveLimits(const receive_limits& limits) { m_state->receiveLimits = limits; }

void http_server::setRefusalHooks(refusal_hook onRefused, std::function<void(response_head&)> describeRefusal)
{
    m_state->onRefused = std::move(onRefused);
    m_state->describeRefusal = std::move(describeRefusal);
}

void http_server::beginClosing() { m_state->isClosing = true; }

void http_server::tick()
{
    const auto now = m_state->time.now();
    const std::vector<std::shared_ptr<server_connection>> connections(
        m_state->connections.begin(), m_state->connections.end());
    for (const auto& entry : connections)
        entry->checkTimeouts(now);
}

std::size_t http_server::cutOffBlockingCalls(milliseconds timeLeft)
{
    const auto connections = m_state->connections;
    std::size_t count = 0;
    for (const auto& entry : connections)
        count += entry->cutOffBlockingCalls(timeLeft);
    return count;
}

std::size_t http_server::cutOffCalls()
{
    const auto connections = m_state->connections;
    std::size_t count = 0;
    for (const auto& entry : connections)
        count += entry->cutOffCalls();
    return count;
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
    const std::vector<std::shared_ptr<server_connection>> connections(
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

bool http_server::isLingering() const
{
    const auto& connections = m_state->connections;
    return std::any_of(
        connections.begin(), connections.end(), [](const auto& entry) { return entry->isLingering(); });
}

std::size_t http_server::getConnectionCount() const { return m_state->connections.size(); }

std::size_t http_server::getOpenCallCount() const { return m_state->openCallCount; }

} // namespace fuchsiagauge
