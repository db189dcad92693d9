#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace fuchsiagauge {

/// A key and its value as published by the platform.
struct stored_item {
    std::string key;
    std::string value; ///< Decoded bytes.
    std::uint64_t revision = 0; ///< Revision of the last change of the item.

    friend bool operator==(const stored_item& a, const stored_item& b)
    {
        return std::tie(a.key, a.value, a.revision) == std::tie(b.key, b.value, b.revision);
    }
    friend bool operator!=(const stored_item& a, const stored_item& b) { return !(a == b); }
};

/// The removal of a published item.
struct removed_item {
    std::string key;
    std::uint64_t revision = 0; ///< Revision of the removal, or a later one at which the item was missing.

    friend bool operator==(const removed_item& a, const removed_item& b)
    {
        return std::tie(a.key, a.revision) == std::tie(b.key, b.revision);
    }
    friend bool operator!=(const removed_item& a, const removed_item& b) { return !(a == b); }
};

} // namespace fuchsiagauge
