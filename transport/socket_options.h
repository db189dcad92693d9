#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace fuchsiagauge {

/// Sets a connection up for short messages and for noticing a silent other side within seconds.
/// @param socket an open socket.
void configureSocket(boost::asio::ip::tcp::socket& socket);

/// Writes as much as the kernel takes without waiting.
/// @param socket a non-blocking socket.
/// @param data the bytes.
/// @param size their count.
/// @param code set when the connection failed; a full send buffer is no failure.
/// @return the bytes written.
std::size_t writeNonBlocking(boost::asio::ip::tcp::socket& socket, const char* data, std::size_t size,
    boost::system::error_code& code);

} // namespace fuchsiagauge
