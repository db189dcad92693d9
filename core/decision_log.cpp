#include "core/decision_log.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace fuchsiagauge {
namespace {

    // Enough for the first cases of an incident and a steady trickle after them, per kind and node.
    constexpr double linesPerSecond = 5;
    constexpr double burstLines = 40;
    constexpr std::size_t maxBufferBytes = 131072; ///< Lines kept for a stalled reader.
    constexpr std::size_t pieceBytes
        = 4096; ///< A pipe that can be written takes this much at once (PIPE_BUF).
    constexpr milliseconds tellInterval { 1000 };
    constexpr double msPerSecond = 1000;

    constexpr std::array decisionNames { "node-started", "node-stopping", "node-stopped", "settings-reloaded",
        "settings-refused", "rules-adopted", "rules-refused", "platform-lost", "platform-regained",
        "entry-ignored", "instance-changed", "instance-avoided", "request-refused", "request-failed",
        "request-repeated", "request-asked-again", "request-cancelled", "request-spilled", "gate-refused",
        "instance-failed", "pause-detected", "request-served" };
    static_assert(decisionNames.size() == static_cast<std::size_t>(decision::Count));

} // namespace

const char* getDecisionName(decision kind) { return decisionNames.at(static_cast<std::size_t>(kind)); }

decision_log::decision_log(std::string node, clock time, wall_hook wallTime, sink_hook sink, bool isVerbose)
    : m_node(std::move(node))
    , m_time(std::move(time))
    , m_wallTime(std::move(wallTime))
    , m_sink(std::move(sink))
    , m_isVerbose(isVerbose)
    , m_toldAt(m_time.now())
{
}

void decision_log::write(decision kind, const std::string& request, std::initializer_list<log_field> fields)
{
    if (kind == decision::RequestServed && !m_isVerbose)
        return;
    auto& known = refill(kind);
    if (known.lines < 1 || m_buffer.size() > maxBufferBytes) {
        ++known.omitted;
        ++m_omittedCount;
        return;
    }
    known.lines -= 1;
    append(kind, request, fields);
}

bool decision_log::isWanted(decision kind)
{
    if (kind == decision::RequestServed && !m_isVerbose)
        return false;
    auto& known = refill(kind);
    if (known.lines >= 1 && m_buffer.size() <= maxBufferBytes)
        return true;
    ++known.omitted;
    ++m_omittedCount;
    return false;
}

void decision_log::flush()
{
    if (m_time.now() - m_toldAt >= tellInterval)
        tellOmitted();
    while (!m_buffer.empty()) {
        const auto taken = m_sink(m_buffer.data(), std::min(m_buffer.size(), pieceBytes));
        if (taken == 0)
            return;
        m_buffer.erase(0, taken);
    }
}

decision_log::budget& decision_log::refill(decision kind)
{
    auto& known = m_budgets.at(static_cast<std::size_t>(kind));
    const auto now = m_time.now();
    const double gained
        = known.isStarted ? (now - known.filledAt).getCount() / msPerSecond * linesPerSecond : burstLines;
    known.isStarted = true;
    known.lines = std::min(burstLines, known.lines + gained);
    known.filledAt = now;
    return known;
}

void decision_log::append(decision kind, const std::string& request, std::initializer_list<log_field> fields)
{
    nlohmann::ordered_json line;
    line["time"] = m_wallTime();
    line["node"] = m_node;
    line["event"] = getDecisionName(kind);
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

void decision_log::tellOmitted()
{
    m_toldAt = m_time.now();
    if (m_buffer.size() > maxBufferBytes)
        return;
    for (std::size_t index = 0; index < m_budgets.size(); ++index) {
        auto& known = m_budgets.at(index);
        if (known.omitted == 0)
            continue;
        const auto count = static_cast<double>(std::exchange(known.omitted, 0));
        append(static_cast<decision>(index), {}, { { "omitted", count } });
    }
}

decision_log::sink_hook makeDescriptorSink(int descriptor)
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
