#pragma once

#include "node/attempt.h"
#include "node/cancel_scope.h"
#include "transport/response_writer.h"

#include <cstdint>
#include <functional>

namespace fuchsiagauge {

/// Requests the remainder of a large answer after its connection broke.
/// @param firstByte offset of the first missing byte of the body.
/// @return an answer whose body begins at `firstByte`, or null if the answer cannot be resumed.
using resume_hook = std::function<std::unique_ptr<attempt_response>(std::uint64_t firstByte)>;

/// Forwards an answer to the caller; a body that is not buffered is streamed.
/// @param answer the answer.
/// @param writer receives the answer; aborted if the answer cannot be completed.
/// @param resume requests the remainder of a broken answer; may be empty.
/// @param scope cancels the forwarding.
/// @param yield the coroutine that waits.
/// @return whether the whole answer was written.
bool relayResponse(attempt_response& response, response_writer& writer, const resume_hook& resume,
    cancel_scope& scope, boost::asio::yield_context yield);

} // namespace fuchsiagauge
