#pragma once

#include "core/address.h"
#include "policy/peer_message.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace fuchsiagauge {

/// Reads the platform's documents and watches them for changes by long polling, with at most one call at a
/// time for each document.
///
/// Each call has to be permitted by hooks::tryTakeCallPermit. The client must only be used from the thread
/// that runs its io_context, and must be destroyed only after the io_context has stopped running.
class platform_client {
public:
    struct options {
        address platform;
        double watchMs = 20000; ///< Longest time that the platform may hold a watch open without a change.
        double responseMarginMs = 2000; ///< Time allowed for a response in addition to watchMs.
        double initialRetryDelayMs = 500; ///< Doubled after each consecutive failure; jitter is applied.
        double maxRetryDelayMs = 10000;
        double maxPauseMs = 1000; ///< Longest random pause between a response and the next watch.
    };

    /// Callbacks into the owner. All are required.
    struct hooks {
        std::function<double()> random; ///< In [0, 1).
        std::function<bool()> tryTakeCallPermit; ///< Returns whether a call may be made now, and counts it.
        std::function<void()> onContact; ///< The platform responded, or a watch is open.
        /// The platform returned a document.
        std::function<void(document_kind, std::uint64_t revision, std::string text)> onDocument;
        std::function<void(const std::string& reason)> onFailure; ///< A call failed.
    };

    /// Creates a client that makes no calls before start().
    /// @param io runs the calls.
    /// @param config address of the platform, and timing.
    /// @param callbacks hooks; all are required.
    platform_client(boost::asio::io_context& io, options config, hooks callbacks);
    ~platform_client();
    platform_client(const platform_client&) = delete;
    platform_client& operator=(const platform_client&) = delete;

    /// Starts reading all documents.
    void start();

    /// Stops reading and cancels the calls in progress.
    void stop();

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace fuchsiagauge
