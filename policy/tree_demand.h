#pragma once

#include "core/clock.h"

#include <map>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// What one request needs of a service further down.
struct service_need {
    std::string service;
    double calls = 0; ///< Calls to the service, over the whole call tree.
    milliseconds work; ///< Time for which these calls hold slots of the service.

    friend bool operator==(const service_need& a, const service_need& b)
    {
        return a.service == b.service && a.calls == b.calls && a.work == b.work;
    }
    friend bool operator!=(const service_need& a, const service_need& b) { return !(a == b); }
};

/// Services told apart in one call tree. Bounds memory and the bytes of a reply.
constexpr std::size_t maxNeededServices = 8;

/// Adds what a call needs to what its parent needs.
/// @param total needs of the parent; keeps at most `maxNeededServices` services.
/// @param added needs of the call.
void addNeeds(std::vector<service_need>& total, const std::vector<service_need>& added);

/// Learns what the requests of each route need of the services further down, from requests that completed.
///
/// Requests that failed don't count, since their remaining calls are not known. The averages cover about the
/// last 50 requests of a route; the first request is enough for a first value.
class tree_demand {
public:
    /// Counts a request that completed.
    /// @param route the request's route.
    /// @param needs what its calls needed.
    /// @param runTime the time for which it held its slot.
    void onCompletion(const std::string& route, const std::vector<service_need>& needs, milliseconds runTime);

    /// @return the needs of a request of a route, by service; empty if they are not known.
    std::vector<service_need> getNeeds(const std::string& route) const;

    /// @return the names of the routes whose needs are known.
    std::vector<std::string> getRoutes() const;

    /// @return how long a request of a route holds its slot; 0 if it is not known.
    milliseconds getRunTime(const std::string& route) const;

private:
    struct route_demand {
        double requests = 0; ///< Weighted by age, like the totals.
        double runTimeMs = 0;
        std::vector<service_need> total;
    };

    std::map<std::string, route_demand> m_routes;
};

} // namespace fuchsiagauge
