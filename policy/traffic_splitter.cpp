#include "policy/traffic_splitter.h"

#include <algorithm>

namespace fuchsiagauge {

const std::string& traffic_splitter::choose(const call_route& route)
{
    if (route.parts.size() == 1)
        return route.parts.front().service;
    auto& state = m_states[route.name];
    if (state.parts != route.parts) {
        state.parts = route.parts;
        state.currentWeights.assign(route.parts.size(), 0);
    }
    double total = 0;
    for (std::size_t index = 0; index < route.parts.size(); ++index) {
        state.currentWeights[index] += route.parts[index].weight;
        total += route.parts[index].weight;
    }
    const auto best = std::max_element(state.currentWeights.begin(), state.currentWeights.end());
    *best -= total;
    return route.parts[static_cast<std::size_t>(best - state.currentWeights.begin())].service;
}

} // namespace fuchsiagauge
