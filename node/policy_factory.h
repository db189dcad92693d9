#pragma once

#include "core/settings.h"
#include "node/node_context.h"
#include "policy/admission_controller.h"

namespace fuchsiagauge {

/// Creates the node's policies from its settings: the naive ones if `policy.naive` is set, otherwise the
/// standard ones without the mechanisms that `policy.switched_off` names.
/// @param nodeContext receives the policies.
/// @param hooks called by the admission controller when its state changes.
/// @return whether all mechanisms named in `policy.switched_off` exist; if not, the reason is recorded by
/// fail().
bool makePolicies(node_context& nodeContext, const admission_hooks& hooks);

} // namespace fuchsiagauge
