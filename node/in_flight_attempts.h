#pragma once

#include "core/call_context.h"
#include "core/clock.h"
#include "node/cancel_scope.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace fuchsiagauge {

/// An attempt that the local target is serving.
struct in_flight_attempt {
    call_context context;
    milliseconds expiresAt; ///< Time of the deadline on this node's clock.
    cancel_scope outgoingCalls; ///< Cancels the calls that the target made for this attempt.
    bool isDownstreamShed = false; ///< Whether such a call was refused because of overload.
};

/// The attempts that the local target is serving, by attempt id.
class in_flight_attempts {
public:
    /// Adds an attempt; called before the attempt is sent to the target.
    /// @param context the attempt's context.
    /// @param expiresAt time of the deadline on this node's clock.
    void add(const call_context& context, milliseconds expiresAt);

    /// Removes an attempt and cancels its outgoing calls that have not ended; unknown ids are ignored.
    void remove(const std::string& attemptId);

    /// @return the attempt, or null if it is not in flight.
    std::shared_ptr<in_flight_attempt> find(const std::string& attemptId) const;

private:
    std::unordered_map<std::string, std::shared_ptr<in_flight_attempt>> m_entries;
};

} // namespace fuchsiagauge
