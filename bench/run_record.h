#pragma once

#include "core/error.h"

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace fuchsiagauge::bench {

/// One request as its caller saw it.
struct caller_record {
    std::string request; ///< The caller's own name of the request.
    std::string order; ///< The order's id; empty for other requests.
    std::string group; ///< Group of callers.
    double arrivalMs = 0; ///< Since the start of the callers' run.
    run_outcome outcome = run_outcome::Unknown; ///< What the caller may conclude in the end.
    std::string error; ///< Stable word of the last failed send; empty when it was answered.
    bool isResponseValid = false; ///< Whether its own whole answer of status 200 came, in time or late.
    std::string responseMismatch; ///< What was wrong with an answer that was given as complete.
};

/// One event of a target's journal.
struct journal_event {
    double timeMs = 0; ///< Since 1970-01-01 UTC.
    std::string event; ///< `run`, `done`, `failed`, `cancelled` or `refused`.
    std::string order;
    std::string request; ///< The caller's own name of the request.
    std::string contextId; ///< Request id that the edge node set; empty without a context.
    int depth = 0;
    std::string instance;
    std::string service;
};

/// One fault that was brought about.
struct fault_record {
    double startMs = 0; ///< Since 1970-01-01 UTC.
    double endMs = 0; ///< 0: lasts until the end of the run.
    std::string kind; ///< For instance `planned-stop`, `kill`, `freeze`.
    std::string instance; ///< Empty when it is not about one instance.
};

/// The configuration in force at a node after a change.
struct revision_record {
    std::string instance;
    std::uint64_t startNumber = 0;
    std::uint64_t sequence = 0; ///< Position in the node life's audit trail.
    std::uint64_t revision = 0;
};

/// All that is known of a run.
struct run_records {
    std::vector<caller_record> callerRecords;
    std::vector<journal_event> journal;
    std::vector<fault_record> faults;
    std::vector<revision_record> revisions;
    int unreadableLines = 0; ///< A last line that was cut off by a kill is not counted.
};

/// Reads the callers' record of fuchsiagauge-load, one JSON object a line.
void readCallerRecords(std::istream& in, run_records& records);

/// Reads a target's journal, one JSON object a line.
void readJournal(std::istream& in, run_records& records);

/// Reads the list of faults, one JSON object a line.
void readFaults(std::istream& in, run_records& records);

/// Reads parts of nodes' audit trails, one answer to `GET /audit` a line.
void readAudit(std::istream& in, run_records& records);

} // namespace fuchsiagauge::bench
