#include "transport/socket_options.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace fuchsiagauge {
namespace {

    // An unresponsive idle connection is closed within three seconds; see defaultSendTimeout.
    constexpr int keepAliveIdleS = 1;
    constexpr int keepAliveIntervalS = 1;
    constexpr int keepAliveProbes = 2;

    void setTcpOption(int descriptor, int name, int value)
    {
        ::setsockopt(descriptor, IPPROTO_TCP, name, &value, sizeof value);
    }

} // namespace

void configureSocket(boost::asio::ip::tcp::socket& socket, milliseconds sendTimeout)
{
    boost::system::error_code code;
    socket.non_blocking(true, code);
    socket.set_option(boost::asio::ip::tcp::no_delay(true), code);
    socket.set_option(boost::asio::socket_base::keep_alive(true), code);
    setTcpOption(socket.native_handle(), TCP_KEEPIDLE, keepAliveIdleS);
    setTcpOption(socket.native_handle(), TCP_KEEPINTVL, keepAliveIntervalS);
    setTcpOption(socket.native_handle(), TCP_KEEPCNT, keepAliveProbes);
    setTcpOption(socket.native_handle(), TCP_USER_TIMEOUT, static_cast<int>(sendTimeout.getCount()));
}

std::size_t writeNonBlocking(
    boost::asio::ip::tcp::socket& socket, const char* data, std::size_t size, boost::system::error_code& code)
{
    const auto written = socket.write_some(boost::asio::buffer(data, size), code);
    if (code == boost::asio::error::would_block || code == boost::asio::error::try_again)
        code = {};
    return written;
}

bool isOrderlyEnd(const boost::system::error_code& readError, const boost::system::error_code& sendError)
{
    // Linux reports a reset as a broken pipe if it came after the end of the stream.
    return readError == boost::asio::error::eof
        && (!sendError || sendError == boost::asio::error::broken_pipe);
}

std::size_t countUnacknowledgedBytes(boost::asio::ip::tcp::socket& socket)
{
    int bytes = 0;
    if (::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) != 0 || bytes < 0)
        return 0;
    return static_cast<std::size_t>(bytes);
}

} // namespace fuchsiagauge
