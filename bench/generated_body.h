#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace fuchsiagauge::bench {

/// A body of any size whose bytes follow from the request, so that both ends can check it.
class generated_body {
public:
    /// @param path the request's path with its query.
    /// @param requestKey the caller's own name of the request.
    /// @param size size of the body in bytes.
    generated_body(const std::string& path, const std::string& requestKey, std::uint64_t size);

    std::uint64_t getSize() const { return m_size; }

    /// Writes a part of the body.
    /// @param offset first byte of the part.
    /// @param out where to write.
    /// @param count bytes to write.
    void read(std::uint64_t offset, char* out, std::size_t count) const;

    /// @return the digest of the whole body: xxHash64, 16 hexadecimal digits.
    std::string computeDigest() const;

private:
    std::uint64_t m_seed;
    std::uint64_t m_size;
};

/// The digest of bytes that arrive in parts.
class body_digest {
public:
    body_digest();
    ~body_digest();
    body_digest(const body_digest&) = delete;
    body_digest& operator=(const body_digest&) = delete;

    void add(const char* data, std::size_t size);

    /// @return the digest of what was added: 16 hexadecimal digits.
    std::string format() const;

private:
    void* m_state;
};

} // namespace fuchsiagauge::bench
