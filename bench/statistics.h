#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace fuchsiagauge::bench {

/// Percentile by the nearest-rank method.
/// @param values the sample; it is sorted.
/// @param percent 0 to 100.
/// @return the percentile; 0 for an empty sample.
double computePercentile(std::vector<double>& values, double percent);

/// Percentiles of a sample.
struct latency_summary {
    std::size_t count = 0;
    double p50 = 0;
    double p90 = 0;
    double p99 = 0;
    double max = 0;
};

/// @return the summary of a sample.
latency_summary summarize(std::vector<double> values);

/// Counts by slot of time.
class timeline {
public:
    /// @param slotS length of a slot in seconds.
    explicit timeline(double slotS)
        : m_slotS(slotS)
    {
    }

    /// Counts one event.
    void add(double atS);

    /// @return events in a second, over [fromS, toS), in whole slots.
    double getRate(double fromS, double toS) const;

    double getSlotS() const { return m_slotS; }
    const std::vector<std::uint64_t>& getCounts() const { return m_counts; }

private:
    double m_slotS;
    std::vector<std::uint64_t> m_counts;
};

/// Time from the end of the pressure until a window reaches a share of the rate before it.
struct recovery_criterion {
    double baselineFromS = 0;
    double baselineToS = 0; ///< Start of the pressure.
    double overloadEndS = 0;
    double runEndS = 0;
    double windowS = 1;
    double share = 0.95;
};

/// Applies a recovery rule.
/// @return seconds from the end of the pressure to the end of the first window that is good enough,
///     at least the window's length; -1 if none is.
double computeRecoveryS(const timeline& goodput, const recovery_criterion& criterion);

} // namespace fuchsiagauge::bench
