#pragma once

#include "core/address.h"
#include "policy/peer_message.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace fuchsiagauge {

/// Reads and watches the platform's documents by long polls, one after the other for each document.
///
/// Calls are made only when the hook grants them. Lives on one io_context and outlives its run.
class platform_client {
public:
    struct options {
        address platform;
        double watchMs = 20000; ///< Longest wait of one watch.
        double responseMarginMs = 2000; ///< Wait for an answer beyond the watch's own.
        double initialRetryDelayMs = 500; ///< Doubled at each failure in a row, with jitter.
        double maxRetryDelayMs = 10000;
        double maxPauseMs = 1000; ///< Longest random pause between an answer and the next watch.
    };

    /// What varies.
    struct hooks {
        std::function<double()> random; ///< In [0, 1).
        std::function<bool()> tryTakeCall; ///< Whether one call may be made now; counts it.
        std::function<void()> noteContact; ///< The platform answered, or a watch is open.
        std::function<void(document_kind, std::uint64_t revision, std::string text)> noteDocument;
        std::function<void(const std::string& reason)> noteFailure;
    };

    platform_client(boost::asio::io_context& io, options config, hooks callbacks);
    ~platform_client();
    platform_client(const platform_client&) = delete;
    platform_client& operator=(const platform_client&) = delete;

    /// Starts reading.
    void start();

    /// Ends reading; calls under way are given up.
    void stop();

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace fuchsiagauge
