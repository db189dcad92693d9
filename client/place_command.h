#pragma once

#include "client/client_environment.h"

#include <string>

namespace fuchsiagauge {

/// The request for which a place is asked. Empty fields are not sent.
struct place_request {
    std::string service; ///< Instead of host and path.
    std::string host;
    std::string path;
    std::string method;
    std::string size; ///< Bytes of the body.
    std::string organisation; ///< Name of the organisation.
};

/// Prints where the nodes would send a request now.
/// @param options the nodes are given by the addresses of their metrics listeners.
/// @return the exit code: ExitProblemFound if a node would not send the request to any instance.
int runPlace(
    const client_environment& environment, const client_options& options, const place_request& request);

} // namespace fuchsiagauge
