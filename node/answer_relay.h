#pragma once

#include "node/attempt.h"
#include "node/cancel_scope.h"
#include "transport/response_writer.h"

#include <cstdint>
#include <functional>

namespace fuchsiagauge {

/// Asks for the rest of a large answer after its connection broke.
/// @return an answer whose body begins at the byte asked for, or null if it can't be had.
using resume_hook = std::function<std::unique_ptr<attempt_answer>(std::uint64_t firstByte)>;

/// Passes an answer on to the caller, piece by piece when it is large.
/// @param answer the answer.
/// @param writer where it goes; aborted when the answer can't be completed.
/// @param resume continues a broken answer; may be empty.
/// @param scope gives the answer up.
/// @return whether the whole answer was written.
bool relayAnswer(attempt_answer& answer, response_writer& writer, const resume_hook& resume,
    cancel_scope& scope, boost::asio::yield_context yield);

} // namespace fuchsiagauge
