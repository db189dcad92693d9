#pragma once

#include "core/traffic_rules.h"

#include <map>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// Divides each route's requests among its parts by their weights.
///
/// Smooth weighted round robin: after any number of requests each part is within one of its share.
class split_chooser {
public:
    /// @param route a route with at least one part.
    /// @return the service for the next request.
    const std::string& choose(const call_route& route);

private:
    struct turn {
        std::vector<route_destination> destinations;
        std::vector<double> credits;
    };

    std::map<std::string, turn> m_turns;
};

} // namespace fuchsiagauge
