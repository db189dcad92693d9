#pragma once

#include "core/clock.h"
#include "core/fleet_keys.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace fuchsiagauge {

/// Longest text of a ticket, in bytes.
constexpr std::size_t maxTicketBytes = 384;

/// Names one order and the only node life that may hand it to a target.
struct order_ticket {
    std::string instance; ///< Instance whose node minted the ticket.
    std::uint64_t startNumber = 0; ///< Start number of that node.
    std::uint64_t lifeNonce = 0; ///< Drawn once by that node at its start.
    std::uint64_t sequence = 0; ///< Counts the tickets of that node life, from 1.
    milliseconds mintTime; ///< On the minting node's own clock.
    std::string service; ///< Service that runs the order.
    std::string className; ///< Class of the order.

    friend bool operator==(const order_ticket& a, const order_ticket& b);
    friend bool operator!=(const order_ticket& a, const order_ticket& b) { return !(a == b); }
};

/// Writes a ticket as signed text that needs no escaping in a URL or header.
/// @param ticket the ticket; instance, service and class are names as isValidName() accepts them.
/// @param keys the fleet's keys.
/// @return the text, at most maxTicketBytes long.
std::string formatOrderTicket(const order_ticket& ticket, const fleet_keys& keys);

/// Reads signed text.
/// @param text the text.
/// @param keys the fleet's keys.
/// @return the ticket, or nothing with error_kind::BadTicket when malformed or not signed by the fleet.
std::optional<order_ticket> parseOrderTicket(const std::string& text, const fleet_keys& keys);

/// Digest that tells whether two requests with one ticket are the same request.
/// @param method HTTP method.
/// @param path request path.
/// @param body request body.
/// @return the first 64 bits of SHA-256 over the three.
std::uint64_t computeRequestDigest(
    const std::string& method, const std::string& path, const std::string& body);

} // namespace fuchsiagauge
