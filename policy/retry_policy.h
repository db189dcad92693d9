#pragma once

#include <optional>
#include <string>

namespace fuchsiagauge {

/// Decides which attempts may be made for the requests that a node works on.
class retry_policy {
public:
    virtual ~retry_policy() = default;

    /// Registers work admitted at this node's target, or a request that entered at this edge.
    /// @param attemptId id of the attempt that brought the work here.
    /// @param allowance retries handed down with it.
    virtual void open(const std::string& attemptId, int allowance) = 0;

    /// Asks for an outgoing attempt on behalf of registered work.
    /// @param attemptId id of the registered work.
    /// @param isRetry whether the attempt repeats an earlier one.
    /// @return the allowance to hand down with the attempt; nothing if no retry is allowed.
    virtual std::optional<int> beginAttempt(const std::string& attemptId, bool isRetry) = 0;

    /// Settles an outgoing attempt.
    /// @param attemptId id of the registered work.
    /// @param grantedRetries what beginAttempt() returned.
    /// @param unspent what the answer returned; nothing if the answer was lost.
    virtual void endAttempt(const std::string& attemptId, int grantedRetries, std::optional<int> unspent) = 0;

    /// Ends registered work.
    /// @param attemptId id of the registered work.
    /// @return the allowance that was not spent.
    virtual int close(const std::string& attemptId) = 0;
};

} // namespace fuchsiagauge
