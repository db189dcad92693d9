#pragma once

#include "bench/http_connection.h"
#include "bench/request_record.h"

#include <string>

namespace fuchsiagauge::bench {

/// A difference between a response and what its request must get.
struct response_mismatch {
    std::string code; ///< Stable identifier of the kind of mismatch; empty: the response is correct.
    std::string detail; ///< Actual and expected values, for people.
};

/// Checks that a response with status 200 is complete and belongs to its request.
/// @param request the request as it was sent.
/// @param result the result of the exchange.
/// @param expectedBytes expected size of the body in bytes; -1: any size.
/// @return the first mismatch found; its code is empty if there is none.
response_mismatch findResponseMismatch(
    const http_request& request, const exchange_result& result, std::int64_t expectedBytes);

/// @return what the caller can conclude from one send: whether the request ran at a target.
run_outcome classifyOutcome(const exchange_result& result);

/// @return the state in a node's response to a ticket query; `unreadable` if the body can't be parsed.
std::string parseTicketState(const std::string& body);

/// @return the stable error identifier of a failed send; empty for status 200.
std::string getErrorCode(const exchange_result& result);

} // namespace fuchsiagauge::bench
