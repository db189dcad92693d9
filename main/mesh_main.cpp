#include "main/mesh_main.h"

#include "core/error.h"
#include "main/exit_code.h"
#include "mesh/mesh_node.h"
#include "platform/platform_feed.h"
#include "platform/target_speech.h"

#include <boost/asio/signal_set.hpp>
#include <functional>
#include <iostream>

namespace fuchsiagauge {
namespace {

    /// Reads the settings again at each signal.
    void reloadOnSignal(boost::asio::signal_set& signals, const std::string& fileName, mesh_node& node)
    {
        signals.async_wait([&signals, fileName, &node](const boost::system::error_code& code, int) {
            if (code)
                return;
            const auto config = mesh_settings::load(fileName);
            node.reloadSettings(config, config ? std::string() : copyLastError().detail);
            reloadOnSignal(signals, fileName, node);
        });
    }

} // namespace

int runMeshNode(const std::string& fileName)
{
    const auto config = mesh_settings::load(fileName);
    if (!config) {
        std::cerr << copyLastError().detail << '\n';
        return badSettingsExitCode;
    }
    boost::asio::io_context io(1);
    mesh_node server(io, *config, makePlatformProtocol());
    if (!server.start()) {
        std::cerr << "can't start: " << copyLastError().detail << '\n';
        return startFailedExitCode;
    }
    platform_feed feed(io, *config, server);
    feed.start();
    boost::asio::signal_set stopSignals(io, SIGTERM, SIGINT);
    stopSignals.async_wait([&](const boost::system::error_code& code, int) {
        if (!code)
            server.stop([&io] { io.stop(); });
    });
    boost::asio::signal_set reloadSignals(io, SIGHUP);
    reloadOnSignal(reloadSignals, fileName, server);
    io.run();
    return 0;
}

} // namespace fuchsiagauge
