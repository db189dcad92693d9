#pragma once

#include "core/document_reader.h"

namespace fuchsiagauge::stand_in {

/// Faults that a target injects. Each share is the probability, 0 to 1, that a request is affected.
struct target_faults {
    double slowFactor = 1; ///< Multiplies the service time.
    double failShare = 0; ///< Returns status 500 at once, without service time or downstream calls.
    bool isHealthInverted = false; ///< The health endpoint reports the opposite state.
    bool isLoadReportedIdle = false; ///< The load endpoint reports no requests in flight or queued.
    double dropAnswerShare = 0; ///< Runs the request, then closes the connection without a response.
    double truncatedAnswerShare = 0; ///< Closes the connection after half of the response body.
    double nonHttpAnswerShare = 0; ///< Runs the request, then sends bytes that are not HTTP.
    double duplicateAnswerShare = 0; ///< Sends the response twice.
    double wrongLengthShare = 0; ///< Sends a `content-length` that is smaller than the body.
    bool isDraining = false; ///< The health endpoint reports that the instance is draining.
};

/// Reads the fault settings of a request to the control endpoint; faults without a key keep their previous
/// values.
/// @return the new faults.
target_faults readTargetFaults(document_reader& reader, const target_faults& previous);

} // namespace fuchsiagauge::stand_in
