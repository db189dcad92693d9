#pragma once

#include "core/address.h"
#include "transport/call.h"
#include "transport/response_writer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

namespace fuchsiagauge {

/// Bounds on what a listener accepts.
struct listener_limits {
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 1048576;
    std::size_t connections = 4096;
};

/// Accepts HTTP connections and hands each call to a hook, one call at a time on a connection.
class call_listener {
public:
    /// Serves one call; runs as a coroutine and must answer through the writer.
    using call_hook = std::function<void(call_request&, response_writer&, boost::asio::yield_context)>;

    /// Makes a listener that is not yet open.
    call_listener(boost::asio::io_context& io, listener_limits limits, call_hook onCall);
    ~call_listener();
    call_listener(const call_listener&) = delete;
    call_listener& operator=(const call_listener&) = delete;

    /// Opens the address and begins to accept.
    /// @return the address bound, or nothing with error_kind::BadSettings.
    std::optional<address> open(const address& local);

    /// Accepts no further connections and closes the idle ones; calls in progress end as usual, then close.
    void stop();

    /// @return calls in progress.
    std::size_t getOpenCallCount() const;

    struct state;

private:
    std::shared_ptr<state> m_state;
};

} // namespace fuchsiagauge
