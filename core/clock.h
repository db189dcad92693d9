#pragma once

#include <functional>
#include <ostream>

namespace fuchsiagauge {

/// A time in milliseconds.
///
/// Serves for spans and for instants; an instant counts from the start of its clock.
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

/// A source of the present instant, in milliseconds.
///
/// A copy reads the same source. Tests pass a hook that returns a virtual time.
class clock {
public:
    using time_source = std::function<milliseconds()>;

    /// Makes a clock from a hook.
    /// @param read returns the present instant; never goes back.
    explicit clock(time_source read);

    /// @return the present instant.
    milliseconds now() const { return m_read(); }

    /// @return a clock over the machine's monotonic time, counted from the machine's start.
    static clock makeSteady();

    /// @return a clock like makeSteady()'s that also counts the time for which the machine was suspended.
    static clock makeBoot();

private:
    time_source m_read;
};

} // namespace fuchsiagauge
