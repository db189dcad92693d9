#include "bench/statistics.h"

#include <algorithm>
#include <cmath>

namespace fuchsiagauge::bench {
namespace {

    constexpr double slotEpsilon = 1e-9; // Tolerance for rounding errors at slot boundaries.

    double getSortedPercentile(const std::vector<double>& sorted, double percent)
    {
        if (sorted.empty())
            return 0;
        const auto rank = std::ceil(percent / 100 * static_cast<double>(sorted.size()));
        const auto index = std::max<std::size_t>(1, static_cast<std::size_t>(rank)) - 1;
        return sorted[std::min(index, sorted.size() - 1)];
    }

} // namespace

double computePercentile(std::vector<double>& values, double percent)
{
    std::sort(values.begin(), values.end());
    return getSortedPercentile(values, percent);
}

latency_summary summarize(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return { values.size(), getSortedPercentile(values, 50), getSortedPercentile(values, 90),
        getSortedPercentile(values, 99), values.empty() ? 0 : values.back() };
}

void timeline::add(double atS)
{
    if (atS < 0)
        return;
    const auto slot = static_cast<std::size_t>(atS / m_slotS);
    if (slot >= m_counts.size())
        m_counts.resize(slot + 1);
    ++m_counts[slot];
}

double timeline::getRate(double fromS, double toS) const
{
    const auto first = static_cast<std::size_t>(std::ceil(fromS / m_slotS - slotEpsilon));
    const auto last = static_cast<std::size_t>(std::floor(toS / m_slotS + slotEpsilon));
    if (last <= first)
        return 0;
    std::uint64_t sum = 0;
    for (auto slot = first; slot < std::min(last, m_counts.size()); ++slot)
        sum += m_counts[slot];
    return static_cast<double>(sum) / (static_cast<double>(last - first) * m_slotS);
}

double computeRecoveryS(const timeline& goodput, const recovery_criterion& criterion)
{
    const auto requiredRate
        = criterion.share * goodput.getRate(criterion.baselineFromS, criterion.baselineToS);
    if (requiredRate <= 0)
        return -1;
    for (auto begin = criterion.overloadEndS; begin + criterion.windowS <= criterion.runEndS + slotEpsilon;
         begin += goodput.getSlotS()) {
        const auto end = begin + criterion.windowS;
        if (goodput.getRate(begin, end) >= requiredRate)
            return end - criterion.overloadEndS;
    }
    return -1;
}

} // namespace fuchsiagauge::bench
