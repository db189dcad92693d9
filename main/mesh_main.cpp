#include "main/mesh_main.h"

#include "core/error.h"
#include "main/exit_code.h"
#include "mesh/mesh_node.h"
#include "platform/platform_feed.h"
#include "platform/platform_protocol.h"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <malloc.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <utility>

namespace fuchsiagauge {
namespace {

    /// How often the modification time of the settings file is checked, for changes without a SIGHUP.
    constexpr std::chrono::seconds settingsCheckInterval { 1 };

    /// Reloads the settings on SIGHUP and when the settings file changes.
    class settings_watcher {
    public:
        settings_watcher(boost::asio::io_context& io, std::string fileName, mesh_node& node)
            : m_signals(io, SIGHUP)
            , m_timer(io)
            , m_fileName(std::move(fileName))
            , m_node(node)
            , m_modificationTimeNs(getModificationTimeNs())
        {
            waitForSignal();
            waitForNextCheck();
        }

    private:
        std::int64_t getModificationTimeNs() const
        {
            constexpr std::int64_t nanosecondsPerSecond = 1000000000;
            struct stat status { };
            if (::stat(m_fileName.c_str(), &status) != 0)
                return 0;
            return status.st_mtim.tv_sec * nanosecondsPerSecond + status.st_mtim.tv_nsec;
        }

        void waitForSignal()
        {
            m_signals.async_wait([this](const boost::system::error_code& code, int) {
                if (code)
                    return;
                reload();
                waitForSignal();
            });
        }

        void waitForNextCheck()
        {
            m_timer.expires_after(settingsCheckInterval);
            m_timer.async_wait([this](const boost::system::error_code& code) {
                if (code)
                    return;
                if (getModificationTimeNs() != m_modificationTimeNs)
                    reload();
                waitForNextCheck();
            });
        }

        void reload()
        {
            m_modificationTimeNs = getModificationTimeNs();
            const auto config = mesh_settings::load(m_fileName);
            m_node.reloadSettings(config, config ? std::string() : copyLastError().detail);
        }

        boost::asio::signal_set m_signals;
        boost::asio::steady_timer m_timer;
        std::string m_fileName;
        mesh_node& m_node;
        /// Modification time of the file at the last load, in nanoseconds since 1970-01-01 UTC; 0 if stat()
        /// failed.
        std::int64_t m_modificationTimeNs;
    };

    /// Limits the descriptors of the process, and lets large bodies be returned to the system when they are
    /// freed. Without the fixed threshold, freeing one raises it, and later ones stay in the heap.
    void limitProcess(mesh_settings& config)
    {
        constexpr int mappedBytes = 131072;
        ::mallopt(M_MMAP_THRESHOLD, mappedBytes);
        ::mallopt(M_TRIM_THRESHOLD, mappedBytes);
        rlimit limit {};
        if (::getrlimit(RLIMIT_NOFILE, &limit) != 0)
            return;
        limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, config.maxDescriptors);
        config.maxDescriptors = limit.rlim_cur;
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }

} // namespace

int checkMeshSettings(const std::string& fileName)
{
    if (!mesh_settings::load(fileName)) {
        std::cerr << copyLastError().detail << '\n';
        return invalidSettingsExitCode;
    }
    std::cout << fileName << ": settings are valid\n";
    return 0;
}

int runMeshNode(const std::string& fileName)
{
    auto config = mesh_settings::load(fileName);
    if (!config) {
        std::cerr << copyLastError().detail << '\n';
        return invalidSettingsExitCode;
    }
    limitProcess(*config);
    boost::asio::io_context io(1);
    mesh_node node(io, *config, makePlatformProtocol());
    if (!node.start()) {
        std::cerr << "failed to start: " << copyLastError().detail << '\n';
        return startFailedExitCode;
    }
    platform_feed feed(io, *config, node);
    feed.start();
    boost::asio::signal_set stopSignals(io, SIGTERM, SIGINT);
    stopSignals.async_wait([&](const boost::system::error_code& code, int) {
        if (!code)
            node.stop([&io] { io.stop(); });
    });
    const settings_watcher watcher(io, fileName, node);
    io.run();
    return 0;
}

} // namespace fuchsiagauge
