#include "core/digest.h"

#include <array>
#include <openssl/sha.h>

namespace fuchsiagauge {

std::string computeDigest(const std::string& text)
{
    constexpr std::size_t digestBytes = 16;
    std::array<unsigned char, SHA256_DIGEST_LENGTH> sha256 {};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), sha256.data());
    constexpr char digits[] = "0123456789abcdef";
    std::string hex;
    for (std::size_t i = 0; i < digestBytes; ++i) {
        hex.push_back(digits[sha256[i] >> 4]);
        hex.push_back(digits[sha256[i] & 15]);
    }
    return hex;
}

std::uint64_t computeHash(const std::string& text)
{
    constexpr std::uint64_t offsetBasis = 14695981039346656037U;
    constexpr std::uint64_t prime = 1099511628211U;
    std::uint64_t hash = offsetBasis;
    for (const unsigned char byte : text)
        hash = (hash ^ byte) * prime;
    // Mixes the bits as the finaliser of MurmurHash3 does.
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdU;
    hash ^= hash >> 33;
    return hash;
}

} // namespace fuchsiagauge
