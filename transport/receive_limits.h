#pragma once

#include "core/clock.h"

#include <cstddef>
#include <cstdint>

namespace fuchsiagauge {

/// Limits on how a client may frame and send the body of a request.
struct receive_limits {
    std::size_t trailerBytes = 16384; ///< Of one request.
    std::size_t chunkExtensionBytes = 4096; ///< Of one chunk, with its size.
    double chunksPerByte = 1; ///< Chunks of one request, beyond the first 1024, for each byte of its body.
    milliseconds bodyIdleTimeout { 15000 }; ///< Without any byte of the body.

    /// @return whether a body may have this many chunks.
    bool mayHaveChunks(std::uint64_t chunks, std::uint64_t bodyBytes) const
    {
        constexpr std::uint64_t alwaysAllowed = 1024;
        return chunks <= alwaysAllowed
            || static_cast<double>(chunks - alwaysAllowed) <= chunksPerByte * static_cast<double>(bodyBytes);
    }
};

} // namespace fuchsiagauge
