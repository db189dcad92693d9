#include "bench/http_message.h"
#include "core/clock.h"
#include "core/error.h"
#include "core/text_file.h"
#include "tests/stand_ins/call_rate_limiter.h"
#include "tests/stand_ins/json_control.h"
#include "tests/stand_ins/published_document.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>

namespace fuchsiagauge::stand_in {
namespace {

    using bench::getQueryValue;
    using boost::asio::yield_context;

    constexpr double maxWaitMs = 300000;
    constexpr double maxFaultMs = 24.0 * 3600 * 1000;

    struct platform_options {
        std::string listen;
        std::string control;
        std::string presetsFile;
        std::string vmsFile;
        std::uint64_t maxCallsPerSecond = 2000;
    };

    struct platform_faults {
        bool isDown = false; ///< Responds to every call with 503.
        bool isHanging = false; ///< Never responds.
        double delayMs = 0; ///< Added before each response.
        int staleRevision = 0; ///< Serves the preset document of this older revision; 0: the latest.
        double vmsLagMs = 0; ///< Changes of the VM list become visible this much later.
    };

    std::uint64_t parseNumber(const std::string& text) { return std::strtoull(text.c_str(), nullptr, 10); }

    std::string readDocument(const std::string& fileName)
    {
        constexpr std::size_t maxDocumentBytes = 16 << 20;
        const auto text = readTextFile(fileName, maxDocumentBytes);
        if (!text)
            throw std::runtime_error(getLastError().detail);
        return *text;
    }

    /// Stand-in for the platform's configuration service and VM list.
    class platform {
    public:
        platform(boost::asio::io_context& context, const platform_options& options)
            : m_context(context)
            , m_callLimiter(options.maxCallsPerSecond)
        {
            if (!options.presetsFile.empty())
                m_presets.publish(readDocument(options.presetsFile), std::nullopt, 0);
            if (!options.vmsFile.empty())
                m_vms.publish(readDocument(options.vmsFile), std::nullopt, 0);
        }

        void serve(http_exchange& exchange, const yield_context& yield)
        {
            const bool isWithinLimit = m_callLimiter.accept(now());
            if (m_faults.isHanging)
                return hang(exchange, yield);
            if (m_faults.delayMs > 0)
                sleep(m_faults.delayMs, yield);
            if (m_faults.isDown)
                return exchange.send({ 503, {}, "outage\n" }, yield);
            if (!isWithinLimit)
                return exchange.send({ 429, {}, "above the limit\n" }, yield);
            const auto& path = exchange.getRequest().path;
            const auto resource = path.substr(0, path.find('?'));
            if (exchange.getRequest().method != "GET")
                return exchange.send({ 405, {}, "read only\n" }, yield);
            if (resource == "/v1/presets")
                return serveDocument(
                    exchange, [this]() -> const document_version& { return getPresets(); }, yield);
            if (resource == "/v1/vms")
                return serveDocument(
                    exchange, [this]() -> const document_version& { return getVms(); }, yield);
            exchange.send({ 404, {}, "unknown path\n" }, yield);
        }

        void control(http_exchange& exchange, const yield_context& yield)
        {
            const auto& request = exchange.getRequest();
            if (request.method == "PUT" && request.path == "/presets")
                return publish(m_presets, exchange, yield);
            if (request.method == "PUT" && request.path == "/vms")
                return publish(m_vms, exchange, yield);
            if (request.method == "POST" && request.path == "/faults")
                return setFaults(exchange, yield);
            if (request.method == "GET" && request.path == "/stats")
                return sendStats(exchange, yield);
            sendJson(exchange, 404, { { "error", "unknown path" } }, yield);
        }

    private:
        using version_source = std::function<const document_version&()>;

        double now() const { return (m_clock.now() - m_start).getCount(); }

        const document_version& getPresets() const
        {
            if (m_faults.staleRevision == 0)
                return m_presets.getLatest();
            return m_presets.getVersion(static_cast<std::uint64_t>(m_faults.staleRevision));
        }

        const document_version& getVms() const { return m_vms.getLaggingVersion(m_faults.vmsLagMs, now()); }

        void sleep(double durationMs, const yield_context& yield)
        {
            boost::asio::steady_timer timer(
                m_context, std::chrono::milliseconds(static_cast<long long>(durationMs)));
            boost::system::error_code code;
            timer.async_wait(yield[code]);
        }

        /// Waits until notifyWaiters() is called, the caller disconnects or `durationMs` has passed.
        void wait(http_exchange& exchange, double durationMs, const yield_context& yield)
        {
            boost::asio::steady_timer timer(
                m_context, std::chrono::milliseconds(static_cast<long long>(durationMs)));
            exchange.setDisconnectHook([&timer] { timer.cancel(); });
            m_waiters.insert(&timer);
            boost::system::error_code code;
            timer.async_wait(yield[code]);
            m_waiters.erase(&timer);
            exchange.setDisconnectHook({});
        }

        void notifyWaiters()
        {
            for (auto* timer : m_waiters)
                timer->cancel();
        }

        void hang(http_exchange& exchange, const yield_context& yield)
        {
            while (m_faults.isHanging && !exchange.isCallerDisconnected())
                wait(exchange, maxWaitMs, yield);
            exchange.closeAfterExchange();
        }

        void serveDocument(
            http_exchange& exchange, const version_source& getVersion, const yield_context& yield)
        {
            const auto path = exchange.getRequest().path;
            const auto after = getQueryValue(path, "after");
            const auto waitMs = std::min(maxWaitMs, double(parseNumber(getQueryValue(path, "wait_ms"))));
            const auto end = now() + waitMs;
            const auto isNew = [&] { return after.empty() || getVersion().revision != parseNumber(after); };
            while (!isNew() && now() < end && !exchange.isCallerDisconnected() && !m_faults.isDown)
                wait(exchange, std::min(end - now() + 1, getPollMs()), yield);
            if (exchange.isCallerDisconnected())
                return;
            if (m_faults.isDown)
                return exchange.send({ 503, {}, "outage\n" }, yield);
            sendVersion(exchange, getVersion(), isNew(), yield);
        }

        /// Returns how long a watch waits before it checks for a new version. A lagging VM list changes
        /// without a call of notifyWaiters(), so it is polled.
        double getPollMs() const
        {
            constexpr double lagPollMs = 50;
            return m_faults.vmsLagMs > 0 ? lagPollMs : maxWaitMs;
        }

        void sendVersion(
            http_exchange& exchange, const document_version& version, bool isNew, const yield_context& yield)
        {
            const auto body = version.body;
            const bench::http_fields fields { { "revision", std::to_string(version.revision) } };
            if (version.revision == 0)
                return exchange.send({ 404, fields, "nothing is published\n" }, yield);
            if (isNew)
                return exchange.send({ 200, fields, body }, yield);
            exchange.send({ 304, fields, {} }, yield);
        }

        void publish(published_document& document, http_exchange& exchange, const yield_context& yield)
        {
            std::optional<std::uint64_t> forcedRevision;
            if (exchange.getRequest().fields.has("revision"))
                forcedRevision = parseNumber(exchange.getRequest().fields.get("revision"));
            const auto revision = document.publish(exchange.getRequest().body, forcedRevision, now());
            notifyWaiters();
            sendJson(exchange, 200, { { "revision", revision } }, yield);
        }

        void setFaults(http_exchange& exchange, const yield_context& yield)
        {
            auto next = m_faults;
            const auto read = [&next](document_reader& reader) {
                next.isDown = reader.getFlag("outage", next.isDown);
                next.isHanging = reader.getFlag("hang", next.isHanging);
                next.delayMs = reader.getNumber("delay_ms", next.delayMs, 0, maxFaultMs);
                next.staleRevision = reader.getInteger("stale_revision", next.staleRevision, 0, 1 << 30);
                next.vmsLagMs = reader.getNumber("vms_lag_ms", next.vmsLagMs, 0, maxFaultMs);
            };
            const auto apply = [this, &next] {
                m_faults = next;
                notifyWaiters();
            };
            applyJson(exchange, read, apply, yield);
        }

        void sendStats(http_exchange& exchange, const yield_context& yield)
        {
            const auto& perSecond = m_callLimiter.getCallsPerSecond();
            const auto highest = std::max_element(perSecond.begin(), perSecond.end());
            nlohmann::json stats { { "calls", m_callLimiter.getCalls() },
                { "refused", m_callLimiter.getRefused() } };
            stats["max_calls_per_second"] = highest == perSecond.end() ? 0 : *highest;
            stats["per_second"] = perSecond;
            stats["now_second"] = now() / 1000;
            stats["presets_revision"] = m_presets.getLatest().revision;
            stats["vms_revision"] = m_vms.getLatest().revision;
            sendJson(exchange, 200, stats, yield);
        }

        boost::asio::io_context& m_context;
        clock m_clock = clock::makeSteady();
        milliseconds m_start = m_clock.now();
        call_rate_limiter m_callLimiter;
        published_document m_presets;
        published_document m_vms;
        platform_faults m_faults;
        std::set<boost::asio::steady_timer*> m_waiters;
    };

    int run(const platform_options& options)
    {
        const auto listen = parseAddress(options.listen);
        const auto control = parseAddress(options.control);
        if (!listen || !control)
            throw std::runtime_error("--listen and --control expect ip:port");
        boost::asio::io_context context(1);
        platform service(context, options);
        serveHttp(context, *listen,
            [&](http_exchange& exchange, const yield_context& yield) { service.serve(exchange, yield); });
        serveHttp(context, *control,
            [&](http_exchange& exchange, const yield_context& yield) { service.control(exchange, yield); });
        context.run();
        return 0;
    }

} // namespace
} // namespace fuchsiagauge::stand_in

int main(int argc, char** argv)
{
    CLI::App app { "Stand-in for the platform's configuration service and VM list, for tests." };
    fuchsiagauge::stand_in::platform_options options;
    app.add_option("--listen", options.listen, "address (ip:port) that serves the documents")->required();
    app.add_option("--control", options.control,
           "address (ip:port) of the control interface, which publishes documents and sets faults")
        ->required();
    app.add_option("--presets", options.presetsFile, "preset document to publish at startup");
    app.add_option("--vms", options.vmsFile, "VM list to publish at startup");
    app.add_option("--limit", options.maxCallsPerSecond, "maximum number of calls accepted per second");
    CLI11_PARSE(app, argc, argv);
    try {
        return fuchsiagauge::stand_in::run(options);
    } catch (const std::exception& fault) {
        std::cerr << "stand_in_platform: " << fault.what() << '\n';
        return 1;
    }
}
