#pragma once

#include "transport/call.h"

#include <cstddef>
#include <string>

namespace fuchsiagauge {

/// @param followingBytes bytes that the caller appends.
/// @return the head of a request, as sent on a persistent connection.
std::string formatRequestHead(const call_request& request, std::size_t followingBytes);

/// Properties of a response that follow from its request and its connection.
struct response_framing {
    bool isHeadRequest = false; ///< The response has no body.
    bool closesConnection = false; ///< The connection is closed after the response.
};

/// @return the bytes of a response with its complete body.
std::string formatResponse(const response_head& head, const std::string& body, response_framing framing);

} // namespace fuchsiagauge
