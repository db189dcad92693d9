#pragma once

#include "mesh/mesh_context.h"
#include "transport/incoming_call.h"

#include <memory>

namespace fuchsiagauge {

/// Runs a request from another node on the local instance and sends the response back with a reply envelope.
/// @param context the node's components; must outlive the call.
/// @param incoming the request, with a call envelope in its header fields.
void serveInboundCall(mesh_context& context, const std::shared_ptr<incoming_call>& incoming);

} // namespace fuchsiagauge
