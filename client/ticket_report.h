#pragma once

#include <optional>
#include <string>

namespace fuchsiagauge {

/// State of an order's ticket, as a node reports it.
struct ticket_report {
    std::string state; ///< Stable name of the state, such as `answered`.
    std::string sentence; ///< Description of the state for operators.
    bool isCertain = false; ///< Whether the node knows if the order has run.

    friend bool operator==(const ticket_report& a, const ticket_report& b);
    friend bool operator!=(const ticket_report& a, const ticket_report& b) { return !(a == b); }
};

/// Parses a node's response to a ticket query.
/// @param text a JSON object with the key `state`.
/// @return the report, or nothing with error_kind::BadPeerMessage for an unknown state.
std::optional<ticket_report> parseTicketReport(const std::string& text);

/// @return the report as one JSON object.
std::string formatTicketReportAsJson(const ticket_report& report);

} // namespace fuchsiagauge
