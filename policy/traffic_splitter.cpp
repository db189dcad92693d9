#include "policy/traffic_splitter.h"

#include <algorithm>

namespace fuchsiagauge {

const std::string& traffic_splitter::choose(const call_route& route)
{
    if (route.destinations.size() == 1)
        return route.destinations.front().service;
    auto& state = m_states[route.name];
    if (state.destinations != route.destinations) {
        state.destinations = route.destinations;
        state.currentWeights.assign(route.destinations.size(), 0);
    }
    double total = 0;
    for (std::size_t index = 0; index < route.destinations.size(); ++index) {
        state.currentWeights[index] += route.destinations[index].weight;
        total += route.destinations[index].weight;
    }
    const auto best = std::max_element(state.currentWeights.begin(), state.currentWeights.end());
    *best -= total;
    return route.destinations[static_cast<std::size_t>(best - state.currentWeights.begin())].service;
}

} // namespace fuchsiagauge
