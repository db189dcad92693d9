#include "tests/stand_ins/target_service.h"

#include "core/call_context.h"
#include "tests/stand_ins/byte_range.h"
#include "tests/stand_ins/json_control.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <nlohmann/json.hpp>
#include <thread>

namespace fuchsiagauge::stand_in {
namespace {

    constexpr double defaultTimeoutMs = 60000;
    constexpr std::uint64_t maxResponseBytes = 1ULL << 30;
    constexpr char nonHttpResponse[] = "\x16\x03\x01 this is not an answer \r\n\r\n";

    address readEgress(const target_options& options)
    {
        return parseAddress(options.egress).value_or(address { "127.0.0.1", 0 });
    }

    std::string getRequestKey(const bench::http_request& request)
    {
        const auto order = request.fields.get("order-id");
        return order.empty() ? request.fields.get("caller-request-id") : order;
    }

    double getDeadlineMs(const bench::http_request& request, double nowMs)
    {
        const auto context = readUnverifiedContext(request.fields.get(header::context));
        return nowMs + (context.requestId.empty() ? defaultTimeoutMs : context.remainingMs);
    }

    void addEchoedFields(
        const bench::http_request& request, const target_options& options, bench::http_fields& fields)
    {
        for (const char* name : { "caller-request-id", "order-id" }) {
            if (request.fields.has(name))
                fields.add(name, request.fields.get(name));
        }
        fields.add("target-instance", options.instance);
    }

} // namespace

target_service::target_service(boost::asio::io_context& context, const target_options& options)
    : m_context(context)
    , m_options(options)
    , m_limiter(context, options.slots, options.queue)
    , m_journal(options.journalFile, options.instance, options.service, options.isRecordingAll)
    , m_downstream(context, readEgress(options), options.calls)
    , m_random(options.seed)
{
}

double target_service::drawUniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

double target_service::drawServiceMs()
{
    constexpr double coldFactor = 4;
    constexpr double maxExponential = 10;
    const auto exponential = std::min(maxExponential, -std::log(1 - drawUniform()));
    auto durationMs = m_options.serviceMs * (1 - m_options.spread + m_options.spread * exponential);
    if (now() < m_options.coldMs)
        durationMs *= 1 + coldFactor * (1 - now() / m_options.coldMs);
    return durationMs * m_faults.slowFactor;
}

void target_service::serve(http_exchange& exchange, const boost::asio::yield_context& yield)
{
    const auto& request = exchange.getRequest();
    if (request.path == "/health")
        return sendHealth(exchange, yield);
    if (request.path == "/load")
        return sendLoad(exchange, yield);
    const auto deadlineMs = getDeadlineMs(request, now());
    const auto result = m_limiter.acquire(exchange, deadlineMs - now(), yield);
    if (result != admission_result::Acquired)
        return refuse(exchange, result, yield);
    run(exchange, deadlineMs, yield);
}

void target_service::refuse(
    http_exchange& exchange, admission_result result, const boost::asio::yield_context& yield)
{
    m_journal.write(
        result == admission_result::Cancelled ? "cancelled" : "refused", exchange.getRequest(), 0);
    if (result == admission_result::Cancelled) {
        ++m_counters.cancelled;
        return;
    }
    ++(result == admission_result::Expired ? m_counters.expired : m_counters.refused);
    bench::http_response refusal { 503, { { "target-shed", "1" } }, "refused\n" };
    addEchoedFields(exchange.getRequest(), m_options, refusal.fields);
    exchange.send(refusal, yield);
}

void target_service::run(http_exchange& exchange, double deadlineMs, const boost::asio::yield_context& yield)
{
    ++m_counters.started;
    m_counters.lastStartMs = now();
    if (m_faults.isDraining)
        ++m_counters.startedWhileDraining;
    m_journal.write("run", exchange.getRequest(), 0);
    const auto begin = now();
    const auto status = performWork(exchange, deadlineMs, yield);
    m_limiter.release();
    const auto durationMs = now() - begin;
    m_counters.busyMs += durationMs;
    if (status != 200 || exchange.isCallerDisconnected())
        m_counters.wastedMs += durationMs;
    if (exchange.isCallerDisconnected())
        ++m_counters.cancelledRunning;
    else
        ++(status == 200 ? m_counters.done : m_counters.failed);
    m_journal.write(exchange.isCallerDisconnected() ? "cancelled"
            : status == 200                         ? "done"
                                                    : "failed",
        exchange.getRequest(), status);
    if (!exchange.isCallerDisconnected())
        sendResponse(exchange, status, yield);
}

int target_service::performWork(
    http_exchange& exchange, double deadlineMs, const boost::asio::yield_context& yield)
{
    if (shouldInjectFault(m_faults.failShare))
        return 500;
    sleep(exchange, drawServiceMs(), yield);
    if (exchange.isCallerDisconnected())
        return 499;
    const auto result = m_downstream.run(exchange, std::max(1.0, deadlineMs - now()), yield);
    if (result.status == 200)
        return 200;
    const bool isPassedOn = result.status == 503 || result.status == 504;
    return isPassedOn ? result.status : 502;
}

void target_service::sleep(
    http_exchange& exchange, double durationMs, const boost::asio::yield_context& yield)
{
    boost::asio::steady_timer timer(
        m_context, std::chrono::microseconds(static_cast<long long>(durationMs * 1000)));
    exchange.setDisconnectHook([&timer] { timer.cancel(); });
    boost::system::error_code code;
    timer.async_wait(yield[code]);
    exchange.setDisconnectHook({});
}

void target_service::sendResponse(
    http_exchange& exchange, int status, const boost::asio::yield_context& yield)
{
    if (shouldInjectFault(m_faults.dropAnswerShare))
        return exchange.closeAfterExchange();
    if (shouldInjectFault(m_faults.nonHttpAnswerShare)) {
        exchange.closeAfterExchange();
        return exchange.sendRaw(nonHttpResponse, yield);
    }
    if (status == 200)
        return sendBody(exchange, yield);
    bench::http_response failure { status, {}, "failed\n" };
    addEchoedFields(exchange.getRequest(), m_options, failure.fields);
    exchange.send(failure, yield);
}

void target_service::sendBody(http_exchange& exchange, const boost::asio::yield_context& yield)
{
    const auto& request = exchange.getRequest();
    const auto requestedSize = bench::getQueryValue(request.path, "bytes");
    const auto size = requestedSize.empty()
        ? m_options.answerBytes
        : std::min(maxResponseBytes, std::uint64_t(std::strtoull(requestedSize.c_str(), nullptr, 10)));
    const bench::generated_body body(request.path, getRequestKey(request), size);
    const auto digest = body.computeDigest();
    const auto entityTag = '"' + digest + '"';
    bench::http_response head;
    head.fields = { { "body-digest", digest }, { "etag", entityTag }, { "accept-ranges", "bytes" },
        { "content-type", "application/octet-stream" } };
    addEchoedFields(request, m_options, head.fields);
    if (!request.body.empty()) {
        bench::body_digest received;
        received.add(request.body.data(), request.body.size());
        head.fields.add("request-digest", received.format());
    }
    const auto range = selectRange(request.fields, size, entityTag);
    if (!range) {
        head.status = 416;
        head.fields.add("content-range", "bytes */" + std::to_string(size));
        return exchange.send(head, yield);
    }
    if (range->isPartial) {
        head.status = 206;
        head.fields.add("content-range",
            "bytes " + std::to_string(range->first) + '-' + std::to_string(range->first + range->count - 1)
                + '/' + std::to_string(size));
    }
    sendBodyWithFaults(exchange, head, body, range->first, range->count, yield);
}

void target_service::sendBodyWithFaults(http_exchange& exchange, const bench::http_response& head,
    const bench::generated_body& body, std::uint64_t first, std::uint64_t count,
    const boost::asio::yield_context& yield)
{
    const auto source
        = [&](std::uint64_t offset, char* out, std::size_t bytes) { body.read(first + offset, out, bytes); };
    if (count > 0 && shouldInjectFault(m_faults.truncatedAnswerShare)) {
        exchange.closeAfterExchange();
        return exchange.sendStream(head, count, count / 2, source, yield);
    }
    if (count > 0 && shouldInjectFault(m_faults.wrongLengthShare))
        return exchange.sendStream(head, count / 2, count, source, yield);
    exchange.sendStream(head, count, count, source, yield);
    if (shouldInjectFault(m_faults.duplicateAnswerShare))
        exchange.sendStream(head, count, count, source, yield);
}

void target_service::sendHealth(http_exchange& exchange, const boost::asio::yield_context& yield)
{
    const bool isReportedDraining = m_faults.isDraining != m_faults.isHealthInverted;
    sendJson(exchange, isReportedDraining ? 503 : 200,
        { { "state", isReportedDraining ? "draining" : "ok" } }, yield);
}

void target_service::sendLoad(http_exchange& exchange, const boost::asio::yield_context& yield)
{
    const bool isReportedIdle = m_faults.isLoadReportedIdle;
    sendJson(exchange, 200,
        { { "in_flight", isReportedIdle ? 0 : m_limiter.getInFlight() },
            { "queued", isReportedIdle ? 0 : m_limiter.getQueued() }, { "slots", m_limiter.getSlots() },
            { "queue", m_limiter.getQueueCapacity() } },
        yield);
}

void target_service::control(http_exchange& exchange, const boost::asio::yield_context& yield)
{
    const auto& request = exchange.getRequest();
    if (request.method == "POST" && request.path == "/faults")
        return setFaults(exchange, yield);
    if (request.method == "GET" && request.path == "/stats")
        return sendStats(exchange, yield);
    sendJson(exchange, 404, { { "error", "unknown path" } }, yield);
}

void target_service::setFaults(http_exchange& exchange, const boost::asio::yield_context& yield)
{
    constexpr int maxFreezeMs = 600000;
    int freezeMs = 0;
    auto next = m_faults;
    const auto read = [&](document_reader& reader) {
        next = readTargetFaults(reader, m_faults);
        freezeMs = reader.getInteger("freeze_ms", 0, 0, maxFreezeMs);
    };
    const auto apply = [&] {
        if (next.isDraining && !m_faults.isDraining)
            m_counters.drainingSinceMs = now();
        m_faults = next;
    };
    applyJson(exchange, read, apply, yield);
    if (freezeMs > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(freezeMs));
}

void target_service::sendStats(http_exchange& exchange, const boost::asio::yield_context& yield)
{
    const auto& counters = m_counters;
    sendJson(exchange, 200,
        {
            { "instance", m_options.instance },
            { "service", m_options.service },
            { "started", counters.started },
            { "done", counters.done },
            { "failed", counters.failed },
            { "cancelled", counters.cancelled },
            { "cancelled_running", counters.cancelledRunning },
            { "expired", counters.expired },
            { "refused", counters.refused },
            { "started_while_draining", counters.startedWhileDraining },
            { "last_start_ms", counters.lastStartMs },
            { "draining_since_ms", counters.drainingSinceMs },
            { "max_in_slots", m_limiter.getHighestInFlight() },
            { "busy_ms", counters.busyMs },
            { "wasted_ms", counters.wastedMs },
            { "in_flight", m_limiter.getInFlight() },
            { "queued", m_limiter.getQueued() },
            { "now_ms", now() },
        },
        yield);
}

} // namespace fuchsiagauge::stand_in
