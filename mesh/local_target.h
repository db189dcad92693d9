#pragma once

#include "core/peer_envelope.h"
#include "mesh/target_protocol.h"
#include "policy/call_tree_node.h"
#include "policy/entry_admission.h"
#include "policy/retry_budget.h"
#include "policy/slot_gate.h"
#include "transport/pooled_http_client.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace fuchsiagauge {

/// How an attempt at an instance ended.
struct attempt_result {
    attempt_outcome outcome = attempt_outcome::Lost;
    response_head head; ///< Head of the response, if there is one.
    std::string body;
    std::string detail; ///< Why there is no response, or which refusal shows that the request has not run.
    slot_report load; ///< The instance's load when the attempt ended; valid if `hasLoad`.
    bool hasLoad = false;
    bool isInstanceLeaving = false; ///< The instance has announced that it is about to stop.
    /// How a downstream call that the instance made for the request failed.
    downstream_failure downstreamFailure = downstream_failure::None;
    /// The service whose load is the reason for a refusal by this node's gate; empty if there is none.
    std::string bottleneck;
    std::vector<service_capacity> capacities; ///< Of the instance's service and those further down.
};

/// The properties that downstream calls inherit from a request running on the local instance.
struct parent_request {
    int priority = 0;
    int depth = 0;
    int rank = 0;
    bool isRetry = false; ///< An instance may already have seen this request or a request it was made for.
    milliseconds expiresAt;
    std::string organisation; ///< Organisation that the request counts for; empty if it has none.
    /// The worst failure of a downstream call so far.
    downstream_failure downstreamFailure = downstream_failure::None;
};

/// Called when an attempt has ended.
using attempt_hook = std::function<void(attempt_result)>;
/// Called each time a request is sent to the local instance again, with the request's id and the refusal that
/// shows that the request has not run.
using local_retry_hook = std::function<void(const std::string& requestId, const std::string& refusal)>;

/// The local instance, with the admission control in front of it.
///
/// Every request to the instance goes through this class, whichever node received it from the client. So the
/// `slot_gate` sees the full load of the instance, and the `retry_budget` counts every first arrival and
/// every retry.
class local_target {
public:
    /// @param service service of the instance.
    /// @param target address of the instance.
    /// @param protocol how to exchange metadata with the instance; must outlive this object.
    /// @param limits fleet-wide limits on retries.
    /// @param memory limits the memory for responses; may be null.
    /// @param onLocalRetry reports local retries.
    local_target(boost::asio::io_context& io, clock time, std::string service, address target,
        const target_protocol& protocol, retry_limits limits, std::shared_ptr<receive_memory> memory,
        local_retry_hook onLocalRetry);

    /// Runs a request as soon as a slot is free.
    /// @param request the request with the client's header fields.
    /// @param call priority, deadline and other properties of the request.
    /// @param onEnd called exactly once unless the request is cancelled, possibly before run() returns.
    /// @return an id for cancel().
    std::uint64_t run(const call_request& request, const peer_call& call, attempt_hook onEnd);

    /// Cancels a request: removes it from the queue or closes its connection to the instance.
    /// @return whether the instance may have seen the request.
    bool cancel(std::uint64_t id);

    /// Looks up a request that is running on the instance.
    /// @return the properties that its downstream calls inherit, or nothing if it is not running.
    std::optional<parent_request> findRunningRequest(const std::string& requestId) const;

    /// Records that a downstream call of a running request failed. The most severe failure is kept; requests
    /// that are not running are ignored.
    void recordDownstreamFailure(const std::string& requestId, downstream_failure failure);

    /// Records what the reply to a downstream call of a running request states.
    /// @param service the service that was called.
    void recordDownstreamReply(
        const std::string& requestId, const std::string& service, const attempt_result& result);

    /// @return what is known of the call trees that pass the instance.
    const call_tree_node& getCallTrees() const { return m_callTrees; }

    /// Lets requests enter by the load of the services that their calls will reach, and tells callers of it.
    void useCallTrees(bool isUsed) { m_usesCallTrees = isUsed; }

    /// Refuses requests that have waited too long and ends those that have timed out.
    void tick();

    /// Sets how many requests the instance can run at the same time.
    void setSlots(int slots);

    /// Sets how many instances of the service share its retry budget.
    void setInstanceCount(int count) { m_retryBudget.setInstanceCount(count); }

    /// Sets whether the instance is draining; while it is, new and waiting requests are refused.
    void setDraining(bool isDraining);

    /// Closes idle connections and forgets what the instance has stated. Used after it has been replaced.
    void onInstanceReplaced();

    /// Lets few requests run at first. Used for an instance that has just started.
    void beginFilling() { m_gate.beginFilling(m_time.now()); }

    /// @return the share of the requests of a priority that may enter here, 0 to 1.
    double getEntryShare(int priority) const { return m_entryAdmission.getShare(priority); }

    /// @return how far the instance has been opened to requests.
    fill_state getFillState() const { return m_gate.getFillState(); }

    /// @return the slots of the instance, the requests waiting for them and the pace that it has stated.
    slot_report getLoad() const;

private:
    /// A request that waits for a slot or runs on the instance.
    struct active_request {
        call_request request;
        peer_call call;
        milliseconds expiresAt;
        milliseconds startedAt;
        pooled_http_client::handle pendingSend; ///< The exchange with the instance, to cancel it.
        attempt_hook onEnd;
        int sendCount = 0; ///< How often it was sent to the instance.
        downstream_failure downstreamFailure = downstream_failure::None;
        std::vector<service_need> needs; ///< What its downstream calls needed.
    };

    /// @return whether the request is not a retry, or is one that the budget allows.
    bool isWithinRetryBudget(const peer_call& call, milliseconds now);
    void start(std::uint64_t id);
    void sendToInstance(std::uint64_t id, active_request& active);
    void recordOutcome(const active_request& active, const attempt_result& result);
    bool isAdmittedAtEntry(const peer_call& call, milliseconds now);
    void recordArrivalAtGate(const peer_call& call, milliseconds now);
    void describeInstance(const peer_call& call, attempt_result& result) const;
    void recordArrival(const outgoing_result& outgoing);
    void recordStatements(const target_response_info& info);
    bool mayRetryLocally(const active_request& active, const outgoing_result& outgoing);
    void refuse(std::uint64_t id, attempt_outcome outcome);
    active_request extract(std::unordered_map<std::uint64_t, active_request>::iterator position);
    void finish(std::uint64_t id, outgoing_result outgoing);
    attempt_result readResult(outgoing_result outgoing);
    void updateEntryAdmission(const peer_call& call, const attempt_result& result);

    clock m_time;
    const target_protocol& m_protocol;
    slot_gate m_gate;
    entry_admission m_entryAdmission;
    call_tree_node m_callTrees;
    bool m_usesCallTrees = false;
    retry_budget m_retryBudget;
    local_retry_hook m_onLocalRetry;
    pooled_http_client m_pool;
    std::unordered_map<std::uint64_t, active_request> m_activeRequests;
    /// Keys in `m_activeRequests` of the requests running on the instance, by request id.
    std::unordered_map<std::string, std::uint64_t> m_runningIds;
    std::uint64_t m_lastId = 0;
    bool m_hasResponded = false; ///< Whether this start of the instance has responded to a request.
    double m_slowdown = 1; ///< As the instance has last stated it.
    milliseconds m_slowdownAt;
    bool m_isInstanceLeaving = false; ///< Whether this start of the instance has announced that it stops.
};

} // namespace fuchsiagauge
