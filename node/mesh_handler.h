#pragma once

#include "node/attempt.h"
#include "node/target_runner.h"
#include "transport/response_writer.h"

namespace fuchsiagauge {

class order_desk;

/// Serves the calls of other nodes, at the local target only.
class mesh_handler {
public:
    mesh_handler(node_parts& parts, target_runner& runner, order_desk& orders);

    /// Serves one call.
    void handle(call_request& request, response_writer& writer, boost::asio::yield_context yield);

private:
    void serve(call_request& request, const call_context& context, response_writer& writer,
        boost::asio::yield_context yield);
    void sendFailure(response_writer& writer, const call_context& context, const attempt_result& end,
        boost::asio::yield_context yield);

    node_parts& m_parts;
    target_runner& m_runner;
    order_desk& m_orders;
};

} // namespace fuchsiagauge
