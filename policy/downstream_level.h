#pragma once

#include "policy/level_estimator.h"

#include <map>

namespace fuchsiagauge {

/// Finds, for each class, the rank below which work is most likely refused further down the call graph.
///
/// Such work is refused before it starts, but for a trickle, so that it is not done in vain. Classes are kept
/// apart, as they may take different ways; a class is only held back while more than half of its work fails
/// this way.
class downstream_level {
public:
    /// Counts an arrival.
    /// @param now the present instant.
    /// @param rank its rank.
    /// @return whether it may start.
    bool admit(milliseconds now, std::uint32_t rank);

    /// Counts ended work.
    /// @param rank its rank.
    /// @param isSuccess false if it failed because of a refusal further down.
    void onEnd(std::uint32_t rank, bool isSuccess);

    /// Moves the levels when a window has passed.
    void tick(milliseconds now);

    /// @return the level of the class with the lowest priority; 0: everything may start.
    std::uint32_t getLowestClassLevel() const;

private:
    struct class_level {
        level_estimator estimator;
        milliseconds lastArrivalAt;
        milliseconds lastAdmittedAt; ///< Last arrival that was let through.
    };

    std::map<std::uint32_t, class_level> m_classes; ///< By priority.
};

} // namespace fuchsiagauge
