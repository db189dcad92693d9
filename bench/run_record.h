#pragma once

#include "core/error.h"

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace fuchsiagauge::bench {

/// One request, from the caller's point of view.
struct caller_record {
    std::string request; ///< Request id set by the caller.
    std::string order; ///< Order id; empty if the request is not an order.
    std::string group; ///< Name of the caller group.
    double arrivalMs = 0; ///< Since the start of the load tool's run.
    run_outcome outcome = run_outcome::Unknown; ///< What the caller can conclude from all sends.
    std::string error; ///< Stable error identifier of the last send; empty if it succeeded.
    /// Whether a complete and correct response of status 200 arrived, in time or late.
    bool isResponseValid = false;
    std::string responseMismatch; ///< Kind of mismatch of a response passed as complete; empty: none.
};

/// One event in the journal of a target.
struct journal_event {
    double timeMs = 0; ///< Since 1970-01-01 UTC.
    std::string event; ///< `run`, `done`, `failed`, `cancelled` or `refused`.
    std::string order;
    std::string request; ///< Request id set by the caller.
    std::string contextId; ///< Request id set by the edge node; empty without a call context.
    int depth = 0; ///< Hops from the edge.
    std::string instance;
    std::string service;
};

/// One injected fault.
struct fault_record {
    double startMs = 0; ///< Since 1970-01-01 UTC.
    double endMs = 0; ///< 0: the fault lasts until the end of the run.
    std::string kind; ///< For example `planned-stop`, `kill` or `freeze`.
    std::string instance; ///< Affected instance; empty if the fault is not limited to one.
};

/// The configuration revision in force at a node after a change.
struct revision_record {
    std::string instance;
    std::uint64_t startNumber = 0; ///< Distinguishes the starts of one instance.
    std::uint64_t sequence = 0; ///< Position in the audit trail since that start.
    std::uint64_t revision = 0;
};

/// All records of a run.
struct run_records {
    std::vector<caller_record> callerRecords;
    std::vector<journal_event> journal;
    std::vector<fault_record> faults;
    std::vector<revision_record> revisions;
    int unreadableLines = 0; ///< Without a last line that was truncated by a kill.
};

/// Reads a record file written by fuchsiagauge-load, one JSON object per line.
void readCallerRecords(std::istream& in, run_records& records);

/// Reads the journal of a target, one JSON object per line.
void readJournal(std::istream& in, run_records& records);

/// Reads the list of injected faults, one JSON object per line.
void readFaults(std::istream& in, run_records& records);

/// Reads parts of the audit trails of nodes, one response to `GET /audit` per line.
void readAudit(std::istream& in, run_records& records);

} // namespace fuchsiagauge::bench
