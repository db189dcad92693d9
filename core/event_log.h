#pragma once

#include "core/clock.h"

#include <array>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <variant>

namespace fuchsiagauge {

/// The closed list of what the decision log tells.
enum class event_kind {
    NodeStarted,
    NodeStopping,
    NodeStopped,
    SettingsReloaded,
    SettingsRefused,
    RulesAdopted, ///< A version of the operators' routes is in force.
    RulesRefused,
    PlatformLost,
    PlatformRegained,
    EntryIgnored, ///< A listed entry names no instance that can be used.
    InstanceChanged, ///< An instance joined, drains or is gone.
    InstanceAvoided, ///< An instance gets no requests for a while.
    RequestRefused, ///< Not run, and the client was told so.
    RequestFailed, ///< Ended with a failure after it may have run, the instance's own or the node's.
    RequestRepeated, ///< Sent to another instance.
    RequestAskedAgain, ///< Sent once more to an instance that had refused it.
    RequestCancelled, ///< The client left first.
    RequestSpilled, ///< Sent to another availability zone or region.
    GateRefused, ///< The gate beside the instance refused a request.
    InstanceFailed, ///< The instance beside this node did not answer, or did not run a request.
    PauseDetected, ///< The process slept and woke up late.
    RequestServed, ///< Written only at level debug.
    Count,
};

/// @return the stable word of a decision, such as `request-refused`.
const char* getEventName(event_kind kind);

/// One field of a log line.
struct log_field {
    const char* name;
    std::variant<std::string, double> value;
};

/// Writes one JSON object a line for each decision, bounded in volume and never waiting for the reader.
///
/// Each kind has a budget of lines a second; what goes beyond it is counted and told in one line. Lines wait
/// in a bounded buffer while the reader stalls; what doesn't fit is counted as well.
class event_log {
public:
    /// Writes bytes without waiting.
    /// @return how many were taken.
    using sink_hook = std::function<std::size_t(const char* data, std::size_t size)>;
    /// @return milliseconds since 1970-01-01 UTC.
    using wall_clock_hook = std::function<std::uint64_t()>;

    /// @param node name of the node, on each line.
    /// @param time the node's clock.
    /// @param wallTime the time of day, on each line.
    /// @param sink where the lines go.
    /// @param isVerbose whether requests that went well are told too.
    event_log(std::string node, clock time, wall_clock_hook wallTime, sink_hook sink, bool isVerbose);

    /// Writes a line if the kind's budget allows.
    /// @param kind what was decided.
    /// @param request id of the request, or nothing.
    /// @param fields what decided it, with its age or version, and the outcome.
    void write(event_kind kind, const std::string& request, std::initializer_list<log_field> fields);

    /// @return whether a line of that kind would be written now; saves the work of making its fields. A line
    /// that is not wanted counts as left out.
    bool shouldWrite(event_kind kind);

    /// Sends waiting lines and tells what was left out; called every few milliseconds.
    void flush();

    /// @return lines left out since the start.
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

/// @return a sink that writes to a descriptor only what it takes without waiting.
event_log::sink_hook makeDescriptorSink(int descriptor);

} // namespace fuchsiagauge
