#pragma once

#include "core/call_context.h"
#include "core/node_report.h"
#include "node/node_context.h"

namespace fuchsiagauge {

/// @param unspentRetries allowance to return.
/// @return what the node says of itself on an answer.
node_report makeSelfReport(const node_context& nodeContext, int unspentRetries);

} // namespace fuchsiagauge
