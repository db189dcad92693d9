#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace fuchsiagauge::bench {

/// Computes a percentile by the nearest-rank method.
/// @param values the sample; sorted in place.
/// @param percent 0 to 100.
/// @return the percentile; 0 for an empty sample.
double computePercentile(std::vector<double>& values, double percent);

/// Size, percentiles and maximum of a sample of latencies in ms.
struct latency_summary {
    std::size_t count = 0;
    double p50 = 0;
    double p90 = 0;
    double p99 = 0;
    double max = 0;
};

/// @return the summary of a sample.
latency_summary summarize(std::vector<double> values);

/// Counts events in consecutive time slots of equal length.
class timeline {
public:
    /// @param slotS length of a slot in seconds.
    explicit timeline(double slotS)
        : m_slotS(slotS)
    {
    }

    /// Counts one event.
    /// @param atS seconds since the start of the run; negative times are ignored.
    void add(double atS);

    /// @return events per second over the slots that lie completely in [fromS, toS); 0 if there are none.
    double getRate(double fromS, double toS) const;

    double getSlotS() const { return m_slotS; }
    const std::vector<std::uint64_t>& getCounts() const { return m_counts; }

private:
    double m_slotS;
    std::vector<std::uint64_t> m_counts;
};

/// Defines recovery after an overload: a time window in which the rate reaches a share of the baseline rate.
/// All times are in seconds since the start of the run.
struct recovery_criterion {
    double baselineFromS = 0;
    double baselineToS = 0; ///< Start of the overload.
    double overloadEndS = 0;
    double runEndS = 0;
    double windowS = 1; ///< Length of the window.
    double share = 0.95; ///< Required share of the baseline rate.
};

/// Computes the recovery time by a recovery criterion.
/// @return seconds from the end of the overload to the end of the first window that meets the criterion
///     (at least the length of the window); -1 if no window meets it.
double computeRecoveryS(const timeline& goodput, const recovery_criterion& criterion);

} // namespace fuchsiagauge::bench
