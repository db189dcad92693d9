#pragma once

#include "mesh/mesh_context.h"
#include "transport/call.h"

#include <string>

namespace fuchsiagauge {

/// Path of the report on the metrics listener.
constexpr const char* placementPath = "/place";

/// Reports where a request would go now. Sends nothing and changes nothing.
/// @param context the node's components.
/// @param target path and query of the operator's request. The query has either `service`, or `host` and
/// `path`, and optionally `method`, `size` (bytes) and `organisation` (name).
/// @param head receives the status: 200, or 400 if the query is not valid.
/// @return the report, or the reason for the refusal, as JSON.
std::string reportPlacement(const mesh_context& context, const std::string& target, response_head& head);

} // namespace fuchsiagauge
