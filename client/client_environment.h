#pragma once

#include "client/http_fetch.h"
#include "core/clock.h"

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// Options common to all commands.
struct client_options {
    /// Admin addresses; for `ticket`, the addresses on which nodes serve callers.
    std::vector<address> nodes;
    bool isJson = false; ///< Whether to print JSON instead of text.
    milliseconds timeout { 2000 }; ///< Timeout of each request to a node.
};

/// Network access, time and output streams of the commands. Tests inject their own functions.
struct client_environment {
    std::function<std::vector<fetch_result>(const std::vector<fetch_request>&, milliseconds)> fetch;
    std::function<void(milliseconds)> sleep;
    std::function<milliseconds()> now;
    std::ostream& out;
    std::ostream& err;
};

/// How often a command refreshes its output.
struct refresh_options {
    milliseconds interval { 1000 }; ///< Pause between refreshes.
    int count = 0; ///< Number of refreshes; 0 for refreshing until the program is terminated.
};

} // namespace fuchsiagauge
