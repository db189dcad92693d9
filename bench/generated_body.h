#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace fuchsiagauge::bench {

/// A pseudo-random body of any size that is derived from the request, so that both ends can verify it without
/// storing it.
class generated_body {
public:
    /// @param path path of the request with its query.
    /// @param requestKey identifier that the caller gave the request.
    /// @param size size of the body in bytes.
    generated_body(const std::string& path, const std::string& requestKey, std::uint64_t size);

    std::uint64_t getSize() const { return m_size; }

    /// Generates a range of the body.
    /// @param offset offset of the first byte of the range.
    /// @param out buffer of at least `count` bytes.
    /// @param count number of bytes to generate.
    void read(std::uint64_t offset, char* out, std::size_t count) const;

    /// @return the digest of the complete body: xxHash64, 16 hexadecimal digits.
    std::string computeDigest() const;

private:
    std::uint64_t m_seed;
    std::uint64_t m_size;
};

/// Incremental xxHash64 digest of a body that is read in chunks.
class body_digest {
public:
    body_digest();
    ~body_digest();
    body_digest(const body_digest&) = delete;
    body_digest& operator=(const body_digest&) = delete;

    void add(const char* data, std::size_t size);

    /// @return the digest of the bytes added so far: 16 hexadecimal digits.
    std::string format() const;

private:
    void* m_state; ///< XXH64_state_t; untyped to keep the xxHash header out of this one.
};

} // namespace fuchsiagauge::bench
