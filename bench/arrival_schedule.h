#pragma once

#include "bench/experiment.h"

#include <optional>
#include <random>

namespace fuchsiagauge::bench {

/// The factor on a group's rate at an instant; phases that overlap multiply.
double getLoadFactor(const experiment& plan, const caller_group& group, double atS);

/// Arrival times of one caller group: Poisson, the same for the same seed.
class arrival_schedule {
public:
    /// @param plan the experiment; must outlive the schedule.
    /// @param groupIndex which of its groups.
    arrival_schedule(const experiment& plan, std::size_t groupIndex);

    /// @return seconds from the start to the next arrival; nothing after the last.
    std::optional<double> next();

private:
    const experiment& m_plan;
    const caller_group& m_group;
    double m_maxFactor;
    double m_atS = 0;
    std::mt19937_64 m_random;
};

} // namespace fuchsiagauge::bench
