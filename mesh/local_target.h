#pragma once

#include "core/peer_envelope.h"
#include "mesh/target_protocol.h"
#include "policy/entry_admission.h"
#include "policy/repeat_budget.h"
#include "policy/slot_gate.h"
#include "transport/outgoing_pool.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace fuchsiagauge {

/// How an attempt at an instance ended.
struct attempt_result {
    attempt_outcome outcome = attempt_outcome::Lost;
    answer_head head; ///< Of an answer.
    std::string body;
    std::string detail; ///< Why there is no answer.
    slot_report load; ///< The instance's load at the end.
    bool hasLoad = false;
    failure_below downstreamFailure
        = failure_below::None; ///< How a call that the instance made for it failed.
};

/// A request that runs at the local instance, as its calls inherit from it.
struct parent_request {
    int priority = 0;
    int depth = 0;
    int rank = 0;
    bool isRetry = false; ///< An instance may have seen it, or a request above it, before.
    milliseconds expiresAt;
};

using attempt_hook = std::function<void(attempt_result)>;
/// Called when the instance is asked once more, with the request's id.
using local_retry_hook = std::function<void(const std::string& requestId)>;

/// The instance beside this node, behind its gate.
///
/// Every request to the instance passes here, whichever node it came in by, so the gate sees the whole load
/// and the budget for repeats counts every arrival.
class local_target {
public:
    /// @param limits bounds on repeats.
    /// @param onLocalRetry called for each request that the instance is asked for once more.
    local_target(boost::asio::io_context& io, clock time, address target, const target_protocol& protocol,
        repeat_limits limits, local_retry_hook onLocalRetry);

    /// Runs a request once a slot is free.
    /// @param request the request with the client's fields.
    /// @param call how it is to be run.
    /// @param onEnd called once, perhaps before run() returns, unless cancelled.
    /// @return a number for cancel().
    std::uint64_t run(const call_request& request, const peer_call& call, attempt_hook onEnd);

    /// Gives a request up: takes it out of the queue or closes its connection to the instance.
    /// @return whether the instance may have seen it.
    bool cancel(std::uint64_t id);

    /// @param requestId id of a request.
    /// @return what its calls inherit, if it runs at the instance now.
    std::optional<parent_request> findRunningRequest(const std::string& requestId) const;

    /// Takes in that a call of a request that runs here failed.
    void recordDownstreamFailure(const std::string& requestId, failure_below failure);

    /// Ends what has waited or run for too long.
    void tick();

    /// Sets the slots that the instance states.
    void setSlots(int slots);

    /// Sets how many instances provide the service.
    void setInstanceCount(int count) { m_retryBudget.setSharers(count); }

    /// Refuses new and waiting requests while the instance is leaving.
    void setDraining(bool isDraining);

    /// Closes kept connections, as after the instance has been replaced.
    void closeIdleConnections();

    /// @return the gate's state.
    slot_report getLoad() const { return m_gate.getReport(); }

private:
    struct active_request {
        call_request request;
        peer_call call;
        milliseconds expiresAt;
        milliseconds startedAt;
        outgoing_pool::handle sent;
        attempt_hook onEnd;
        int sendCount = 0; ///< Times that it was sent to the instance.
        failure_below downstreamFailure = failure_below::None;
    };

    bool isWithinRetryBudget(const peer_call& call, milliseconds now);
    void start(std::uint64_t id);
    void sendToInstance(std::uint64_t id, active_request& active);
    bool mayRetryLocally(const active_request& active, const outgoing_result& outgoing);
    void refuse(std::uint64_t id, attempt_outcome outcome);
    active_request extract(std::unordered_map<std::uint64_t, active_request>::iterator position);
    void finish(std::uint64_t id, outgoing_result result);
    attempt_result readResult(outgoing_result result);
    void updateEntryAdmission(const peer_call& call, const attempt_result& result);

    clock m_time;
    const target_protocol& m_protocol;
    slot_gate m_gate;
    entry_admission m_entryAdmission;
    repeat_budget m_retryBudget;
    local_retry_hook m_onLocalRetry;
    outgoing_pool m_pool;
    std::unordered_map<std::uint64_t, active_request> m_activeRequests;
    std::unordered_map<std::string, std::uint64_t> m_startedIds;
    std::uint64_t m_lastId = 0;
};

} // namespace fuchsiagauge
