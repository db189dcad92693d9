#pragma once

#include "client/client_environment.h"

#include <istream>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// Prints the log lines of one request, collected from several nodes, in chronological order.
///
/// Includes the lines of calls that instances made on behalf of the request, indented by nesting depth. Text
/// before the JSON object of a line, such as a prefix added by a log collector, is ignored.
/// @param requestId ID of the request, as the client sent it.
/// @param fileNames log files; standard input if empty.
/// @return the exit code: ExitProblemFound when no log line belongs to the request.
int runExplain(const client_environment& environment, const std::string& requestId,
    const std::vector<std::string>& fileNames);

/// Prints the log lines of one request from open streams; see runExplain().
/// @return the number of log lines that belong to the request.
std::size_t explainRequest(
    const std::vector<std::istream*>& logs, const std::string& requestId, std::ostream& out);

} // namespace fuchsiagauge
