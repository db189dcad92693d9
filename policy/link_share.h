#pragma once

#include <string>
#include <vector>

namespace fuchsiagauge {

/// The bandwidth that one node requests on the link between regions.
struct link_demand {
    std::string node;
    double bytesPerSecond = 0;
};

/// Computes a node's max-min fair share of the rate of a region's link.
/// @param rate the region's rate in bytes per second.
/// @param demands the announced demand of each node that sends over the link, including this one.
/// @param node the node whose share is computed; its demand is 0 if it is not in `demands`.
/// @return the share in bytes per second. If all demands fit into the rate, the unused rate is split evenly
/// among the nodes and added to their demands, so that a node can start to send at once.
double computeLinkShare(double rate, const std::vector<link_demand>& demands, const std::string& node);

} // namespace fuchsiagauge
