#pragma once

#include "core/clock.h"

namespace fuchsiagauge {

/// What decides when a refused request is worth sending again.
struct retry_situation {
    milliseconds timeLeft; ///< Until the client gives up.
    /// Until the latency target of the route; 0 if it can't be met or the run time is not known.
    milliseconds aimLeft;
    milliseconds runTime; ///< How long a request of the route runs.
};

/// Spreads the return of requests that were refused because services further down have too much work.
///
/// A request returns in time to be answered within the latency target if it can. Otherwise it returns as late
/// as its client accepts, since it would only displace requests that can still meet the target.
/// @param fraction a random number in [0, 1).
/// @return the pause after which the client should send the request again.
milliseconds scheduleRetry(const retry_situation& situation, double fraction);

} // namespace fuchsiagauge
