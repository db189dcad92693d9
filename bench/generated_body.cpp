#include "bench/generated_body.h"

#include <algorithm>
#include <array>
#include <cstring>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace fuchsiagauge::bench {
namespace {

    constexpr std::uint64_t wordBytes = sizeof(std::uint64_t);
    constexpr std::size_t blockBytes = 4096;

    /// Output function of the SplitMix64 generator.
    std::uint64_t mixBits(std::uint64_t value)
    {
        value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
        value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
        return value ^ (value >> 31);
    }

    std::uint64_t generateWord(std::uint64_t seed, std::uint64_t index)
    {
        return mixBits(seed + (index + 1) * 0x9e3779b97f4a7c15ULL);
    }

    std::string formatDigest(std::uint64_t value)
    {
        constexpr char digits[] = "0123456789abcdef";
        std::string text(16, '0');
        for (auto position = text.rbegin(); position != text.rend(); ++position) {
            *position = digits[value & 15];
            value >>= 4;
        }
        return text;
    }

} // namespace

generated_body::generated_body(const std::string& path, const std::string& requestKey, std::uint64_t size)
    : m_seed(0)
    , m_size(size)
{
    const auto key = path + '\n' + requestKey;
    m_seed = XXH64(key.data(), key.size(), 0);
}

void generated_body::read(std::uint64_t offset, char* out, std::size_t count) const
{
    while (count > 0) {
        const auto word = generateWord(m_seed, offset / wordBytes);
        const auto skipped = offset % wordBytes;
        if (skipped == 0 && count >= wordBytes) {
            std::memcpy(out, &word, wordBytes); // The constant size compiles to a single store.
            out += wordBytes;
            offset += wordBytes;
            count -= wordBytes;
            continue;
        }
        const auto part = std::min<std::uint64_t>(wordBytes - skipped, count);
        std::memcpy(out, reinterpret_cast<const char*>(&word) + skipped, part);
        out += part;
        offset += part;
        count -= part;
    }
}

std::string generated_body::computeDigest() const
{
    body_digest digest;
    std::array<char, blockBytes> block {};
    for (std::uint64_t offset = 0; offset < m_size; offset += blockBytes) {
        const auto count = std::min<std::uint64_t>(blockBytes, m_size - offset);
        read(offset, block.data(), count);
        digest.add(block.data(), count);
    }
    return digest.format();
}

body_digest::body_digest()
    : m_state(XXH64_createState())
{
    XXH64_reset(static_cast<XXH64_state_t*>(m_state), 0);
}

body_digest::~body_digest() { XXH64_freeState(static_cast<XXH64_state_t*>(m_state)); }

void body_digest::add(const char* data, std::size_t size)
{
    XXH64_update(static_cast<XXH64_state_t*>(m_state), data, size);
}

std::string body_digest::format() const
{
    return formatDigest(XXH64_digest(static_cast<const XXH64_state_t*>(m_state)));
}

} // namespace fuchsiagauge::bench
