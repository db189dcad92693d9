#pragma once

#include "core/clock.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <utility>

namespace fuchsiagauge {

/// The number of nodes that divide the limits.
///
/// A node that is no longer listed may still admit requests: it may only be cut off from the store. Its share
/// is taken over late, and for some minutes at most in part.
class fleet_size {
public:
    /// @param listed number of nodes listed now.
    /// @param isRefreshed whether the listing is in contact with the store.
    void update(milliseconds now, std::size_t listed, bool isRefreshed)
    {
        const auto count = static_cast<double>(listed);
        if (!isRefreshed && count < m_size)
            return;
        constexpr milliseconds fallDelay { 6500 };
        constexpr milliseconds memory { 300000 };
        record(m_recent, now, count, fallDelay);
        record(m_remembered, now, count, memory);
        // A part of the fleet that is cut off keeps its old shares, so the sum is at most 1.15 of the limit.
        constexpr double leastSize = 0.85;
        m_size = std::max(m_recent.front().second, leastSize * m_remembered.front().second);
    }

    /// @return the number of nodes; 0 before the first listing.
    double get() const { return m_size; }

private:
    using history = std::deque<std::pair<milliseconds, double>>; ///< Falling counts, when last seen.

    static void record(history& counts, milliseconds now, double count, milliseconds memory)
    {
        while (!counts.empty() && counts.back().second <= count)
            counts.pop_back();
        counts.emplace_back(now, count);
        while (now - counts.front().first > memory)
            counts.pop_front();
    }

    double m_size = 0;
    history m_recent;
    history m_remembered;
};

} // namespace fuchsiagauge
