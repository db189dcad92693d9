#pragma once

#include "bench/http_connection.h"
#include "bench/request_record.h"

#include <string>

namespace fuchsiagauge::bench {

/// What is wrong with an answer.
struct response_mismatch {
    std::string code; ///< Stable word; empty: nothing is wrong.
    std::string detail;
};

/// Checks that an answer of status 200 is the request's own whole answer.
/// @param request what was sent.
/// @param result what came back.
/// @param expectedBytes size of the body; -1: any.
/// @return what is wrong.
response_mismatch findResponseMismatch(
    const http_request& request, const exchange_result& result, std::int64_t expectedBytes);

/// @return what the caller may conclude from one send.
run_outcome classifyOutcome(const exchange_result& result);

/// @return the state in a node's answer about a ticket; `unreadable` when it can't be read.
std::string parseTicketState(const std::string& body);

/// @return the stable word of a failed send; empty for status 200.
std::string getErrorCode(const exchange_result& result);

} // namespace fuchsiagauge::bench
