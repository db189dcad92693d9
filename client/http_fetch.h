#pragma once

#include "core/address.h"
#include "core/clock.h"
#include "core/error.h"

#include <string>
#include <vector>

namespace fuchsiagauge {

/// A GET request to one node.
struct fetch_request {
    address node;
    std::string path; ///< Path and query, percent-encoded.
};

/// Result of one request.
struct fetch_result {
    address node;
    bool hasResponse = false; ///< Whether a complete response arrived in time.
    int status = 0; ///< HTTP status of the response.
    std::string body;
    error reason; ///< Why there is no complete response.
};

/// Sends HTTP GET requests to several nodes concurrently and waits for all results.
/// @param requests the requests to send.
/// @param timeout time limit of each request.
/// @return the results, in the order of the requests.
std::vector<fetch_result> fetchAll(const std::vector<fetch_request>& requests, milliseconds timeout);

/// @return the text with every byte except letters, digits, `-`, `.`, `_` and `~` percent-encoded.
std::string encodePathSegment(const std::string& text);

} // namespace fuchsiagauge
