#pragma once

#include "core/address.h"
#include "core/clock.h"
#include "core/error.h"

#include <string>
#include <vector>

namespace fuchsiagauge {

/// One document to read from a node.
struct fetch_request {
    address node;
    std::string path; ///< Path and query, percent-encoded.
};

/// What came of a request.
struct fetch_result {
    address node;
    bool hasResponse = false; ///< Whether a whole answer came in time.
    int status = 0; ///< HTTP status of the answer.
    std::string body;
    error reason; ///< Why no whole answer came.
};

/// Reads documents by HTTP GET, many nodes at once.
/// @param requests what to read from where.
/// @param timeout longest time for each request.
/// @return the results, in the order of the requests.
std::vector<fetch_result> fetchAll(const std::vector<fetch_request>& requests, milliseconds timeout);

/// @return a text with every byte but letters, digits, `-`, `.`, `_` and `~` percent-encoded.
std::string encodePathSegment(const std::string& text);

} // namespace fuchsiagauge
