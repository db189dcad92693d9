#pragma once

#include "mesh/peer_pools.h"
#include "policy/replica_exchange.h"
#include "transport/incoming_call.h"

#include <memory>

namespace fuchsiagauge {

/// @return whether a request from another node is a poll for published items.
bool isReplicaPoll(const call_request& request);

/// Answers another node's poll for published items, possibly later.
void serveReplicaPoll(replica_exchange& exchange, const std::shared_ptr<incoming_call>& incoming);

/// Sends a poll for published items to another node.
/// @param onAnswer receives the answer, or nothing if there is no valid one in time.
void sendReplicaPoll(peer_pools& pools, const address& peer, const replica_poll& poll, milliseconds expiresAt,
    replica_exchange::answer_hook onAnswer);

} // namespace fuchsiagauge
