#pragma once

#include "core/clock.h"

#include <map>

namespace fuchsiagauge {

/// Limits the requests that enter the call graph at one target while most of their work would be wasted.
///
/// A request that enters makes calls to downstream services. Once these calls are refused for lack of
/// capacity or exceed the request's deadline, further requests of the same priority are likely to fail too,
/// after they have used the time of the downstream services. Therefore only a share of each priority's
/// requests may enter. The share falls while too many of them end in overload and rises step by step
/// afterwards. Calls made for requests that have entered are never refused here.
class entry_admission {
public:
    /// Counts the end of a request that entered here.
    /// @param priority the request's priority.
    /// @param isOverload whether it exceeded its deadline or was refused for lack of capacity.
    void onEnd(int priority, bool isOverload);

    /// Decides whether a request may enter.
    /// @param priority the request's priority.
    /// @param fraction a number in [0, 1), random or derived from the request's id.
    /// @return whether the request may enter.
    bool isAdmitted(int priority, double fraction) const;

    /// Updates the shares at the end of a window.
    void tick(milliseconds now);

    /// @return the share of a priority's requests that may enter, 0 to 1.
    double getShare(int priority) const;

private:
    struct priority_state {
        double share = 1;
        int ended = 0; ///< Requests that ended within the window.
        int overloadCount = 0; ///< Of these, the ones that ended in overload.
    };

    static void updateShare(priority_state& state);

    std::map<int, priority_state> m_priorityStates;
    milliseconds m_windowStart;
};

} // namespace fuchsiagauge
