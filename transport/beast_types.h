#pragma once

// Include only from source files of the HTTP layer, since Beast is slow to compile.

#include "transport/call.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace fuchsiagauge {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// @return the header fields of a Beast message, without those that isHopByHopField() excludes.
template <typename Message> header_fields copyFields(const Message& message)
{
    header_fields fields;
    for (const auto& field : message) {
        std::string name(field.name_string());
        if (!isHopByHopField(name))
            fields.add(std::move(name), std::string(field.value()));
    }
    return fields;
}

/// Adds header fields to a Beast message.
template <typename Message> void insertFields(const header_fields& fields, Message& message)
{
    for (const auto& field : fields.getAll())
        message.insert(field.name, field.value);
}

/// Checks a connection on which no data is expected, without consuming any.
/// @return whether the remote side has closed the connection or sent data that has not been read.
inline bool isClosedOrReadable(asio::ip::tcp::socket& socket)
{
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return !(count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

} // namespace fuchsiagauge
