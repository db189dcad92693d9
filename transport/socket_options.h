#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace fuchsiagauge {

/// Configures a connection for low latency of short messages, non-blocking use and detection of an
/// unresponsive remote side within seconds.
/// @param socket an open socket.
void configureSocket(boost::asio::ip::tcp::socket& socket);

/// Writes as much as fits into the kernel's send buffer, without blocking.
/// @param socket a non-blocking socket.
/// @param data the bytes to write.
/// @param size the number of bytes.
/// @param code set if the connection failed; a full send buffer is not an error.
/// @return the number of bytes written.
std::size_t writeNonBlocking(boost::asio::ip::tcp::socket& socket, const char* data, std::size_t size,
    boost::system::error_code& code);

} // namespace fuchsiagauge
