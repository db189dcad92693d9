#pragma once

#include "node/call_dispatcher.h"
#include "transport/response_writer.h"

namespace fuchsiagauge {

/// Serves the local target's outgoing calls.
class egress_handler {
public:
    egress_handler(node_parts& parts, call_dispatcher& dispatcher);

    /// Serves one call.
    void handle(call_request& request, response_writer& writer, boost::asio::yield_context yield);

private:
    void serveWork(const call_request& request, const std::string& service, const call_context& context,
        response_writer& writer, boost::asio::yield_context yield);
    void serveOwn(const call_request& request, const std::string& service, response_writer& writer,
        boost::asio::yield_context yield);

    node_parts& m_parts;
    call_dispatcher& m_dispatcher;
};

} // namespace fuchsiagauge
