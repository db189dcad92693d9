#pragma once

#include "bench/group_report.h"

#include <string>
#include <vector>

namespace fuchsiagauge::bench {

/// The results of one experiment.
struct experiment_report {
    experiment plan;
    std::vector<group_report>
        groups; ///< In the order of the plan; the last entry covers all groups together.
};

/// Computes how long the goodput of a group took to recover after the overload.
/// @return seconds from the end of the last phase with a factor above 1 to the recovery; -1: no recovery
///     within the run; -2: the plan has no such phase.
double computeGroupRecoveryS(const experiment& plan, const group_report& group);

/// @return the report as JSON.
std::string formatReportJson(const experiment_report& report);

/// @return the report as a human-readable table.
std::string formatReportTable(const experiment_report& report);

} // namespace fuchsiagauge::bench
