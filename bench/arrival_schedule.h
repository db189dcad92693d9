#pragma once

#include "bench/experiment.h"

#include <optional>
#include <random>

namespace fuchsiagauge::bench {

/// Computes the multiplier of a group's rate at a given time; the factors of overlapping phases are
/// multiplied.
/// @param atS seconds since the start of the run.
double getLoadFactor(const experiment& plan, const caller_group& group, double atS);

/// Arrival times of one caller group: a Poisson process that is reproducible for the same seed.
class arrival_schedule {
public:
    /// @param plan the experiment; must outlive the schedule.
    /// @param groupIndex index of the group in the plan.
    arrival_schedule(const experiment& plan, std::size_t groupIndex);

    /// @return time of the next arrival in seconds since the start; nothing after the last arrival.
    std::optional<double> next();

private:
    const experiment& m_plan;
    const caller_group& m_group;
    double m_loadFactorBound;
    double m_atS = 0;
    std::mt19937_64 m_random;
};

} // namespace fuchsiagauge::bench
