#pragma once

#include "core/document_reader.h"

namespace fuchsiagauge::stand_in {

/// How a target misbehaves; shares are of its requests, 0 to 1.
struct target_faults {
    double slowFactor = 1; ///< Multiplies the service time.
    double failShare = 0; ///< Answers 500 at once.
    bool isHealthInverted = false; ///< The health endpoint says the opposite.
    bool isLoadReportedIdle = false; ///< The load endpoint says that it is idle.
    double dropAnswerShare = 0; ///< Runs, then closes the connection without an answer.
    double truncatedAnswerShare = 0; ///< The answer's body ends early.
    double nonHttpAnswerShare = 0; ///< Runs, then answers something that is not HTTP.
    double duplicateAnswerShare = 0; ///< Sends the answer twice.
    double wrongLengthShare = 0; ///< Announces fewer bytes than it sends.
    bool isDraining = false;
};

/// Reads the keys that are present and keeps the others.
/// @return the new faults.
target_faults readTargetFaults(document_reader& reader, const target_faults& previous);

} // namespace fuchsiagauge::stand_in
