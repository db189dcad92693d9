#pragma once

#include <string>
#include <vector>

namespace fuchsiagauge {

/// What one node wants to send over the link between regions.
struct link_demand {
    std::string node;
    double bytesPerSecond = 0;
};

/// Max-min fair share of a region's rate for one node.
/// @param rate the region's rate in bytes per second.
/// @param demands stated demand of each node that sends over the link, this one included.
/// @param node the node asked for; counted with demand 0 if it is missing.
/// @return its share in bytes per second: its demand if that fits; what the demands leave over is split
/// evenly, so that a node can start to send at once.
double computeLinkShare(double rate, const std::vector<link_demand>& demands, const std::string& node);

} // namespace fuchsiagauge
