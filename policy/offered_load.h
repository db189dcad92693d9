#pragma once

#include "core/clock.h"

#include <map>

namespace fuchsiagauge {

/// The work that requests ask of an instance, relative to what it can do, by priority.
///
/// Refused requests count as well, so the load is above 1 while more work arrives than the instance can do.
/// Covers about the last 150 ms.
class offered_load {
public:
    /// Counts a request that arrives.
    /// @param priority the request's priority; 0 is the most important.
    /// @param work time for which it is expected to hold a slot.
    void onArrival(milliseconds now, int priority, milliseconds work);

    /// @param priority requests of this priority and more important ones count.
    /// @param slots the instance's slots.
    /// @return the offered work relative to the capacity.
    double getLoad(milliseconds now, int priority, int slots) const;

private:
    double getDecay(milliseconds now) const;

    std::map<int, double> m_workMs; ///< By priority, decayed to `m_decayedAt`.
    milliseconds m_decayedAt;
    milliseconds m_startedAt { -1 };
};

} // namespace fuchsiagauge
