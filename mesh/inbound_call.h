#pragma once

#include "mesh/mesh_context.h"
#include "transport/incoming_call.h"

#include <memory>

namespace fuchsiagauge {

/// Serves a request that another node sends to the instance on this VM, and answers it with the envelope.
/// @param context the node's parts; outlive the call.
/// @param incoming the request.
void serveInboundCall(mesh_context& context, const std::shared_ptr<incoming_call>& incoming);

} // namespace fuchsiagauge
