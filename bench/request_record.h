#pragma once

#include "core/error.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fuchsiagauge::bench {

/// One send of a request, as its caller saw it.
struct send_record {
    std::string edge; ///< `ip:port`
    std::string ticket; ///< Ticket that it carried; empty: none.
    double startMs = 0; ///< Since the start of the run.
    double endMs = 0;
    int status = 0; ///< 0: no answer.
    std::string error; ///< Stable word; empty: none.
    run_outcome outcome = run_outcome::Unknown;
};

/// How a whole request ended.
enum class request_verdict {
    Succeeded, ///< Its own whole answer, in time.
    Late, ///< Its own whole answer, after the deadline.
    Wrong, ///< An answer of status 200 that is not its own whole answer.
    Failed,
};

/// @return the stable word of a verdict.
const char* getVerdictName(request_verdict verdict);

/// A request from its arrival to its end, as its caller saw it.
struct request_record {
    std::string id; ///< Header `caller-request-id`.
    std::string orderId; ///< Header `order-id`; empty: not an order.
    std::string group;
    std::string path;
    double arrivalMs = 0; ///< Since the start of the run.
    double endMs = 0;
    std::vector<send_record> sends;
    request_verdict verdict = request_verdict::Failed;
    run_outcome outcome = run_outcome::NotRun; ///< What the caller may conclude.
    std::string mismatch; ///< For a wrong answer: stable word of what was wrong.
    std::string mismatchDetail;
    std::string instance; ///< Target that answered.
    std::string ticketState; ///< What a node said of the ticket of a request of unknown outcome.
    std::string nodeRequestId; ///< Header `fuchsiagauge-request-id` of the last answer.
    std::uint64_t bodyBytes = 0;
};

/// @return the record as one line of JSON.
std::string formatRecord(const request_record& record);

/// Concludes what became of a request from its sends.
///
/// Without a ticket, each send may have run by itself: one of unknown outcome makes the request unknown. A
/// node that answers `not-run` to a ticket says that the ticket never ran and never will, so it settles
/// earlier sends of that ticket; a connection that could not be opened settles nothing.
run_outcome combineOutcomes(const std::vector<send_record>& sends);

} // namespace fuchsiagauge::bench
