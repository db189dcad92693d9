#pragma once

#include "bench/report_writer.h"

#include <functional>
#include <string>

namespace fuchsiagauge::bench {

/// Callbacks invoked during a run; each may be empty.
struct run_hooks {
    std::function<void(const request_record&)> recordRequest; ///< Called when a request has ended.
    std::function<void(const std::string&)> showProgress; ///< Called once a second with one line of text.
};

/// Runs an experiment until all its requests have ended.
/// @param plan the experiment.
/// @param hooks callbacks for results and progress.
/// @return the results for each group and in total.
experiment_report runExperiment(const experiment& plan, const run_hooks& hooks);

} // namespace fuchsiagauge::bench
