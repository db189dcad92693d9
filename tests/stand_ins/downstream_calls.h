#pragma once

#include "bench/connection_pool.h"
#include "tests/stand_ins/http_server.h"

#include <string>
#include <vector>

namespace fuchsiagauge::stand_in {

/// Result of the downstream calls that a target makes for one request.
struct downstream_result {
    int status = 200; ///< 200, or the status of the first call that failed.
    std::string error; ///< Stable name of the error; empty if the node's response has none.
    std::string service; ///< Service whose call failed.
};

/// Makes a target's downstream calls for each request. The groups run in sequence, the calls of a group in
/// parallel.
class downstream_calls {
public:
    /// @param context I/O context that runs the calls.
    /// @param egress egress address of the local node.
    /// @param calls services to call, such as `stock,store` (in sequence) or `stock+threads,store` (the first
    /// two in parallel); if empty, no calls are made.
    downstream_calls(boost::asio::io_context& context, const address& egress, const std::string& calls);

    /// Makes the calls of one request; stops after a group in which a call failed or the caller disconnected.
    /// @param exchange the request that the calls are made for; they are cancelled if its caller disconnects.
    /// @param timeoutMs time limit of each step of a call: waiting for a connection, connecting, and the
    /// exchange.
    /// @return status 200 if no call failed, otherwise the first failure.
    downstream_result run(http_exchange& exchange, double timeoutMs, const boost::asio::yield_context& yield);

private:
    struct call_group;

    downstream_result call(const std::string& service, const bench::http_request& incoming, double timeoutMs,
        call_group& group, const boost::asio::yield_context& yield);
    downstream_result runGroup(const std::vector<std::string>& services, http_exchange& exchange,
        double timeoutMs, const boost::asio::yield_context& yield);

    boost::asio::io_context& m_context;
    bench::connection_pool m_pool;
    std::vector<std::vector<std::string>> m_groups;
};

} // namespace fuchsiagauge::stand_in
