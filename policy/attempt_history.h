#pragma once

#include "core/peer_envelope.h"

#include <string>
#include <vector>

namespace fuchsiagauge {

/// The attempts made for one request, and whether another one may follow.
///
/// What an instance has seen counts against the route's bound on instances; what was refused on the way to
/// one does not. A request that runs at most once is never sent again after an instance may have run it.
class attempt_history {
public:
    /// @param maxInstances instances that may see the request.
    /// @param isIdempotent whether it may run more than once.
    attempt_history(int maxInstances, bool isIdempotent);

    /// Takes in that the request is sent to an instance.
    void onSend(const std::string& instance);

    /// Takes in how the last attempt ended.
    void onEnd(attempt_outcome outcome);

    /// @param outcome how the last attempt ended.
    /// @param below how a call that the instance made for it failed.
    /// @return whether another attempt may follow.
    bool mayRetry(attempt_outcome outcome, failure_below downstreamFailure) const;

    /// @return the only instance that may be asked next, as it refused the request and no other one may see
    /// it; empty if any instance that was not tried may be.
    std::string getRequiredInstance() const;

    /// @return whether an instance has seen the request.
    bool wasReceived() const { return !m_receivedBy.empty(); }

    /// @return instances that are not to be tried again.
    const std::vector<std::string>& getTriedInstances() const { return m_triedInstances; }

private:
    bool isInstanceLimitReached() const;

    int m_maxInstances;
    bool m_isIdempotent;
    bool m_mayHaveRun = false;
    std::vector<std::string> m_triedInstances;
    std::vector<std::string> m_receivedBy;
};

/// @return whether an instance has seen a request whose attempt ended so.
bool isReceivedByInstance(attempt_outcome outcome);

} // namespace fuchsiagauge
