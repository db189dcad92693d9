#pragma once

#include "node/call_dispatcher.h"
#include "transport/answer_writer.h"

namespace fuchsiagauge {

class order_handler;

/// Serves the calls of external callers.
class edge_handler {
public:
    edge_handler(node_context& nodeContext, call_dispatcher& dispatcher, order_handler& orders);

    /// Serves one call.
    void handle(call_request& request, answer_writer& writer, boost::asio::yield_context yield);

private:
    dispatch_plan makePlan(const call_request& request);

    node_context& m_nodeContext;
    call_dispatcher& m_dispatcher;
    order_handler& m_orders;
};

} // namespace fuchsiagauge
