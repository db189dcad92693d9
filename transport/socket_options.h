#pragma once

#include "core/clock.h"

#include <boost/asio/ip/tcp.hpp>

namespace fuchsiagauge {

/// The shortest time in which the platform expects a node to work around a lost connection.
constexpr milliseconds defaultSendTimeout { 3000 };

/// Configures a connection for low latency of short messages, non-blocking use and detection of an
/// unresponsive remote side within seconds.
/// @param socket an open socket.
/// @param sendTimeout the connection fails if the remote side takes no data for this time. Linux applies it
/// also to a remote side that is alive but does not read.
void configureSocket(boost::asio::ip::tcp::socket& socket, milliseconds sendTimeout = defaultSendTimeout);

/// Writes as much as fits into the kernel's send buffer, without blocking.
/// @param socket a non-blocking socket.
/// @param data the bytes to write.
/// @param size the number of bytes.
/// @param code set if the connection failed; a full send buffer is not an error.
/// @return the number of bytes written.
std::size_t writeNonBlocking(boost::asio::ip::tcp::socket& socket, const char* data, std::size_t size,
    boost::system::error_code& code);

/// Tells an orderly end of the stream from one that only looks like it: a send that fails takes the error of
/// the connection, so that the reads after it report the end of the stream.
/// @param readError result of a read.
/// @param sendError the first error of a send on the connection; none if all sends succeeded.
/// @return whether the remote side has closed its sending direction.
bool isOrderlyEnd(const boost::system::error_code& readError, const boost::system::error_code& sendError);

/// Tells whether the remote side has received what was written.
/// @param socket an open socket.
/// @return the bytes that were written and that the remote side has not acknowledged, including the end of
/// the stream once the sending direction is shut down; 0 if the system does not tell.
std::size_t countUnacknowledgedBytes(boost::asio::ip::tcp::socket& socket);

} // namespace fuchsiagauge
