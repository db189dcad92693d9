#pragma once

#include "core/traffic_rules.h"

#include <map>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// Divides each route's requests among its parts by their weights.
///
/// Smooth weighted round robin: after any number of requests each part is within one of its share.
class traffic_splitter {
public:
    /// @param route a route with at least one part.
    /// @return the service for the next request.
    const std::string& choose(const call_route& route);

private:
    struct split_state {
        std::vector<route_part> parts;
        std::vector<double> currentWeights;
    };

    std::map<std::string, split_state> m_states;
};

} // namespace fuchsiagauge
