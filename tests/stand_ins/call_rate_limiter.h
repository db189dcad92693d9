#pragma once

#include <cstdint>
#include <vector>

namespace fuchsiagauge::stand_in {

/// Rate limiter with fixed windows of one second; also counts all calls per second.
class call_rate_limiter {
public:
    /// @param limit maximum number of calls accepted per second.
    explicit call_rate_limiter(std::uint64_t limit)
        : m_limit(limit)
    {
    }

    /// Counts a call and checks it against the limit.
    /// @param nowMs time since the start, in milliseconds.
    /// @return whether the call is within the limit.
    bool accept(double nowMs)
    {
        constexpr double msPerSecond = 1000;
        const auto second = static_cast<std::size_t>(nowMs / msPerSecond);
        if (second >= m_callsPerSecond.size())
            m_callsPerSecond.resize(second + 1);
        ++m_calls;
        if (++m_callsPerSecond[second] <= m_limit)
            return true;
        ++m_refused;
        return false;
    }

    std::uint64_t getCalls() const { return m_calls; }
    std::uint64_t getRefused() const { return m_refused; }
    const std::vector<std::uint64_t>& getCallsPerSecond() const { return m_callsPerSecond; }

private:
    std::uint64_t m_limit;
    std::uint64_t m_calls = 0;
    std::uint64_t m_refused = 0;
    std::vector<std::uint64_t> m_callsPerSecond;
};

} // namespace fuchsiagauge::stand_in
