#pragma once

// Included by the HTTP source files only: Beast takes long to compile.

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

/// Copies the fields that are passed on.
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

/// Puts fields into a Beast message.
template <typename Message> void insertFields(const header_fields& fields, Message& message)
{
    for (const auto& field : fields.getAll())
        message.insert(field.name, field.value);
}

/// Whether a connection that should be silent has been closed or has bytes waiting.
inline bool isClosedOrReadable(asio::ip::tcp::socket& socket)
{
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return !(count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

} // namespace fuchsiagauge
