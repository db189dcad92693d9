#pragma once

#include "core/clock.h"

#include <deque>
#include <map>
#include <string>

namespace fuchsiagauge {

/// Bounds on the requests that are sent to a second instance, over the whole fleet.
struct repeat_limits {
    double ratio = 0.2; ///< Repeats per request, over the window.
    milliseconds window { 10000 };
    double extra = 50; ///< Repeats that the fleet may send besides, in a window.
};

/// One node's share of a fleet-wide budget for repeats, kept without talk between the nodes.
///
/// The fleet's budget for a service is ratio x requests + extra in every sliding window. Each node spends at
/// most ratio x its own requests of the window and its part of the extra, so the sum over the nodes stays
/// within the budget however the requests are spread. A node that has just started holds no requests and
/// spends from its part of the extra only.
class repeat_budget {
public:
    explicit repeat_budget(repeat_limits limits);

    /// Sets how many nodes share the extra repeats.
    void setNodeCount(int count);

    /// Counts a client's or target's request to a service.
    void onRequest(const std::string& service, milliseconds now);

    /// Counts a request that is itself part of a repeat further up: it is sent whatever the budget holds, and
    /// leaves less for repeats of the node's own.
    void onInheritedRepeat(const std::string& service, milliseconds now);

    /// Takes a repeat if the budget holds one.
    /// @param share part of the node's budget up to which this one may take, 0 to 1; keeps the rest for
    /// repeats that are worth more.
    /// @return whether the repeat may be sent.
    bool tryTake(const std::string& service, milliseconds now, double share = 1);

private:
    struct slice {
        milliseconds startedAt;
        int requests = 0;
        int repeats = 0;
    };

    struct ledger {
        std::deque<slice> slices; ///< Oldest first.
        int requests = 0; ///< Sum over the slices.
        int repeats = 0;
    };

    ledger& advance(const std::string& service, milliseconds now);

    repeat_limits m_limits;
    int m_nodeCount = 1;
    std::map<std::string, ledger> m_ledgers;
};

} // namespace fuchsiagauge
