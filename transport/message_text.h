#pragma once

#include "transport/call.h"

#include <string>

namespace fuchsiagauge {

/// @return the bytes of a request with its body, as sent on a persistent connection.
std::string formatRequest(const call_request& request);

/// Properties of a response that follow from its request and its connection.
struct response_framing {
    bool isHeadRequest = false; ///< The response has no body.
    bool closesConnection = false; ///< The connection is closed after the response.
};

/// @return the bytes of a response with its complete body.
std::string formatResponse(const response_head& head, const std::string& body, response_framing framing);

} // namespace fuchsiagauge
