#include "bench/arrival_schedule.h"

#include <algorithm>
#include <cmath>

namespace fuchsiagauge::bench {
namespace {

    bool appliesTo(const load_phase& phase, const caller_group& group)
    {
        const auto& names = phase.groups;
        return names.empty() || std::find(names.begin(), names.end(), group.name) != names.end();
    }

    /// @return an upper bound of getLoadFactor() over the complete run, as if all phases with a factor above
    /// 1 overlapped.
    double getLoadFactorBound(const experiment& plan, const caller_group& group)
    {
        double bound = 1;
        for (const auto& phase : plan.phases) {
            if (appliesTo(phase, group))
                bound *= std::max(1.0, phase.factor);
        }
        return bound;
    }

    /// Draws a uniform number in [0, 1). std::uniform_real_distribution is avoided because its results differ
    /// between standard libraries.
    double drawUniform(std::mt19937_64& random)
    {
        constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
        return static_cast<double>(random() >> 11) * scale;
    }

} // namespace

double getLoadFactor(const experiment& plan, const caller_group& group, double atS)
{
    double factor = 1;
    for (const auto& phase : plan.phases) {
        if (appliesTo(phase, group) && atS >= phase.fromS && atS < phase.toS)
            factor *= phase.factor;
    }
    return factor;
}

arrival_schedule::arrival_schedule(const experiment& plan, std::size_t groupIndex)
    : m_plan(plan)
    , m_group(plan.groups[groupIndex])
    , m_loadFactorBound(getLoadFactorBound(plan, m_group))
    , m_random(plan.seed * 1000003 + groupIndex)
{
}

std::optional<double> arrival_schedule::next()
{
    const auto maxRatePerS = m_group.ratePerS * m_loadFactorBound;
    if (maxRatePerS <= 0)
        return std::nullopt;
    // Thinning: candidates arrive at the upper bound of the rate, and each is accepted with a probability of
    // the rate at its time divided by that bound.
    while (m_atS < m_plan.durationS) {
        m_atS += -std::log(1 - drawUniform(m_random)) / maxRatePerS;
        const bool isAccepted
            = drawUniform(m_random) * m_loadFactorBound < getLoadFactor(m_plan, m_group, m_atS);
        if (isAccepted && m_atS < m_plan.durationS)
            return m_atS;
    }
    return std::nullopt;
}

} // namespace fuchsiagauge::bench
