#pragma once

#include "core/address.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge::bench {

/// A period of the experiment in which callers send at a multiple of their configured rate.
struct load_phase {
    double fromS = 0; ///< Since the start of the run.
    double toS = 0;
    double factor = 1; ///< Multiplier of the rate.
    std::vector<std::string> groups; ///< Names of the caller groups that the phase applies to; empty: all.
};

/// A group of callers that send the same kind of request.
struct caller_group {
    std::string name;
    std::string className; ///< Class name shown in the report.
    std::vector<address> edges; ///< Edge or egress addresses of the nodes to call.
    std::string method = "GET";
    std::string path = "/"; ///< A `bytes` query parameter is added if `responseBytes` is set.
    double ratePerS = 0; ///< New requests per second at factor 1, without retries.
    double deadlineMs = 1000; ///< A response that arrives after the deadline counts as late.
    int maxRetries = 0; ///< Retries by the caller itself, in addition to those of the nodes.
    double backoffMs = 0; ///< Mean wait before a retry.
    bool isAtMostOnce = false; ///< Requests a ticket first, so that the request runs at most once.
    std::int64_t responseBytes = -1; ///< Size of the response body; -1: the target decides.
    std::uint64_t requestBytes = 0; ///< Size of the request body.
    int maxConnections = 500; ///< Limit for each edge address.
    std::string service; ///< Service to call, if `edges` are egress addresses; empty for edge addresses.
};

/// The workload that the load tool generates.
struct experiment {
    std::uint64_t seed = 1;
    double durationS = 10;
    double warmUpS = 1; ///< Start of the run that is excluded from the baseline.
    std::vector<load_phase> phases;
    std::vector<caller_group> groups;
};

/// Parses an experiment file: JSON with comments.
/// @param text content of the file.
/// @return the experiment, or nothing with error_kind::BadSettings; the detail names the key and the expected
///     value.
std::optional<experiment> parseExperiment(const std::string& text);

} // namespace fuchsiagauge::bench
