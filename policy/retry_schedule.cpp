#include "policy/retry_schedule.h"

#include <algorithm>

namespace fuchsiagauge {
namespace {

    constexpr double maxTimeLeftShare = 1.0 / 3; ///< Clients wait at most this share of their time left.
    constexpr double runTimeMargin = 1.2; ///< A run under overload takes longer than the mean.
    constexpr double minAimShare = 0.2; ///< With less of the target left, a return is not likely to meet it.
    constexpr double minPauseShare = 0.5; ///< Returns are spread over the rest of the pause.

} // namespace

milliseconds scheduleRetry(const retry_situation& situation, double fraction)
{
    const auto longest = std::max(milliseconds(), situation.timeLeft * maxTimeLeftShare);
    const auto withinAim = situation.aimLeft - situation.runTime * runTimeMargin;
    const bool canMeetAim = withinAim > situation.aimLeft * minAimShare;
    const auto pause = canMeetAim ? std::min(longest, withinAim) : longest;
    return pause * (minPauseShare + (1 - minPauseShare) * fraction);
}

} // namespace fuchsiagauge
