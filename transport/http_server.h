#pragma once

#include "core/address.h"
#include "core/clock.h"
#include "core/traffic_rules.h"
#include "transport/connection_budget.h"
#include "transport/incoming_call.h"
#include "transport/memory_account.h"
#include "transport/receive_limits.h"
#include "transport/receive_memory.h"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

namespace fuchsiagauge {

/// Accepts HTTP connections and passes each complete request to a hook.
///
/// Requests may be pipelined: several can be in progress on one connection, and their responses are sent in
/// the order of the requests. The server uses callbacks instead of coroutines, so that a typical request
/// costs one read and one write. It must only be used from the thread that runs its io_context.
class http_server {
public:
    /// Receives one request, which must be answered or dropped.
    using call_hook = std::function<void(const std::shared_ptr<incoming_call>&)>;

    /// Receives the reason for which a request was refused or cut off, or a connection closed: `memory`,
    /// `slow-reader`, `held-up`, `trailer`, `chunk-extension`, `chunks`, `body-idle`, `head-idle` or
    /// `connections`.
    using refusal_hook = std::function<void(const char* reason)>;

    /// Creates a server that is not open yet.
    /// @param io runs the connections.
    /// @param time the node's clock.
    /// @param maxConnections most connections at a time; further ones wait in the kernel's listen queue.
    /// @param onCall receives each request.
    http_server(boost::asio::io_context& io, clock time, std::size_t maxConnections, call_hook onCall);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Binds to an address and starts accepting connections.
    /// @param local address to listen on; port 0 selects a free port.
    /// @return the address that was bound, or nothing with error_kind::BadSettings.
    std::optional<address> open(const address& local);

    /// Sets the limits on clients. On open connections, the size limits apply after the message that is
    /// currently being received.
    void setLimits(const client_limits& limits);

    /// Sets how long a client of a new connection may read nothing of its response before the connection
    /// fails.
    void setSendTimeout(milliseconds timeout);

    /// Sets where responses are accounted for until their clients have read them; null: nowhere. To be called
    /// before open().
    void setMemory(std::shared_ptr<receive_memory> memory);

    /// Sets the account of requests and responses; null: none. Replaces setMemory(). To be called before
    /// open().
    void setAccount(std::shared_ptr<memory_account> account);

    /// Sets the limit on the connections of several servers; null: none. To be called before open().
    void setBudget(std::shared_ptr<connection_budget> budget);

    /// Sets the limits on the bodies of requests. They apply to the requests that follow.
    void setReceiveLimits(const receive_limits& limits);

    /// Sets the hooks that are called when a request is refused before it has been received.
    /// @param onRefused receives the reason.
    /// @param describeRefusal may add fields to a refusal for lack of memory.
    void setRefusalHooks(refusal_hook onRefused, std::function<void(response_head&)> describeRefusal);

    /// Closes each connection from now on after its next response, once no further request is in progress on
    /// it.
    void beginClosing();

    /// Closes connections that have been idle for too long, those that stalled in the middle of a request and
    /// those whose clients don't close them after the last response. Must be called regularly.
    void tick();

    /// Cuts off the requests that hold up responses which are ready behind them, on each connection where the
    /// time that is left is just enough to deliver these responses. To be called regularly before close().
    /// @param timeLeft time until close().
    /// @return the number of requests that were cut off.
    std::size_t cutOffBlockingCalls(milliseconds timeLeft);

    /// Cuts off all requests that have no response yet: each must be given one at once. To be called just
    /// before close().
    /// @return their number.
    std::size_t cutOffCalls();

    /// Stops accepting connections and closes the existing ones.
    void close();

    /// Accepts no further connections and shuts down those that are open. To be called when the server is
    /// drained; requests that cross the shutdown are not read.
    void shutDown();

    /// @return whether nothing is under way on any connection: no request in progress or partly received, and
    /// no response partly sent.
    bool isDrained() const;

    /// @return whether a client may still be receiving its last responses on a connection that is shut down.
    bool isLingering() const;

    /// @return the number of open connections.
    std::size_t getConnectionCount() const;

    /// @return the number of requests whose response has not been passed on for sending.
    std::size_t getOpenCallCount() const;

    struct state;

private:
    std::shared_ptr<state> m_state;
};

} // namespace fuchsiagauge
