#pragma once

#include <optional>
#include <string>
#include <tuple>

namespace fuchsiagauge {

/// A customer of the operators whose clients identify themselves with a key.
struct organisation {
    std::string name;
    /// Takes precedence over the priority of the route; 0 is the most important.
    std::optional<int> priority;
    double ratePerSecond = 0; ///< Requests per second over all nodes together; 0: unlimited.
    double burst = 0; ///< Requests that may run at once in addition to the rate.

    friend bool operator==(const organisation& a, const organisation& b)
    {
        return std::tie(a.name, a.priority, a.ratePerSecond, a.burst)
            == std::tie(b.name, b.priority, b.ratePerSecond, b.burst);
    }
    friend bool operator!=(const organisation& a, const organisation& b) { return !(a == b); }
};

} // namespace fuchsiagauge
