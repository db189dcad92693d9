#pragma once

#include "core/address.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge::bench {

/// A span of the experiment in which callers send more or less than their rate.
struct load_phase {
    double fromS = 0;
    double toS = 0;
    double factor = 1;
    std::vector<std::string> groups; ///< Names of the caller groups that it applies to; empty: all.
};

/// Callers that send the same kind of request.
struct caller_group {
    std::string name;
    std::string className; ///< Label in the report.
    std::vector<address> edges; ///< Addresses of the service's nodes.
    std::string method = "GET";
    std::string path = "/"; ///< A `bytes` query is added when `bytes` is set.
    double ratePerS = 0; ///< First sends in a second at factor 1.
    double deadlineMs = 1000; ///< Answers after it are late.
    int maxRetries = 0; ///< Further sends by the caller itself.
    double backoffMs = 0;
    bool isAtMostOnce = false; ///< Takes a ticket first.
    std::int64_t responseBytes = -1; ///< Size of the answer; -1: as the target chooses.
    std::uint64_t requestBytes = 0; ///< Size of the request's body.
    int maxConnections = 500; ///< To each edge.
    std::string service; ///< For egress addresses: the service called; empty at the edge.
};

/// What the load tool does.
struct experiment {
    std::uint64_t seed = 1;
    double durationS = 10;
    double warmUpS = 1; ///< Left out of the baseline.
    std::vector<load_phase> phases;
    std::vector<caller_group> groups;
};

/// Reads an experiment file: JSON with comments.
/// @param text the file's content.
/// @return the experiment, or nothing with error_kind::BadSettings naming the key and what was expected.
std::optional<experiment> parseExperiment(const std::string& text);

} // namespace fuchsiagauge::bench
