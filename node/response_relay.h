#pragma once

#include "node/attempt.h"
#include "node/cancel_scope.h"
#include "transport/response_writer.h"

#include <cstdint>
#include <functional>

namespace fuchsiagauge {

/// Requests the remainder of a large response after its connection broke.
/// @param firstByte offset of the first missing byte of the body.
/// @return a response whose body begins at `firstByte`, or null if the response cannot be resumed.
using resume_hook = std::function<std::unique_ptr<attempt_response>(std::uint64_t firstByte)>;

/// Forwards a response to the caller; a body that is not buffered is streamed.
/// @param response the response.
/// @param writer receives the response; aborted if the response cannot be completed.
/// @param resume requests the remainder of a broken response; may be empty.
/// @param scope cancels the forwarding.
/// @param yield the coroutine that waits.
/// @return whether the whole response was written.
bool relayResponse(attempt_response& response, response_writer& writer, const resume_hook& resume,
    cancel_scope& scope, boost::asio::yield_context yield);

} // namespace fuchsiagauge
