#pragma once

#include "bench/http_message.h"

#include <cstdint>
#include <optional>

namespace fuchsiagauge::stand_in {

/// A contiguous part of a response body.
struct byte_range {
    std::uint64_t first = 0;
    std::uint64_t count = 0;
    bool isPartial = false; ///< Whether the response has status 206 (Partial Content).

    friend bool operator==(const byte_range& a, const byte_range& b)
    {
        return a.first == b.first && a.count == b.count && a.isPartial == b.isPartial;
    }
    friend bool operator!=(const byte_range& a, const byte_range& b) { return !(a == b); }
};

/// Selects the part of a body that a request asks for in its `range` and `if-range` header fields.
/// @param fields the request's header fields.
/// @param size size of the whole body.
/// @param entityTag the body's entity tag.
/// @return the selected part, the whole body if the request has no valid or applicable range, or nothing if
/// the range can't be satisfied (status 416).
std::optional<byte_range> selectRange(
    const bench::http_fields& fields, std::uint64_t size, const std::string& entityTag);

} // namespace fuchsiagauge::stand_in
