#pragma once

namespace fuchsiagauge {

/// Exit codes of the command-line client. Scripts rely on the numbers.
enum exit_code : int {
    ExitSuccess = 0,
    /// A document is refused, documents differ, a node has an older revision, the outcome of an order is
    /// unknown, or no node or log line knows the given name or request.
    ExitProblemFound = 1,
    ExitUsage = 2, ///< The command line is invalid or a file can't be read.
    ExitUnreachable = 3, ///< At least one node did not answer; the results of the others are printed.
    ExitBadResponse = 4, ///< This version can't parse a node's response.
};

} // namespace fuchsiagauge
