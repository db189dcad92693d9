#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace fuchsiagauge {

/// State of a node that it reports with every response to another node.
struct node_report {
    int unspentRetries = 0; ///< Granted retries that were not used and are returned to the caller.
    std::uint32_t admissionLevel = 0; ///< Requests with a lower rank are currently refused.
    int inFlight = 0; ///< Number of requests currently at the target.
    int limit = 0; ///< Current concurrency limit.
    std::uint64_t revision = 0; ///< Active configuration revision.
    std::uint64_t startNumber = 0; ///< Start number of the responding node.
    bool isLeaving = false; ///< Whether the instance accepts no new requests.

    friend bool operator==(const node_report& a, const node_report& b);
    friend bool operator!=(const node_report& a, const node_report& b) { return !(a == b); }
};

/// @return the report as a header value.
std::string formatNodeReport(const node_report& report);

/// @return the report parsed from a header value, or nothing with error_kind::BadPeerMessage.
std::optional<node_report> parseNodeReport(const std::string& value);

} // namespace fuchsiagauge
