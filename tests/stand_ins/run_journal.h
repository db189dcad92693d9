#pragma once

#include "bench/http_message.h"

#include <fstream>
#include <string>

namespace fuchsiagauge::stand_in {

/// Fields of a call context whose signature is not verified, because a target does not have the fleet's keys.
struct unverified_context {
    std::string requestId; ///< Empty if the call has no valid context.
    double remainingMs = 0; ///< Time until the deadline of the request.
    int depth = 0; ///< Number of hops from the edge node.
};

/// Reads fields of a call context without verifying its signature.
/// @param value value of the context header field.
/// @return the fields; default values if the value does not have the expected number of fields.
unverified_context readUnverifiedContext(const std::string& value);

/// Records the requests that a target runs or refuses: one line of JSON per event, flushed after each line.
class run_journal {
public:
    /// @param fileName file to append to; if empty, nothing is recorded.
    /// @param instance name of the target's instance, written to each line.
    /// @param service name of the target's service, written to each line.
    /// @param isRecordingAll whether requests without an order id are recorded too.
    run_journal(const std::string& fileName, std::string instance, std::string service, bool isRecordingAll);

    /// Writes one event, unless the request has no order id and only orders are recorded.
    /// @param event `run`, `done`, `failed`, `cancelled` or `refused`.
    /// @param request the request that the event belongs to.
    /// @param status status of the response; 0 if there is none yet.
    void write(const char* event, const bench::http_request& request, int status);

private:
    std::ofstream m_file;
    std::string m_instance;
    std::string m_service;
    bool m_isRecordingAll;
};

} // namespace fuchsiagauge::stand_in
