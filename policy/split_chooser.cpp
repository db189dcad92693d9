#include "policy/split_chooser.h"

#include <algorithm>

namespace fuchsiagauge {

const std::string& split_chooser::choose(const call_route& route)
{
    if (route.parts.size() == 1)
        return route.parts.front().service;
    auto& known = m_turns[route.name];
    if (known.parts != route.parts) {
        known.parts = route.parts;
        known.credits.assign(route.parts.size(), 0);
    }
    double total = 0;
    for (std::size_t index = 0; index < route.parts.size(); ++index) {
        known.credits[index] += route.parts[index].weight;
        total += route.parts[index].weight;
    }
    const auto best = std::max_element(known.credits.begin(), known.credits.end());
    *best -= total;
    return route.parts[static_cast<std::size_t>(best - known.credits.begin())].service;
}

} // namespace fuchsiagauge
