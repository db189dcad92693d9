#pragma once

#include "core/clock.h"
#include "policy/tree_demand.h"

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace fuchsiagauge {

/// The load of a service further down, as known at one node.
struct service_load {
    std::string service;
    /// Work offered to the service relative to its capacity, for requests of the priority of the call that
    /// the load is reported with, and more important ones.
    double load = 0;
    milliseconds age; ///< Time since it was measured.

    friend bool operator==(const service_load& a, const service_load& b)
    {
        return a.service == b.service && a.load == b.load && a.age == b.age;
    }
    friend bool operator!=(const service_load& a, const service_load& b) { return !(a == b); }
};

/// Admits no more requests to the call graph than the busiest service of their call trees can complete.
///
/// The load of each service is that offered by the requests of all entries together. Each entry scales the
/// share that it admitted when the measured calls were made by the ratio of target to load, so that all
/// entries reach the target together without messages among them, and a late report is not answered twice.
/// A load up to `activationLoad` changes nothing. Without fresh reports the limit fades.
///
/// The requests with the lowest ranks are admitted, so that a request's chance is the same at every node.
class tree_admission {
public:
    static constexpr double activationLoad = 0.9;

    /// Records the load of a service.
    /// @param priority priority of the call that it was reported with.
    /// @param reported the load of the instance that got the call (age 0), or one that its node has passed
    /// on.
    void onLoad(milliseconds now, int priority, const service_load& reported);

    /// @param priority the request's priority.
    /// @param needs what a request of its route needs.
    /// @return the share of these requests that may enter, 0 to 1.
    double getShare(milliseconds now, int priority, const std::vector<service_need>& needs) const;

    /// @return the service with the smallest share among the needs; empty if all requests may enter.
    std::string findBottleneck(milliseconds now, int priority, const std::vector<service_need>& needs) const;

    /// @return the loads known for calls of a priority, of at most `maxNeededServices` services.
    std::vector<service_load> getLoads(milliseconds now, int priority) const;

    /// @return whether the load of a service among the needs is known and not out of date.
    bool isInformed(milliseconds now, int priority, const std::vector<service_need>& needs) const;

    /// Updates the shares.
    /// @param responseTime how long it takes until an admitted request has made its calls.
    void tick(milliseconds now, milliseconds responseTime);

private:
    struct service_state {
        double load = 0;
        milliseconds measuredAt;
        double share = 1;
        std::deque<std::pair<milliseconds, double>> history; ///< Share since each time, oldest first.
    };

    static double fade(milliseconds now, const service_state& state);
    static double getShareAt(const service_state& state, milliseconds when);

    std::map<std::pair<int, std::string>, service_state> m_services; ///< By priority and service.
    milliseconds m_tickedAt;
};

} // namespace fuchsiagauge
