#pragma once

#include "core/traffic_rules.h"

#include <map>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// Splits the requests of each route among the route's destinations, in proportion to their weights.
///
/// Uses smooth weighted round robin: after any number of requests, the count of each destination differs by
/// at most one from its share.
class traffic_splitter {
public:
    /// @param route a route with at least one destination.
    /// @return the service for the next request.
    const std::string& choose(const call_route& route);

private:
    /// Round-robin state of one route.
    struct route_state {
        std::vector<route_destination> destinations; ///< The state is reset when those of the route change.
        std::vector<double> currentWeights;
    };

    std::map<std::string, route_state> m_states; ///< By route name.
};

} // namespace fuchsiagauge
