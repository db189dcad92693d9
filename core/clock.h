#pragma once

#include <functional>
#include <ostream>

namespace fuchsiagauge {

/// A duration or a point in time, in milliseconds.
///
/// A point in time is measured from the epoch of the clock that returned it.
class milliseconds {
public:
    constexpr milliseconds() = default;
    constexpr explicit milliseconds(double count)
        : m_count(count)
    {
    }

    constexpr double getCount() const { return m_count; }

    friend constexpr milliseconds operator+(milliseconds a, milliseconds b)
    {
        return milliseconds(a.m_count + b.m_count);
    }
    friend constexpr milliseconds operator-(milliseconds a, milliseconds b)
    {
        return milliseconds(a.m_count - b.m_count);
    }
    friend constexpr milliseconds operator*(milliseconds a, double factor)
    {
        return milliseconds(a.m_count * factor);
    }
    friend constexpr double operator/(milliseconds a, milliseconds b) { return a.m_count / b.m_count; }
    friend constexpr bool operator==(milliseconds a, milliseconds b) { return a.m_count == b.m_count; }
    friend constexpr bool operator!=(milliseconds a, milliseconds b) { return a.m_count != b.m_count; }
    friend constexpr bool operator<(milliseconds a, milliseconds b) { return a.m_count < b.m_count; }
    friend constexpr bool operator>(milliseconds a, milliseconds b) { return a.m_count > b.m_count; }
    friend constexpr bool operator<=(milliseconds a, milliseconds b) { return a.m_count <= b.m_count; }
    friend constexpr bool operator>=(milliseconds a, milliseconds b) { return a.m_count >= b.m_count; }
    friend std::ostream& operator<<(std::ostream& out, milliseconds value)
    {
        return out << value.m_count << " ms";
    }

private:
    double m_count = 0;
};

/// A source of the current time, in milliseconds.
///
/// Copies use the same time source. Tests pass a time source that returns simulated time.
class clock {
public:
    using time_source = std::function<milliseconds()>;

    /// Creates a clock with the given time source.
    /// @param read returns the current time; must be monotonic.
    explicit clock(time_source read);

    /// @return the current time.
    milliseconds now() const { return m_read(); }

    /// @return a clock that reads the monotonic time since the machine booted, excluding time spent
    /// suspended.
    static clock makeSteady();

    /// @return a clock that reads the monotonic time since the machine booted, including time spent
    /// suspended.
    static clock makeBoot();

private:
    time_source m_read;
};

} // namespace fuchsiagauge
