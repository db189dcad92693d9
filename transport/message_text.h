#pragma once

#include "transport/call.h"

#include <string>

namespace fuchsiagauge {

/// @return a request with its body as it is sent on a kept connection.
std::string formatRequest(const call_request& request);

/// What an answer's connection needs to know besides the answer.
struct response_framing {
    bool isHeadRequest = false; ///< The answer has no body.
    bool closesConnection = false; ///< The connection ends after the answer.
};

/// @return an answer with its whole body as it is sent.
std::string formatResponse(const response_head& head, const std::string& body, response_framing framing);

} // namespace fuchsiagauge
