#include "policy/split_chooser.h"

#include <algorithm>

namespace fuchsiagauge {

const std::string& split_chooser::choose(const call_route& route)
{
    if (route.destinations.size() == 1)
        return route.destinations.front().service;
    auto& known = m_turns[route.name];
    if (known.destinations != route.destinations) {
        known.destinations = route.destinations;
        known.credits.assign(route.destinations.size(), 0);
    }
    double total = 0;
    for (std::size_t index = 0; index < route.destinations.size(); ++index) {
        known.credits[index] += route.destinations[index].weight;
        total += route.destinations[index].weight;
    }
    const auto best = std::max_element(known.credits.begin(), known.credits.end());
    *best -= total;
    return route.destinations[static_cast<std::size_t>(best - known.credits.begin())].service;
}

} // namespace fuchsiagauge
