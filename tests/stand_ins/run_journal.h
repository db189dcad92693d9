#pragma once

#include "bench/http_message.h"

#include <fstream>
#include <string>

namespace fuchsiagauge::stand_in {

/// The parts of the call context that a target can read without the fleet's keys.
struct unverified_context {
    std::string requestId; ///< Empty: the call has no context.
    double remainingMs = 0;
    int depth = 0;
};

/// Reads the unsigned parts of a call context.
unverified_context readUnverifiedContext(const std::string& value);

/// What a target ran, one JSON line an event, flushed at once.
class run_journal {
public:
    /// @param fileName empty: nothing is written.
    /// @param instance written into each line.
    /// @param service written into each line.
    /// @param isRecordingAll whether requests without an order id are written too.
    run_journal(const std::string& fileName, std::string instance, std::string service, bool isRecordingAll);

    /// Writes one event.
    /// @param event `run`, `done`, `failed`, `cancelled` or `refused`.
    /// @param request the request that it is about.
    /// @param status status of the answer; 0 when there is none yet.
    void write(const char* event, const bench::http_request& request, int status);

private:
    std::ofstream m_file;
    std::string m_instance;
    std::string m_service;
    bool m_isRecordingAll;
};

} // namespace fuchsiagauge::stand_in
