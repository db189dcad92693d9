#pragma once

#include "core/settings.h"
#include "node/node_context.h"
#include "policy/admission_controller.h"

namespace fuchsiagauge {

/// Makes the node's policies from its settings: ours with all mechanisms but those switched off, or the
/// baseline.
/// @param parts gets the policies.
/// @param hooks told of the admission controller's changes.
/// @return whether every mechanism named exists; else the reason is recorded by fail().
bool makePolicies(node_context& nodeContext, const admission_hooks& hooks);

} // namespace fuchsiagauge
