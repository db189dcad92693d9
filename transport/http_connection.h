#pragma once

#include "transport/beast_types.h"

#include <chrono>

namespace fuchsiagauge {

/// Large enough for a typical message to be received in a single system call.
constexpr std::size_t readBufferBytes = 8192;

/// Largest part of a message that is kept until the parser can take it: a head, a chunk header or a trailer.
/// Beast limits only heads by itself.
constexpr std::size_t maxUnparsedBytes = 131072;

/// One HTTP connection with its read buffer.
struct http_connection {
    explicit http_connection(asio::io_context& io)
        : stream(io)
        , buffer(maxUnparsedBytes)
    {
        buffer.reserve(readBufferBytes);
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::chrono::steady_clock::time_point idleSince;
};

} // namespace fuchsiagauge
