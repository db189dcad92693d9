#pragma once

#include "node/attempt.h"
#include "node/target_runner.h"
#include "transport/response_writer.h"

namespace fuchsiagauge {

class order_handler;

/// Serves calls of other nodes, at the mesh address. They go to the local target and are not forwarded.
class mesh_handler {
public:
    mesh_handler(node_context& nodeContext, target_runner& runner, order_handler& orderHandler);

    /// Serves one call. Answers to other regions are paced within the link's byte budget.
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
