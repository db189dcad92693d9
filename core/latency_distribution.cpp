#include "core/metrics.h"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace fuchsiagauge {
namespace {

    namespace acc = boost::accumulators;

    constexpr std::array<double, 3> quantiles { 0.5, 0.9, 0.99 };
    constexpr std::size_t minSamplesForQuantiles = 10;

    using window_accumulator = acc::accumulator_set<double,
        acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max, acc::tag::extended_p_square>>;

    window_accumulator makeAccumulator()
    {
        return window_accumulator(acc::tag::extended_p_square::probabilities = quantiles);
    }

    /// Two overlapping accumulators of a rolling window. Summaries are read from `current`; `next` replaces
    /// it after half a window. Both record every value.
    struct accumulator_pair {
        window_accumulator current = makeAccumulator();
        window_accumulator next = makeAccumulator();
        milliseconds rotatedAt; ///< Time at which `next` was started.
        bool hasStarted = false;
    };

    void rotate(accumulator_pair& pair, milliseconds halfWindow, milliseconds now)
    {
        if (!pair.hasStarted) {
            pair.hasStarted = true;
            pair.rotatedAt = now;
            return;
        }
        const auto age = now - pair.rotatedAt;
        if (age < halfWindow)
            return;
        pair.current = age < halfWindow * 2 ? pair.next : makeAccumulator();
        pair.next = makeAccumulator();
        pair.rotatedAt = now;
    }

    latency_summary summarize(const window_accumulator& values)
    {
        latency_summary summary;
        summary.count = acc::count(values);
        if (summary.count == 0)
            return summary;
        const auto maximum = acc::max(values);
        summary.mean = milliseconds(acc::mean(values));
        summary.maximum = milliseconds(maximum);
        const auto getQuantile = [&](int index) {
            const bool isKnown = summary.count >= minSamplesForQuantiles;
            return milliseconds(isKnown ? std::min(acc::extended_p_square(values)[index], maximum) : maximum);
        };
        summary.p50 = getQuantile(0);
        summary.p90 = getQuantile(1);
        summary.p99 = getQuantile(2);
        return summary;
    }

} // namespace

struct latency_distribution::state {
    milliseconds halfWindow;
    accumulator_pair accumulators;
    std::uint64_t totalCount = 0;
    milliseconds totalTime;
};

latency_distribution::latency_distribution(milliseconds window)
    : m_state(std::make_unique<state>())
{
    m_state->halfWindow = window * 0.5;
}

latency_distribution::~latency_distribution() = default;

void latency_distribution::record(milliseconds latency, milliseconds now)
{
    const auto value = std::max(latency, milliseconds(0));
    rotate(m_state->accumulators, m_state->halfWindow, now);
    m_state->accumulators.current(value.getCount());
    m_state->accumulators.next(value.getCount());
    m_state->totalCount += 1;
    m_state->totalTime = m_state->totalTime + value;
}

latency_summary latency_distribution::getSummary(milliseconds now) const
{
    auto& accumulators = m_state->accumulators;
    rotate(accumulators, m_state->halfWindow, now);
    return summarize(accumulators.current);
}

std::uint64_t latency_distribution::getTotalCount() const { return m_state->totalCount; }

milliseconds latency_distribution::getTotalTime() const { return m_state->totalTime; }

} // namespace fuchsiagauge
