#pragma once

#include <optional>
#include <string>

namespace fuchsiagauge {

/// Decides which outgoing attempts may be made for the requests that a node is serving.
class retry_policy {
public:
    virtual ~retry_policy() = default;

    /// Registers a request that was admitted for this node's target or that entered the fleet at this node.
    /// @param attemptId id of the incoming attempt that carried the request.
    /// @param allowance retries granted to that attempt.
    virtual void open(const std::string& attemptId, int allowance) = 0;

    /// Requests permission for an outgoing attempt on behalf of a registered request.
    /// @param attemptId id under which the request is registered.
    /// @param isRetry whether the attempt is a retry of an earlier one.
    /// @return the retries granted to the attempt; nothing if the attempt is a retry and none is allowed.
    virtual std::optional<int> beginAttempt(const std::string& attemptId, bool isRetry) = 0;

    /// Ends an outgoing attempt.
    /// @param attemptId id under which the request is registered.
    /// @param grantedRetries the retries that beginAttempt() granted.
    /// @param unspent granted retries that the response reported as unspent; nothing if the response was
    /// lost.
    virtual void endAttempt(const std::string& attemptId, int grantedRetries, std::optional<int> unspent) = 0;

    /// Removes a registered request.
    /// @param attemptId id under which the request is registered.
    /// @return the unspent part of its allowance.
    virtual int close(const std::string& attemptId) = 0;
};

} // namespace fuchsiagauge
