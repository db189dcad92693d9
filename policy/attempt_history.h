#pragma once

#include "core/peer_envelope.h"

#include <string>
#include <vector>

namespace fuchsiagauge {

/// Tracks the attempts made for one request and decides whether another one may follow.
///
/// Only instances that received the request count towards the route's limit on instances; an attempt that was
/// refused on the way to its instance does not. A request that is not idempotent is never sent again after an
/// instance may have run it, and never to an instance that has received it: responses name the request, so
/// the response to a second send could not be told from a late copy of the first one.
class attempt_history {
public:
    /// @param maxInstances largest number of instances that may receive the request.
    /// @param isIdempotent whether the request may run more than once.
    attempt_history(int maxInstances, bool isIdempotent);

    /// Records that the request is being sent to an instance.
    void onSend(const std::string& instance);

    /// Records how the last attempt ended.
    void onEnd(attempt_outcome outcome);

    /// @param outcome how the last attempt ended.
    /// @param downstreamFailure how a call that the instance made for the request failed, if one did.
    /// @return whether another attempt may follow.
    bool mayRetry(attempt_outcome outcome, downstream_failure downstreamFailure) const;

    /// @return the only instance that may be tried next: the last one that received the idempotent request,
    /// once the limit on instances is reached and the request has certainly not run; empty if there is no
    /// such restriction.
    std::string getRequiredInstance() const;

    /// @return whether any instance has received the request.
    bool wasReceived() const { return !m_receivedBy.empty(); }

    /// @return the instances tried so far, which should not be picked again; one entry for each attempt.
    const std::vector<std::string>& getTriedInstances() const { return m_triedInstances; }

private:
    bool isInstanceLimitReached() const;

    int m_maxInstances;
    bool m_isIdempotent;
    bool m_mayHaveRun = false;
    std::vector<std::string> m_triedInstances;
    std::vector<std::string> m_receivedBy;
};

/// @return whether an attempt with this outcome delivered the request to an instance.
bool isReceivedByInstance(attempt_outcome outcome);

} // namespace fuchsiagauge
