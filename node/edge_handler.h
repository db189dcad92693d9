#pragma once

#include "node/call_dispatcher.h"
#include "transport/response_writer.h"

namespace fuchsiagauge {

class order_desk;

/// Serves the calls of external callers.
class edge_handler {
public:
    edge_handler(node_parts& parts, call_dispatcher& dispatcher, order_desk& orders);

    /// Serves one call.
    void handle(call_request& request, response_writer& writer, boost::asio::yield_context yield);

private:
    dispatch_plan makePlan(const call_request& request);

    node_parts& m_parts;
    call_dispatcher& m_dispatcher;
    order_desk& m_orders;
};

} // namespace fuchsiagauge
