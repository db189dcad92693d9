#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace fuchsiagauge {

/// An IP address and a port.
struct address {
    std::string host; ///< IPv4 address, or IPv6 address in brackets.
    std::uint16_t port = 0;

    friend bool operator==(const address& a, const address& b)
    {
        return std::tie(a.host, a.port) == std::tie(b.host, b.port);
    }
    friend bool operator!=(const address& a, const address& b) { return !(a == b); }
    friend bool operator<(const address& a, const address& b)
    {
        return std::tie(a.host, a.port) < std::tie(b.host, b.port);
    }
};

/// Parses `ip:port`. Only the port is checked, not the form of the IP address.
/// @param text the address as text.
/// @return the address, or nothing with error_kind::BadSettings.
std::optional<address> parseAddress(const std::string& text);

/// @return the address as `ip:port`.
std::string formatAddress(const address& value);

} // namespace fuchsiagauge
