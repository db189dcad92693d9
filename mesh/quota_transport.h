#pragma once

#include "mesh/peer_pools.h"
#include "policy/quota_agent.h"
#include "transport/incoming_call.h"

#include <memory>
#include <string>

namespace fuchsiagauge {

/// @return whether a request from another node is a report of shares or a call for one.
bool isQuotaMessage(const call_request& request);

/// Answers another node's report or call.
void serveQuotaMessage(quota_agent& quota, const clock& time, const std::shared_ptr<incoming_call>& incoming);

/// Sends a report to the coordinator.
/// @param self host of this node.
/// @param onAnswer receives the answer, or nothing if there is no valid one in time.
void sendQuotaReport(peer_pools& pools, const clock& time, const std::string& self, const address& peer,
    const quota_report& report, milliseconds timeout, quota_agent::answer_hook onAnswer);

/// Sends a call for reports to another node.
void sendQuotaCall(peer_pools& pools, const clock& time, const std::string& self, const address& peer,
    const quota_answer& call, milliseconds timeout);

} // namespace fuchsiagauge
