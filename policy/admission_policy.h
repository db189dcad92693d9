#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/preset.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace fuchsiagauge {

/// A request for admission to the local target.
struct admission_request {
    std::string attemptId;
    std::uint32_t rank = 0; ///< See getAdmissionRank(); higher is more important.
    milliseconds expiresAt; ///< Time of the deadline.
};

/// Receives the decision on a request: std::nullopt to start it now, otherwise the reason for the refusal.
///
/// Called exactly once for each request, possibly before submit() returns.
using decision_hook = std::function<void(std::optional<error_kind>)>;

/// Decides when requests are sent to one target.
class admission_policy {
public:
    virtual ~admission_policy() = default;

    /// Submits a request for admission.
    /// @param now the current time.
    /// @param request the request; its attempt id must not be in use.
    /// @param decide receives std::nullopt to start now, or Shed, QueueTimeout, DeadlineExceeded,
    /// TargetLeaving or Cancelled.
    virtual void submit(milliseconds now, const admission_request& request, decision_hook decide) = 0;

    /// Reports the end of a started request.
    /// @param attemptId the attempt id of the started request; unknown ids are ignored.
    /// @param now the current time.
    /// @param isSuccess whether the target returned a usable response.
    virtual void finish(const std::string& attemptId, milliseconds now, bool isSuccess) = 0;

    /// Reports that a call made for a started request was refused downstream because of overload.
    virtual void onDownstreamShed(const std::string& attemptId) = 0;

    /// Removes a waiting request with Cancelled; a started one stays until finish().
    virtual void cancel(const std::string& attemptId, milliseconds now) = 0;

    /// Runs periodic work; called about every 10 ms.
    virtual void tick(milliseconds now) = 0;

    /// Applies new rules. Waiting and running requests are kept, except for those that exceed a smaller
    /// queue.
    virtual void setRules(const service_rules& rules) = 0;

    /// Sets the number of slots that the target publishes.
    /// @param slots the number of slots; 0: not published.
    virtual void setPublishedSlots(int slots) = 0;

    /// Starts or ends the refusal of all requests while the target is leaving.
    /// @param isLeaving whether new and waiting requests are refused with TargetLeaving.
    virtual void setLeaving(bool isLeaving) = 0;

    /// @return the concurrency limit.
    virtual int getLimit() const = 0;

    /// @return the number of started requests that have not finished.
    virtual int getInFlight() const = 0;

    /// @return the number of waiting requests.
    virtual int getQueued() const = 0;

    /// @return the rank below which callers should not send requests; 0: all requests may be sent.
    virtual std::uint32_t getAdmissionLevel() const = 0;
};

} // namespace fuchsiagauge
