#pragma once

#include "core/call_context.h"
#include "core/clock.h"
#include "node/cancel_scope.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace fuchsiagauge {

/// Work that the local target is doing now.
struct in_flight_attempt {
    call_context context;
    milliseconds expiresAt; ///< Instant of the deadline on this node's clock.
    cancel_scope outgoingCalls; ///< Cancels the calls that the work has sent out.
    bool isDownstreamShed = false; ///< A call that the work has sent out was refused further down.
};

/// The attempts that are open at the local target, by attempt id.
class in_flight_attempts {
public:
    /// Registers an attempt before it is handed to the target.
    void add(const call_context& context, milliseconds expiresAt);

    /// Ends an attempt and cancels the calls it still has out.
    void remove(const std::string& attemptId);

    /// @return the entry, or null if the attempt is not open.
    std::shared_ptr<in_flight_attempt> find(const std::string& attemptId) const;

private:
    std::unordered_map<std::string, std::shared_ptr<in_flight_attempt>> m_entries;
};

} // namespace fuchsiagauge
