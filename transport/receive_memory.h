#pragma once

#include <algorithm>
#include <cstddef>

namespace fuchsiagauge {

/// Limits the memory that all responses take together, while they are received and until clients have read
/// them.
///
/// A response that is being received may grow to a fixed fraction of what is still free. Many endless
/// responses therefore stop each other long before the limit, while a single large one may use much of it and
/// small ones always fit.
class receive_memory {
public:
    /// @param limitBytes the bytes that all responses may take together.
    explicit receive_memory(std::size_t limitBytes)
        : m_limit(limitBytes)
    {
    }

    /// Accounts for a response that grows.
    /// @return whether it may have the new size; if not, nothing is accounted for.
    bool grow(std::size_t fromBytes, std::size_t toBytes)
    {
        constexpr std::size_t freeFraction = 4;
        constexpr std::size_t smallResponseBytes = 65536; ///< Allowed while it fits at all.
        const auto freeBytes = m_limit - std::min(m_limit, m_used);
        const bool fits = toBytes - fromBytes <= freeBytes;
        if (!fits || toBytes > std::max(freeBytes / freeFraction, smallResponseBytes))
            return false;
        m_used += toBytes - fromBytes;
        return true;
    }

    /// Accounts for a response that has ended.
    void release(std::size_t bytes) { m_used -= std::min(m_used, bytes); }

    /// Accounts for responses that wait for a client to read them. They are complete and are never refused.
    void hold(std::size_t fromBytes, std::size_t toBytes)
    {
        m_held = m_held + toBytes - fromBytes;
        m_used = m_used + toBytes - fromBytes;
    }

    /// @return whether clients that read slowly take so much of the limit that no further requests should be
    /// accepted.
    bool isMostlyHeld() const
    {
        constexpr std::size_t acceptedFraction = 2;
        return m_held > m_limit / acceptedFraction;
    }

    /// @return the bytes that are accounted for.
    std::size_t getUsed() const { return m_used; }

private:
    std::size_t m_limit;
    std::size_t m_used = 0; ///< Includes `m_held`.
    std::size_t m_held = 0;
};

} // namespace fuchsiagauge
