#pragma once

#include "core/clock.h"

#include <deque>

namespace fuchsiagauge {

/// Bounds on the requests that reach an instance beyond the first time, over the whole fleet.
struct repeat_limits {
    double ratio = 0.2; ///< Repeats per request, over the window.
    milliseconds window { 10000 };
    double extra = 50; ///< Repeats that each service may see besides, in a window.
};

/// What a repeat is for; the less it saves, the earlier the budget is closed to it.
enum class repeat_priority {
    Inherited, ///< A call of a run that was itself a repeat: refusing it would waste that run.
    Entry, ///< A request that enters the call graph: its repeat can save it alone.
    ImportantCall, ///< A call for a request of the first importance.
    OtherCall, ///< Another call: its repeat serves only together with those of its siblings.
};

/// One instance's share of the fleet-wide budget for repeats of its service, kept without talk between nodes.
///
/// The budget of a service is ratio x requests + extra in every sliding window. The node beside an instance
/// sees every request that reaches it. It lets through at most ratio x first arrivals at its instance and the
/// instance's part of the extra, so the sum over the instances stays within the budget however the requests
/// are spread. As in the fleet's bound, the first arrivals of this window, of the one before or of the one
/// half a window before count, whichever are most.
class repeat_budget {
public:
    explicit repeat_budget(repeat_limits limits);

    /// Sets how many instances share the extra repeats of the service.
    void setInstanceCount(int count);

    /// Counts a request that reaches the instance for the first time.
    void onFirstArrival(milliseconds now);

    /// Counts a repeat that reaches the instance.
    void onRepeat(milliseconds now);

    /// @return whether the budget holds another repeat for that claim.
    bool isRepeatAllowed(milliseconds now, repeat_priority priority);

private:
    struct slice {
        milliseconds startedAt;
        int firstArrivals = 0;
        int repeats = 0;
    };

    slice& getCurrentSlice(milliseconds now);
    int countFirstArrivals(milliseconds from, milliseconds to) const;
    int countRepeats(milliseconds from) const;

    repeat_limits m_limits;
    int m_instanceCount = 1;
    std::deque<slice> m_slices; ///< Oldest first; two windows.
};

} // namespace fuchsiagauge
