#include "core/event_log.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace fuchsiagauge {
namespace {

    // Limits per kind of event and node. They suffice to log the first events of an incident in full and a
    // steady sample of those that follow.
    constexpr double linesPerSecond = 5;
    constexpr double burstLines = 40;
    constexpr std::size_t maxBufferBytes = 131072; ///< Bytes buffered while the reader stalls.
    /// A pipe that polls as writable accepts this much without blocking (PIPE_BUF).
    constexpr std::size_t maxWriteBytes = 4096;
    constexpr milliseconds omittedReportInterval { 1000 };
    constexpr double msPerSecond = 1000;

    constexpr std::array eventNames { "node-started", "node-stopping", "node-stopped", "settings-reloaded",
        "settings-refused", "rules-adopted", "rules-refused", "platform-lost", "platform-regained",
        "platform-restored", "watch-replaced", "reading-changed", "key-freshness-changed", "entry-ignored",
        "instance-changed", "instance-avoided", "request-refused", "request-failed", "request-repeated",
        "request-asked-again", "request-cancelled", "request-spilled", "limit-changed", "fill-changed",
        "gate-refused", "instance-failed", "pause-detected", "quota-coordinator", "client-refused",
        "request-served" };
    static_assert(eventNames.size() == static_cast<std::size_t>(event_kind::Count));

} // namespace

const char* getEventName(event_kind kind) { return eventNames.at(static_cast<std::size_t>(kind)); }

event_log::event_log(std::string node, clock time, wall_clock_hook wallTime, sink_hook sink, bool isVerbose)
    : m_node(std::move(node))
    , m_time(std::move(time))
    , m_wallTime(std::move(wallTime))
    , m_sink(std::move(sink))
    , m_isVerbose(isVerbose)
    , m_lastOmittedReportAt(m_time.now())
{
}

void event_log::write(event_kind kind, const std::string& request, std::initializer_list<log_field> fields)
{
    if (kind == event_kind::RequestServed && !m_isVerbose)
        return;
    auto& kindBudget = refill(kind);
    if (kindBudget.availableLines < 1 || m_buffer.size() > maxBufferBytes) {
        ++kindBudget.omittedLines;
        ++m_omittedCount;
        return;
    }
    kindBudget.availableLines -= 1;
    append(kind, request, fields);
}

bool event_log::shouldWrite(event_kind kind)
{
    if (kind == event_kind::RequestServed && !m_isVerbose)
        return false;
    auto& kindBudget = refill(kind);
    if (kindBudget.availableLines >= 1 && m_buffer.size() <= maxBufferBytes)
        return true;
    ++kindBudget.omittedLines;
    ++m_omittedCount;
    return false;
}

void event_log::flush()
{
    if (m_time.now() - m_lastOmittedReportAt >= omittedReportInterval)
        reportOmittedLines();
    while (!m_buffer.empty()) {
        const auto writtenBytes = m_sink(m_buffer.data(), std::min(m_buffer.size(), maxWriteBytes));
        if (writtenBytes == 0)
            return;
        m_buffer.erase(0, writtenBytes);
    }
}

event_log::line_budget& event_log::refill(event_kind kind)
{
    auto& kindBudget = m_budgets.at(static_cast<std::size_t>(kind));
    const auto now = m_time.now();
    const double gained = kindBudget.isStarted
        ? (now - kindBudget.refilledAt).getCount() / msPerSecond * linesPerSecond
        : burstLines;
    kindBudget.isStarted = true;
    kindBudget.availableLines = std::min(burstLines, kindBudget.availableLines + gained);
    kindBudget.refilledAt = now;
    return kindBudget;
}

void event_log::append(event_kind kind, const std::string& request, std::initializer_list<log_field> fields)
{
    nlohmann::ordered_json line;
    line["time"] = m_wallTime();
    line["node"] = m_node;
    line["event"] = getEventName(kind);
    if (!request.empty())
        line["request"] = request;
    for (const auto& field : fields) {
        if (const auto* text = std::get_if<std::string>(&field.value))
            line[field.name] = *text;
        else
            line[field.name] = std::get<double>(field.value);
    }
    m_buffer += line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    m_buffer += '\n';
}

void event_log::reportOmittedLines()
{
    m_lastOmittedReportAt = m_time.now();
    if (m_buffer.size() > maxBufferBytes)
        return;
    for (std::size_t index = 0; index < m_budgets.size(); ++index) {
        auto& kindBudget = m_budgets.at(index);
        if (kindBudget.omittedLines == 0)
            continue;
        const auto count = static_cast<double>(std::exchange(kindBudget.omittedLines, 0));
        append(static_cast<event_kind>(index), {}, { { "omitted", count } });
    }
}

event_log::sink_hook makeDescriptorSink(int descriptor)
{
    return [descriptor](const char* data, std::size_t size) -> std::size_t {
        pollfd poller { descriptor, POLLOUT, 0 };
        if (::poll(&poller, 1, 0) != 1 || (poller.revents & POLLOUT) == 0)
            return 0;
        const auto count = ::write(descriptor, data, size);
        return count > 0 ? static_cast<std::size_t>(count) : 0;
    };
}

} // namespace fuchsiagauge
