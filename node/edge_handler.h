#pragma once

#include "node/call_dispatcher.h"
#include "transport/response_writer.h"

namespace fuchsiagauge {

class order_handler;

/// Serves the requests of callers outside the fleet, at the edge address.
class edge_handler {
public:
    edge_handler(node_context& nodeContext, call_dispatcher& dispatcher, order_handler& orderHandler);

    /// Serves one request: as an order if it needs a ticket, otherwise as a plain call.
    void handle(call_request& request, response_writer& writer, boost::asio::yield_context yield);

private:
    dispatch_plan makePlan(const call_request& request);

    node_context& m_nodeContext;
    call_dispatcher& m_dispatcher;
    order_handler& m_orderHandler;
};

} // namespace fuchsiagauge
