#pragma once

#include "core/call_context.h"
#include "core/node_report.h"
#include "node/node_context.h"

namespace fuchsiagauge {

/// Makes the report on this node that its responses to other nodes carry.
/// @param nodeContext the node's components.
/// @param unspentRetries unspent part of the retry allowance that the caller's node granted.
/// @return the report.
node_report makeSelfReport(const node_context& nodeContext, int unspentRetries);

} // namespace fuchsiagauge
