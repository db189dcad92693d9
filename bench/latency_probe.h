#pragma once

#include "bench/statistics.h"
#include "core/address.h"

#include <cstdint>
#include <string>

namespace fuchsiagauge::bench {

/// Parameters for measuring the latency that nodes add to a call.
struct latency_plan {
    address direct; ///< Address of a target, called without a node.
    address via; ///< Address of a node that forwards calls to the target.
    std::string service; ///< If set, `via` is an egress address and calls to this service pass two nodes.
    std::string path = "/";
    double ratePerS = 165; ///< Calls per second on each of the two paths.
    double durationS = 10; ///< Measured time, without the warm-up.
    double warmUpS = 1; ///< Calls in this time are not measured.
    std::uint64_t seed = 1;
};

/// Latency on both paths, measured in the same run.
struct latency_comparison {
    latency_summary direct;
    latency_summary via;
    std::uint64_t failures = 0; ///< Calls on either path without a correct and timely response.
};

/// Sends the same call directly and through the node, interleaved, so that both see the same conditions.
latency_comparison measureLatency(const latency_plan& plan);

/// @return the comparison as JSON.
std::string formatLatencyJson(const latency_comparison& comparison);

/// @return the comparison as a human-readable table.
std::string formatLatencyTable(const latency_comparison& comparison);

} // namespace fuchsiagauge::bench
