#pragma once

#include "core/address.h"
#include "core/clock.h"
#include "core/error.h"
#include "transport/call.h"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace fuchsiagauge {

/// How an outgoing call ended.
struct outgoing_result {
    bool isAnswered = false; ///< A whole answer arrived; else see `failure`.
    response_head head;
    std::string body;
    error failure;
    bool mayHaveArrived = false; ///< Whether a byte of the request may have reached the other side.
    call_request request; ///< Of an answered call, for sending it once more.
};

/// A request for an outgoing call.
struct outgoing_request {
    call_request request;
    milliseconds expiresAt; ///< Ends the call with AnswerTimeout.
    std::function<bool(const response_head&)>
        isMatchingResponse; ///< Tells an answer to another request; may be empty.
    milliseconds maxIdleTime { 1e9 }; ///< Connections that have been idle for longer are not used.
};

/// Bounds of a pool.
struct pool_limits {
    milliseconds connectTimeout { 500 }; ///< Several round trips between regions.
    milliseconds idleTimeout { 4000 }; ///< Idle connections are closed after it.
    std::size_t connections = 1000; ///< At once; further calls fail with TargetUnreachable.
    std::size_t responseBytes = 67108864; ///< Largest answer body accepted.
};

/// Sends requests to one address over kept connections, one request at a time on each.
///
/// A call that is given up closes its connection, so that a late answer can't be taken for another request's.
/// An idle connection is watched: bytes that nobody asked for, or its end, take it out of use at once.
class pooled_http_client {
public:
    using result_hook = std::function<void(outgoing_result)>;

    class connection;

    /// Names a call for cancel(); has no effect once the call has ended.
    struct handle {
        std::weak_ptr<connection> owner;
        std::uint64_t callNumber = 0;
    };

    pooled_http_client(boost::asio::io_context& io, clock time, address remote, pool_limits limits);
    ~pooled_http_client();
    pooled_http_client(const pooled_http_client&) = delete;
    pooled_http_client& operator=(const pooled_http_client&) = delete;

    /// Sends a request.
    /// @param request the request and its bounds.
    /// @param onResult called once, never before send() returns.
    /// @return a handle for cancel().
    handle send(outgoing_request request, result_hook onResult);

    /// Gives a call up: closes its connection; the hook isn't called any more.
    static void cancel(const handle& call);

    /// Ends calls and idle connections whose time is over.
    void tick();

    /// Closes idle connections, as after word that the other side has been replaced.
    void closeIdle();

    /// @return calls under way.
    std::size_t getOpenCallCount() const;

    struct state;

private:
    std::shared_ptr<state> m_state;
};

} // namespace fuchsiagauge
