#include "transport/platform_client.h"

#include "transport/http_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <chrono>
#include <optional>
#include <utility>

namespace fuchsiagauge {
namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = boost::beast::http;

    /// One byte more than the size limit of a document.
    constexpr std::size_t maxBodyBytes = 1048576 + 1;

    /// Interval at which tryTakeCallPermit is asked again after it refused a call.
    constexpr double callPermitPollMs = 200;

    /// Interval at which an open watch is reported as contact with the platform.
    constexpr double contactIntervalMs = 1000;

    constexpr double connectTimeoutMs = 2000;

    std::chrono::microseconds toMicroseconds(double delayMs)
    {
        constexpr double microsecondsPerMs = 1000;
        return std::chrono::microseconds(static_cast<long long>(delayMs * microsecondsPerMs));
    }

    const char* getDocumentPath(document_kind kind)
    {
        return kind == document_kind::Presets ? "/v1/presets" : "/v1/vms";
    }

    std::optional<std::uint64_t> parseRevision(beast::string_view text)
    {
        std::uint64_t value = 0;
        const auto* end = text.data() + text.size();
        const auto [last, code] = std::from_chars(text.data(), end, value);
        if (code != std::errc() || last != end || text.empty())
            return std::nullopt;
        return value;
    }

} // namespace

class platform_client::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& io, options config, hooks callbacks)
        : m_io(io)
        , m_options(std::move(config))
        , m_hooks(std::move(callbacks))
        , m_watches { watch(io, document_kind::Presets), watch(io, document_kind::VmList) }
    {
    }

    void start()
    {
        for (auto& documentWatch : m_watches) {
            asio::spawn(m_io, [self = shared_from_this(), &documentWatch](const asio::yield_context& yield) {
                self->runWatch(documentWatch, yield);
            });
        }
    }

    void stop()
    {
        m_isStopped = true;
        for (auto& documentWatch : m_watches) {
            documentWatch.timer.cancel();
            documentWatch.contactTimer.cancel();
            if (documentWatch.stream)
                documentWatch.stream->cancel();
        }
    }

private:
    /// State of reading and watching one document.
    struct watch {
        watch(asio::io_context& io, document_kind watchedKind)
            : kind(watchedKind)
            , timer(io)
            , contactTimer(io)
        {
        }

        document_kind kind;
        asio::steady_timer timer;
        asio::steady_timer contactTimer;
        std::optional<beast::tcp_stream> stream;
        std::uint64_t revision = 0; ///< Revision last returned by the platform, adopted or not.
        bool hasRevision = false;
        double retryDelayMs = 0;
    };

    void runWatch(watch& documentWatch, const asio::yield_context& yield)
    {
        while (!m_isStopped) {
            if (!m_hooks.tryTakeCallPermit()) {
                pause(documentWatch, callPermitPollMs, yield);
                continue;
            }
            const auto failure = fetchDocument(documentWatch, yield);
            documentWatch.contactTimer.cancel();
            documentWatch.stream.reset();
            if (m_isStopped)
                return;
            if (failure.empty()) {
                documentWatch.retryDelayMs = 0;
                pause(documentWatch, m_options.maxPauseMs * m_hooks.random(), yield);
                continue;
            }
            m_hooks.onFailure(failure);
            documentWatch.retryDelayMs = std::clamp(
                2 * documentWatch.retryDelayMs, m_options.initialRetryDelayMs, m_options.maxRetryDelayMs);
            pause(documentWatch, documentWatch.retryDelayMs * (0.5 + 0.5 * m_hooks.random()), yield);
        }
    }

    void pause(watch& documentWatch, double delayMs, const asio::yield_context& yield)
    {
        boost::system::error_code code;
        documentWatch.timer.expires_after(toMicroseconds(delayMs));
        documentWatch.timer.async_wait(yield[code]);
    }

    /// Makes one call for a document: a plain read at first, then a watch for a newer revision.
    /// @return the reason if it failed; empty if it succeeded.
    std::string fetchDocument(watch& documentWatch, const asio::yield_context& yield)
    {
        boost::system::error_code code;
        const auto host = asio::ip::make_address(m_options.platform.host, code);
        if (code)
            return "platform.address: not an IP address";
        documentWatch.stream.emplace(m_io);
        auto& stream = *documentWatch.stream;
        stream.expires_after(toMicroseconds(connectTimeoutMs));
        stream.async_connect(asio::ip::tcp::endpoint(host, m_options.platform.port), yield[code]);
        if (code)
            return "connect: " + code.message();
        stream.expires_after(toMicroseconds(m_options.watchMs + m_options.responseMarginMs));
        http::async_write(stream, makeRequest(documentWatch), yield[code]);
        if (code)
            return "send: " + code.message();
        if (documentWatch.hasRevision)
            reportContactPeriodically(documentWatch);
        beast::flat_buffer buffer(maxUnparsedBytes);
        http::response_parser<http::string_body> parser;
        parser.body_limit(maxBodyBytes);
        http::async_read(stream, buffer, parser, yield[code]);
        if (code)
            return "answer: " + code.message();
        return handleResponse(documentWatch, parser.get());
    }

    http::request<http::empty_body>& makeRequest(watch& documentWatch)
    {
        std::string path = getDocumentPath(documentWatch.kind);
        if (documentWatch.hasRevision) {
            path += "?after=" + std::to_string(documentWatch.revision)
                + "&wait_ms=" + std::to_string(static_cast<long long>(m_options.watchMs));
        }
        auto& request = m_requests[static_cast<std::size_t>(documentWatch.kind)];
        request = http::request<http::empty_body>(http::verb::get, path, 11);
        request.set(http::field::host, formatAddress(m_options.platform));
        request.keep_alive(false);
        return request;
    }

    /// Records the revision in a response and passes on the document, if there is one.
    /// @return the reason if the response is invalid; empty if it is valid.
    std::string handleResponse(watch& documentWatch, http::response<http::string_body>& response)
    {
        const auto revision = parseRevision(response["revision"]);
        const bool isSuccess
            = response.result() == http::status::ok || response.result() == http::status::not_modified;
        if (!isSuccess)
            return "status " + std::to_string(response.result_int());
        if (!revision)
            return "no revision";
        documentWatch.revision = *revision;
        documentWatch.hasRevision = true;
        m_hooks.onContact();
        if (response.result() == http::status::ok)
            m_hooks.onDocument(documentWatch.kind, *revision, std::move(response.body()));
        return {};
    }

    /// Reports contact with the platform now and at intervals while a watch is open, because the platform may
    /// not respond for as long as watchMs.
    void reportContactPeriodically(watch& documentWatch)
    {
        m_hooks.onContact();
        documentWatch.contactTimer.expires_after(toMicroseconds(contactIntervalMs));
        documentWatch.contactTimer.async_wait(
            [self = shared_from_this(), &documentWatch](const boost::system::error_code& code) {
                if (!code && !self->m_isStopped && documentWatch.stream)
                    self->reportContactPeriodically(documentWatch);
            });
    }

    asio::io_context& m_io;
    const options m_options;
    const hooks m_hooks;
    std::array<watch, documentKindCount> m_watches;
    std::array<http::request<http::empty_body>, documentKindCount> m_requests;
    bool m_isStopped = false;
};

platform_client::platform_client(boost::asio::io_context& io, options config, hooks callbacks)
    : m_implementation(std::make_shared<implementation>(io, std::move(config), std::move(callbacks)))
{
}

platform_client::~platform_client() { m_implementation->stop(); }

void platform_client::start() { m_implementation->start(); }

void platform_client::stop() { m_implementation->stop(); }

} // namespace fuchsiagauge
