#pragma once

#include "core/clock.h"

#include <map>

namespace fuchsiagauge {

/// Thins out the requests that enter the call graph at one target while the work that they cause is in vain.
///
/// A request that enters makes calls further down. Once those find no room, or take longer than the request
/// may last, each further request of its importance is likely to fail after it has cost the services below
/// their time. So each priority has a share of requests that may enter: it falls while too many of the
/// priority's requests end in overload and rises step by step once they don't. Calls of requests that have
/// entered are never refused here.
class entry_admission {
public:
    /// Takes in how a request that entered here has ended.
    /// @param isOverload whether it failed because time or room ran out.
    void onEnd(int priority, bool isOverload);

    /// Decides on a request that wants to enter.
    /// @param fraction a number in [0, 1), random or drawn from the request's id.
    /// @return whether it may.
    bool isAdmitted(int priority, double fraction) const;

    /// Moves the shares when a window has passed.
    void tick(milliseconds now);

    /// @return the share of a priority's requests that may enter, 0 to 1.
    double getShare(int priority) const;

private:
    struct priority_state {
        double share = 1;
        int ended = 0; ///< Within the window.
        int overloadCount = 0;
    };

    static void updateShare(priority_state& state);

    std::map<int, priority_state> m_priorityStates;
    milliseconds m_windowStart;
};

} // namespace fuchsiagauge
