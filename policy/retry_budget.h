#pragma once

#include "core/clock.h"

#include <deque>

namespace fuchsiagauge {

/// Limits on retries over the whole fleet. Only a request that reaches an instance counts as a retry here,
/// and only if an earlier attempt at it, or at a request that it was made for, has already reached an
/// instance.
struct retry_limits {
    double ratio = 0.2; ///< Retries allowed for each request in the window.
    milliseconds window { 10000 };
    double extra = 50; ///< Retries allowed in addition for each service in a window.
};

/// Priority of a retry. The less work a retry can save, the smaller the part of the budget it may use.
enum class retry_priority {
    Inherited, ///< A call made for a request that is itself a retry; refusing it would waste that retry.
    Entry, ///< A request that enters the call graph; a retry of it alone can save it.
    ImportantCall, ///< A call made for a request of the highest priority.
    OtherCall, ///< Any other call; a retry helps only if its failed sibling calls are retried too.
};

/// One instance's share of the fleet-wide retry budget of its service, enforced without communication
/// between nodes.
///
/// The budget of a service is ratio x requests + extra in every sliding window. The node next to an instance
/// sees every request that reaches the instance. It admits at most ratio x first arrivals at its instance
/// plus an equal share of the extra retries, so the sum over all instances stays within the budget however
/// the requests are distributed. As in the fleet-wide limit, the first arrivals are those of the current
/// window, of the window before it or of the window that ended half a window ago, whichever are most.
///
/// When instances reject a large part of their requests, the budget does not carry the retries of all calls.
/// Other calls then leave over what important calls are expected to need in the rest of the window.
class retry_budget {
public:
    explicit retry_budget(retry_limits limits);

    /// Sets the number of instances that share the extra retries of the service.
    void setInstanceCount(int count);

    /// Counts a request that reaches the instance for the first time.
    void onFirstArrival(milliseconds now);

    /// Counts a retry that reaches the instance.
    void onRetry(milliseconds now, retry_priority priority);

    /// @return whether the budget allows another retry of this priority.
    bool isRetryAllowed(milliseconds now, retry_priority priority);

private:
    struct slice {
        milliseconds startedAt;
        int firstArrivals = 0;
        int retries = 0;
        int importantRetries = 0; ///< Those of important calls among them.
        int importantDemand = 0; ///< Retries of important calls that were asked for, allowed or not.
    };

    slice& getCurrentSlice(milliseconds now);
    int countFirstArrivals(milliseconds from, milliseconds to) const;
    int countRetries(milliseconds from) const;
    double getReserve(milliseconds now) const;

    retry_limits m_limits;
    int m_instanceCount = 1;
    std::deque<slice> m_slices; ///< Oldest first; covers two windows.
};

} // namespace fuchsiagauge
