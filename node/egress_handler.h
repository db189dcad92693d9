#pragma once

#include "node/call_dispatcher.h"
#include "transport/response_writer.h"

namespace fuchsiagauge {

/// Serves the local target's outgoing calls, at the egress address.
class egress_handler {
public:
    egress_handler(node_context& nodeContext, call_dispatcher& dispatcher);

    /// Serves one call, on behalf of the request that its context header names if there is one.
    void handle(call_request& request, response_writer& writer, boost::asio::yield_context yield);

private:
    void serveDownstreamCall(const call_request& request, const std::string& service,
        const call_context& context, response_writer& writer, boost::asio::yield_context yield);
    void serveBackgroundCall(const call_request& request, const std::string& service, response_writer& writer,
        boost::asio::yield_context yield);

    node_context& m_nodeContext;
    call_dispatcher& m_dispatcher;
};

} // namespace fuchsiagauge
