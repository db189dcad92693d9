#pragma once

#include "node/attempt.h"
#include "node/target_runner.h"
#include "transport/response_writer.h"

namespace fuchsiagauge {

class order_handler;

/// Handles the calls that other nodes send to this node's mesh address.
///
/// Requests with a ticket and requests for the ticket API go to the order handler, all others to the local
/// target. A call that goes to the target is never forwarded to another node.
class mesh_handler {
public:
    mesh_handler(node_context& nodeContext, target_runner& runner, order_handler& orderHandler);

    /// Handles one call. A response to another region is sent no faster than the budget of the link between
    /// regions permits.
    void handle(call_request& request, response_writer& writer, boost::asio::yield_context yield);

private:
    void serve(call_request& request, const call_context& context, response_writer& writer,
        boost::asio::yield_context yield);
    void sendFailure(response_writer& writer, const call_context& context, const attempt_result& result,
        boost::asio::yield_context yield);

    node_context& m_nodeContext;
    target_runner& m_runner;
    order_handler& m_orderHandler;
};

} // namespace fuchsiagauge
