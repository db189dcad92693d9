#pragma once

#include <cstdint>
#include <string>

namespace fuchsiagauge {

/// @return the digest of a text: the first 128 bits of its SHA-256, as 32 hexadecimal digits.
std::string computeDigest(const std::string& text);

/// Computes a 64-bit FNV-1a hash with a final mixing step.
/// @return the hash, the same on every machine; not cryptographically secure.
std::uint64_t computeHash(const std::string& text);

} // namespace fuchsiagauge
