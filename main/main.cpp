#include "core/error.h"
#include "core/log.h"
#include "core/settings.h"
#include "main/exit_code.h"
#include "main/mesh_main.h"
#include "mesh/mesh_settings.h"
#include "node/node.h"

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <iostream>

namespace {

int runNode(const fuchsiagauge::settings& config)
{
    using namespace fuchsiagauge;
    startLog(findLogLevel(config.getText("log.level")), config.getText("instance"));
    boost::asio::io_context io(1);
    node server(io, config);
    if (!server.start()) {
        writeLog(log_level::Error, "failed to start: " + getLastError().detail);
        return startFailedExitCode;
    }
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code& code, int) {
        if (!code)
            server.leave([&io] { io.stop(); });
    });
    io.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("fuchsiagauged: the node that runs in front of one target", "fuchsiagauged");
    std::string fileName;
    bool isCheckOnly = false;
    bool isReferenceRequested = false;
    app.add_option("--settings", fileName, "Settings file: JSON with comments");
    app.add_flag("--check", isCheckOnly, "Validate the settings and exit");
    app.add_flag(
        "--settings-reference", isReferenceRequested, "Print the reference page of all settings and exit");
    auto* mesh = app.add_subcommand("mesh", "Run as a mesh node beside one service instance of the platform");
    std::string meshFileName;
    mesh->add_option("--settings", meshFileName, "Settings file: JSON with comments")
        ->envname("FUCHSIAGAUGE_SETTINGS")
        ->check(CLI::ExistingFile);
    bool isMeshCheckOnly = false;
    bool isMeshReferenceRequested = false;
    mesh->add_flag("--check", isMeshCheckOnly, "Validate the settings and exit");
    mesh->add_flag("--settings-reference", isMeshReferenceRequested,
        "Print the reference page of the mesh settings and exit");
    CLI11_PARSE(app, argc, argv);
    if (isMeshReferenceRequested) {
        std::cout << fuchsiagauge::formatMeshSettingsReference();
        return 0;
    }
    if (mesh->parsed())
        return isMeshCheckOnly ? fuchsiagauge::checkMeshSettings(meshFileName)
                               : fuchsiagauge::runMeshNode(meshFileName);
    if (isReferenceRequested) {
        std::cout << fuchsiagauge::formatSettingsReference();
        return 0;
    }
    const auto config = fuchsiagauge::settings::load(fileName);
    if (!config) {
        std::cerr << fuchsiagauge::getLastError().detail << '\n';
        return fuchsiagauge::invalidSettingsExitCode;
    }
    if (isCheckOnly) {
        std::cout << fileName << ": settings are valid\n";
        return 0;
    }
    return runNode(*config);
}
