#pragma once

#include "core/address.h"
#include "core/clock.h"
#include "core/error.h"
#include "transport/call.h"
#include "transport/receive_memory.h"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace fuchsiagauge {

/// The result of an outgoing call.
struct outgoing_result {
    bool isAnswered = false; ///< A complete response arrived; otherwise see `failure`.
    response_head head;
    std::string body;
    error failure;
    bool mayHaveArrived = false; ///< Whether any byte of the request may have reached the remote side.
    bool isConnectionReused = false; ///< The connection had carried another call before.
    milliseconds duration; ///< From the start of the call, including the connection's, to its end.
    call_request request; ///< Set if the call was answered, so that it can be sent again.
};

/// An outgoing call: the request and the conditions for sending it.
struct outgoing_request {
    call_request request;
    milliseconds expiresAt; ///< The call then fails with AnswerTimeout.
    /// Returns whether a response belongs to this request. Those to others are discarded. One that names no
    /// request fails the call as one that may have arrived: it may be left over from another request, or have
    /// been sent before the remote side has read this one. If empty, all are accepted.
    std::function<response_match(const response_head&)> matchResponse;
    /// If set, the request is not sent on a connection that has carried a request with this id: a late copy
    /// of the response to the earlier one could not be told from the response to this one.
    std::string id;
    milliseconds maxIdleTime { 1e9 }; ///< Connections that have been idle for longer are not reused.
};

/// Limits of a pooled_http_client.
struct pool_limits {
    milliseconds connectTimeout { 500 }; ///< Allows several round trips between regions.
    milliseconds idleTimeout { 4000 }; ///< Connections that have been idle for longer are closed.
    std::size_t connections = 1000; ///< Most at a time; further calls fail with TargetUnreachable.
    std::size_t responseBytes = 67108864; ///< Largest response body that is accepted.
    std::shared_ptr<receive_memory> memory; ///< Shared by several clients; null: unlimited.
};

/// Sends requests to one address over persistent connections, one request at a time on each.
///
/// A call that fails or is cancelled closes its connection, so that a late response can't be mistaken for the
/// response to another request. If the remote side ends the connection while a request is being sent, a
/// response that was complete by then is the result. A request that is sent again goes over another
/// connection. Idle connections are monitored: one that receives unexpected data or is closed by the remote
/// side is removed at once. A head that is made up of two responses fails the call as one that may have
/// arrived.
class pooled_http_client {
public:
    using result_hook = std::function<void(outgoing_result)>;

    class connection;

    /// Identifies a call for cancel(), which has no effect once the call has ended.
    struct handle {
        std::weak_ptr<connection> owner;
        std::uint64_t callNumber = 0;
    };

    /// @param io runs the connections.
    /// @param time the node's clock.
    /// @param remote address to connect to.
    /// @param limits limits on connections and responses.
    pooled_http_client(boost::asio::io_context& io, clock time, address remote, pool_limits limits);
    ~pooled_http_client();
    pooled_http_client(const pooled_http_client&) = delete;
    pooled_http_client& operator=(const pooled_http_client&) = delete;

    /// Sends a request.
    /// @param request the request and the conditions for sending it.
    /// @param onResult called once with the result, but never before send() returns. Not called if the call
    /// is cancelled or the client is destroyed.
    /// @return a handle for cancel().
    handle send(outgoing_request request, result_hook onResult);

    /// Cancels a call and closes its connection. Its `onResult` is not called any more.
    static void cancel(const handle& call);

    /// Fails calls that have timed out and closes connections that have been idle for too long. Must be
    /// called regularly.
    void tick();

    /// Closes idle connections, for example after a notification that the remote side has been replaced.
    void closeIdle();

    /// @return the number of calls in progress.
    std::size_t getOpenCallCount() const;

    struct state;

private:
    std::shared_ptr<state> m_state;
};

} // namespace fuchsiagauge
