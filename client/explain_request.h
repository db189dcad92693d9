#pragma once

#include "client/client_environment.h"

#include <istream>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// Tells the story of one request from the log lines of several nodes, in the order of time.
///
/// Lines of the calls that instances made for the request are told too, indented by their depth. Text before
/// a line's JSON object, as collectors of logs add it, is passed over.
/// @param requestId id of the request, as the client sent it.
/// @param fileNames files of log lines; none: standard input.
/// @return the exit code: ExitProblemFound when no line tells of the request.
int runExplain(const client_environment& environment, const std::string& requestId,
    const std::vector<std::string>& fileNames);

/// Tells the story from streams; see runExplain().
/// @return the number of lines that tell of the request.
std::size_t explainRequest(
    const std::vector<std::istream*>& logs, const std::string& requestId, std::ostream& out);

} // namespace fuchsiagauge
