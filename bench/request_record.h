#pragma once

#include "core/error.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fuchsiagauge::bench {

/// One send of a request, from the caller's point of view.
struct send_record {
    std::string edge; ///< Address of the node, `ip:port`.
    std::string ticket; ///< Ticket sent with the request; empty: none.
    double startMs = 0; ///< Since the start of the run.
    double endMs = 0;
    int status = 0; ///< HTTP status; 0: no response.
    std::string error; ///< Stable error identifier; empty: no error.
    run_outcome outcome = run_outcome::Unknown;
};

/// Final result of a request, over all its sends.
enum class request_verdict {
    Succeeded, ///< Complete and correct response before the deadline.
    Late, ///< Complete and correct response after the deadline.
    Wrong, ///< Response with status 200 that is incomplete or belongs to another request.
    Failed,
};

/// @return the stable identifier of a verdict.
const char* getVerdictName(request_verdict verdict);

/// A request from its arrival to its end, from the caller's point of view.
struct request_record {
    std::string id; ///< Header `caller-request-id`.
    std::string orderId; ///< Header `order-id`; empty: not an order.
    std::string group;
    std::string path;
    double arrivalMs = 0; ///< Since the start of the run.
    double endMs = 0;
    std::vector<send_record> sends;
    request_verdict verdict = request_verdict::Failed;
    run_outcome outcome = run_outcome::NotRun; ///< What the caller can conclude from all sends.
    std::string mismatch; ///< For a wrong response: stable identifier of the kind of mismatch.
    std::string mismatchDetail;
    std::string instance; ///< Instance of the target that sent the last response.
    std::string ticketState; ///< For a request of unknown outcome: state of its ticket as reported by a node.
    std::string nodeRequestId; ///< Header `fuchsiagauge-request-id` of the last response.
    std::uint64_t bodyBytes = 0;
};

/// @return the record as one line of JSON, without a line break.
std::string formatRecord(const request_record& record);

/// Combines the outcomes of all sends of a request into the outcome of the request.
///
/// Without a ticket, each send may have run independently, so one send of unknown outcome makes the outcome
/// of the request unknown. A node that responds `not-run` to a ticket guarantees that the ticket has not run
/// and never will; this also resolves earlier sends with the same ticket. A connection that could not be
/// opened resolves nothing, since no node has responded.
run_outcome combineOutcomes(const std::vector<send_record>& sends);

} // namespace fuchsiagauge::bench
