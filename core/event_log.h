#pragma once

#include "core/clock.h"

#include <array>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <variant>

namespace fuchsiagauge {

/// Every kind of event that the event log records.
enum class event_kind {
    NodeStarted,
    NodeStopping,
    NodeStopped,
    SettingsReloaded,
    SettingsRefused,
    RulesAdopted, ///< A new version of the operators' routes became active.
    RulesRefused,
    PlatformLost,
    PlatformRegained,
    PlatformRestored, ///< The platform's store was restored from an older copy.
    WatchReplaced, ///< A watch of the platform did not report a change and was sent again.
    ReadingChanged, ///< The node started or stopped reading the platform for its availability zone.
    KeyFreshnessChanged, ///< Keys are refused as the rules are not proved current, or accepted again.
    EntryIgnored, ///< An entry of the instance list does not describe a usable instance.
    InstanceChanged, ///< An instance joined, started to drain or is gone.
    InstanceAvoided, ///< An instance temporarily gets no requests.
    RequestRefused, ///< The request was not run, and the response to the client says so.
    RequestFailed, ///< Server error, of the instance or the node, after the request may have run.
    RequestRepeated, ///< The request was retried on another instance.
    RequestAskedAgain, ///< The request was retried on the instance that had refused it.
    RequestCancelled, ///< The client disconnected before the response.
    RequestSpilled, ///< The request was sent to another availability zone or region.
    LimitChanged, ///< The instance of this node stated another rate limit, or none any more.
    FillChanged, ///< The instance of this node was opened further to requests, or less far.
    GateRefused, ///< The admission gate of the instance's node refused a request.
    InstanceFailed, ///< The instance of this node did not respond to a request or did not run it.
    PauseDetected, ///< The process was suspended or not scheduled for too long.
    QuotaCoordinatorChanged, ///< Another node lends shares of the organisations' limits.
    ClientRefused, ///< A request was refused, or a connection closed, before the request had been received.
    RequestServed, ///< The request ended without a server error; logged only at level debug.
    Count,
};

/// @return the stable name of an event kind, such as `request-refused`.
const char* getEventName(event_kind kind);

/// One field of a log line.
struct log_field {
    const char* name;
    std::variant<std::string, double> value;
};

/// Writes one JSON object per event and line. The volume is bounded and writing never blocks.
///
/// Each kind of event has a budget of lines per second. Lines beyond the budget are omitted and counted, and
/// the count is logged in one line. While the reader stalls, lines are kept in a bounded buffer; lines that
/// do not fit are omitted and counted as well.
class event_log {
public:
    /// Writes bytes without blocking.
    /// @return the number of bytes written.
    using sink_hook = std::function<std::size_t(const char* data, std::size_t size)>;
    /// Reads the wall clock.
    /// @return milliseconds since 1970-01-01 UTC.
    using wall_clock_hook = std::function<std::uint64_t()>;

    /// @param node name of the node, written on each line.
    /// @param time clock for the line budgets.
    /// @param wallTime returns the wall-clock time written on each line.
    /// @param sink receives the lines.
    /// @param isVerbose whether successful requests are logged too.
    event_log(std::string node, clock time, wall_clock_hook wallTime, sink_hook sink, bool isVerbose);

    /// Writes a line if the budget of the event kind allows it.
    /// @param kind kind of event.
    /// @param request id of the request; empty if the event does not concern a request.
    /// @param fields the data behind the event, with its age or version, and the outcome.
    void write(event_kind kind, const std::string& request, std::initializer_list<log_field> fields);

    /// Checks the budget of an event kind, so that the fields of a line are only built if it is written. If
    /// the result is false, the line counts as omitted.
    /// @return whether a line of this kind would be written now.
    bool shouldWrite(event_kind kind);

    /// Writes buffered lines to the sink and logs the number of omitted lines once per second. Must be called
    /// every few milliseconds.
    void flush();

    /// @return the number of lines omitted since the start.
    std::uint64_t getOmittedCount() const { return m_omittedCount; }

private:
    struct line_budget {
        double availableLines = 0;
        milliseconds refilledAt;
        std::uint64_t omittedLines = 0;
        bool isStarted = false;
    };

    line_budget& refill(event_kind kind);
    void append(event_kind kind, const std::string& request, std::initializer_list<log_field> fields);
    void reportOmittedLines();

    std::string m_node;
    clock m_time;
    wall_clock_hook m_wallTime;
    sink_hook m_sink;
    bool m_isVerbose;
    std::array<line_budget, static_cast<std::size_t>(event_kind::Count)> m_budgets;
    std::string m_buffer;
    std::uint64_t m_omittedCount = 0;
    milliseconds m_lastOmittedReportAt;
};

/// @return a sink that writes to a file descriptor as much as is possible without blocking.
event_log::sink_hook makeDescriptorSink(int descriptor);

} // namespace fuchsiagauge
