#pragma once

#include "core/organisation.h"

namespace fuchsiagauge {

/// By how much the operators allow the nodes together to exceed the limit of an organisation.
///
/// Shares follow the demand with a delay, so a fleet that never admits more than the limit refuses requests
/// that are within it. Half of the tolerance is used to admit these; the other half covers nodes that differ
/// for a moment in their view of the fleet.
struct quota_tolerance {
    double overshoot = 0; ///< Share of the limit.
    double slack = 0; ///< Requests in addition, in any window.

    /// @return the limit that the nodes divide among them.
    organisation apply(const organisation& limit) const
    {
        constexpr double usedShare = 0.5;
        auto tolerated = limit;
        tolerated.ratePerSecond *= 1 + overshoot * usedShare;
        tolerated.burst = limit.burst * (1 + overshoot * usedShare) + slack * usedShare;
        return tolerated;
    }

    friend bool operator==(const quota_tolerance& a, const quota_tolerance& b)
    {
        return a.overshoot == b.overshoot && a.slack == b.slack;
    }
    friend bool operator!=(const quota_tolerance& a, const quota_tolerance& b) { return !(a == b); }
};

} // namespace fuchsiagauge
