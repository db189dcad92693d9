#pragma once

#include "policy/level_estimator.h"

#include <map>

namespace fuchsiagauge {

/// Estimates, for each class, the rank below which requests are likely to be refused downstream.
///
/// Such requests are refused before they start, so that no work is wasted on them. A few are still admitted
/// as probes, to detect when the overload ends. Classes are tracked separately, because their calls may take
/// different paths. The level of a class rises only while more than half of its requests fail this way.
class downstream_level {
public:
    /// Counts an arriving request and decides whether it may start.
    /// @param now the current time.
    /// @param rank the request's rank.
    /// @return whether the request may start.
    bool admit(milliseconds now, std::uint32_t rank);

    /// Counts a request that ended.
    /// @param rank the request's rank.
    /// @param isSuccess false if it failed because of a refusal downstream.
    void onEnd(std::uint32_t rank, bool isSuccess);

    /// Updates the levels at the end of a window and removes classes without recent arrivals.
    void tick(milliseconds now);

    /// @return the level of the class with the lowest priority; 0: all requests may start.
    std::uint32_t getLowestClassLevel() const;

private:
    struct class_level {
        level_estimator estimator;
        milliseconds lastArrivalAt;
        milliseconds lastAdmittedAt; ///< Arrival time of the last admitted request.
    };

    std::map<std::uint32_t, class_level> m_classes; ///< By priority.
};

} // namespace fuchsiagauge
