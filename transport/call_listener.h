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

/// Limits on what a listener accepts.
struct listener_limits {
    std::size_t headerBytes = 16384; ///< Largest header section of a request.
    std::size_t bodyBytes = 1048576; ///< Largest body of a request.
    std::size_t connections = 4096; ///< Further connections are closed at once.
};

/// Accepts HTTP connections and passes each call to a hook. The calls of one connection are served one at a
/// time.
class call_listener {
public:
    /// Serves one call. Runs in a coroutine and must respond through the writer.
    using call_hook = std::function<void(call_request&, response_writer&, boost::asio::yield_context)>;

    /// Creates a listener that is not open yet.
    /// @param io runs the connections.
    /// @param limits limits on connections and requests.
    /// @param onCall serves each call.
    call_listener(boost::asio::io_context& io, listener_limits limits, call_hook onCall);
    ~call_listener();
    call_listener(const call_listener&) = delete;
    call_listener& operator=(const call_listener&) = delete;

    /// Binds to an address and starts accepting connections.
    /// @param local address to listen on; port 0 selects a free port.
    /// @return the address that was bound, or nothing with error_kind::BadSettings.
    std::optional<address> open(const address& local);

    /// Stops accepting connections and closes idle ones. Calls in progress are completed, then their
    /// connections are closed.
    void stop();

    /// @return whether a caller may still be receiving its last response on a connection that is shut down.
    bool isLingering() const;

    /// @return the number of calls in progress.
    std::size_t getOpenCallCount() const;

    struct state;

private:
    std::shared_ptr<state> m_state;
};

} // namespace fuchsiagauge
