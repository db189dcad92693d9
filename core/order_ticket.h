#pragma once

#include "core/clock.h"
#include "core/fleet_keys.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace fuchsiagauge {

/// Maximum length of a formatted ticket, in bytes.
constexpr std::size_t maxTicketBytes = 384;

/// Identifies one order and the only node process that may send it to a target.
struct order_ticket {
    std::string instance; ///< Instance whose node issued the ticket.
    std::uint64_t startNumber = 0; ///< Start number of the issuing node.
    std::uint64_t processNonce = 0; ///< Random number that the issuing node generates once at its start.
    std::uint64_t sequence = 0; ///< Number of the ticket within the issuing process, starting at 1.
    milliseconds mintTime; ///< Time of issue on the clock of the issuing node.
    std::string service; ///< Service to which the order is addressed.
    std::string className; ///< Request class of the order.

    friend bool operator==(const order_ticket& a, const order_ticket& b);
    friend bool operator!=(const order_ticket& a, const order_ticket& b) { return !(a == b); }
};

/// Formats a ticket as signed text that needs no escaping in a URL or header.
/// @param ticket the ticket; isValidName() must hold for its instance, service and class names.
/// @param keys the signing keys of the fleet.
/// @return the text, at most maxTicketBytes long.
std::string formatOrderTicket(const order_ticket& ticket, const fleet_keys& keys);

/// Parses a ticket and verifies its signature.
/// @param text the formatted ticket.
/// @param keys the signing keys of the fleet.
/// @return the ticket, or nothing with error_kind::BadTicket if it is malformed or not signed by the fleet.
std::optional<order_ticket> parseOrderTicket(const std::string& text, const fleet_keys& keys);

/// Computes a digest for checking whether two requests with the same ticket are the same request.
/// @param method HTTP method.
/// @param path request path.
/// @param body request body.
/// @return the first 64 bits of the SHA-256 over method, path and body.
std::uint64_t computeRequestDigest(
    const std::string& method, const std::string& path, const std::string& body);

} // namespace fuchsiagauge
