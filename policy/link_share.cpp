#include "policy/link_share.h"

#include <algorithm>

namespace fuchsiagauge {

double computeLinkShare(double rate, const std::vector<link_demand>& demands, const std::string& node)
{
    std::vector<double> sorted;
    double own = 0;
    bool isListed = false;
    for (const auto& demand : demands) {
        const double wanted = std::max(0.0, demand.bytesPerSecond);
        sorted.push_back(wanted);
        if (demand.node != node)
            continue;
        own = wanted;
        isListed = true;
    }
    if (!isListed)
        sorted.push_back(0);
    std::sort(sorted.begin(), sorted.end());
    double remaining = std::max(0.0, rate);
    auto remainingNodes = static_cast<double>(sorted.size());
    for (const double wanted : sorted) {
        const double evenShare = remaining / remainingNodes;
        if (wanted > evenShare)
            return std::min(own, evenShare);
        remaining -= wanted;
        --remainingNodes;
    }
    return own + remaining / static_cast<double>(sorted.size());
}

} // namespace fuchsiagauge
