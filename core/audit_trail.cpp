#include "core/audit_trail.h"

#include "core/error.h"
#include "core/json_fields.h"
#include "core/log.h"

#include <array>
#include <tuple>
#include <utility>

namespace fuchsiagauge {
namespace {

    struct event_row {
        audit_event event;
        const char* name;
        log_level level;
    };

    constexpr std::array eventTable {
        event_row { audit_event::NodeStarted, "node-started", log_level::Info },
        event_row { audit_event::NodeLeaving, "node-leaving", log_level::Info },
        event_row { audit_event::NodeStopped, "node-stopped", log_level::Info },
        event_row { audit_event::ConfigurationAdopted, "configuration-adopted", log_level::Info },
        event_row { audit_event::ConfigurationRefused, "configuration-refused", log_level::Error },
        event_row { audit_event::DocumentConflict, "document-conflict", log_level::Error },
        event_row { audit_event::PlatformLost, "platform-lost", log_level::Warning },
        event_row { audit_event::PlatformRegained, "platform-regained", log_level::Info },
        event_row { audit_event::ReaderStarted, "reader-started", log_level::Info },
        event_row { audit_event::ReaderStopped, "reader-stopped", log_level::Info },
        event_row { audit_event::InstanceJoined, "instance-joined", log_level::Info },
        event_row { audit_event::InstanceLeaving, "instance-leaving", log_level::Info },
        event_row { audit_event::InstanceGone, "instance-gone", log_level::Info },
        event_row { audit_event::InstanceEjected, "instance-ejected", log_level::Warning },
        event_row { audit_event::InstanceReinstated, "instance-reinstated", log_level::Info },
        event_row { audit_event::OverloadStarted, "overload-started", log_level::Warning },
        event_row { audit_event::OverloadEnded, "overload-ended", log_level::Info },
        event_row { audit_event::RegionCutOff, "region-cut-off", log_level::Warning },
        event_row { audit_event::RegionRejoined, "region-rejoined", log_level::Info },
        event_row { audit_event::ZoneCutOff, "zone-cut-off", log_level::Warning },
        event_row { audit_event::ZoneRejoined, "zone-rejoined", log_level::Info },
        event_row { audit_event::PauseDetected, "pause-detected", log_level::Warning },
        event_row { audit_event::TargetUnhealthy, "target-unhealthy", log_level::Warning },
        event_row { audit_event::TargetHealthy, "target-healthy", log_level::Info },
    };

    const event_row& getRow(audit_event event) { return eventTable.at(static_cast<std::size_t>(event)); }

    auto tie(const audit_entry& e)
    {
        return std::tie(e.sequence, e.wallTimeMs, e.instance, e.event, e.detail, e.cause, e.revision);
    }

} // namespace

namespace json_fields {

    template <> struct enum_names<audit_event> {
        static const char* getName(audit_event event) { return getRow(event).name; }
        static std::array<audit_event, eventTable.size()> getValues()
        {
            std::array<audit_event, eventTable.size()> events {};
            for (std::size_t i = 0; i < eventTable.size(); ++i)
                events[i] = eventTable[i].event;
            return events;
        }
    };

    template <> struct field_list<audit_entry> {
        template <typename Object, typename Visitor> static void visit(Object& object, Visitor& visitor)
        {
            visitor("sequence", object.sequence);
            visitor("wall_time_ms", object.wallTimeMs);
            visitor("instance", object.instance);
            visitor("event", object.event);
            visitor("detail", object.detail);
            visitor("cause", object.cause);
            visitor("revision", object.revision);
        }
    };

    template <> struct field_list<audit_page> {
        template <typename Object, typename Visitor> static void visit(Object& object, Visitor& visitor)
        {
            visitor("instance", object.instance);
            visitor("start_number", object.startNumber);
            visitor("first_kept", object.oldestSequence);
            visitor("entries", object.entries);
        }
    };

} // namespace json_fields

const char* getAuditEventName(audit_event event) { return getRow(event).name; }

std::optional<audit_event> findAuditEvent(const std::string& name)
{
    for (const auto& row : eventTable) {
        if (name == row.name)
            return row.event;
    }
    return std::nullopt;
}

bool operator==(const audit_entry& a, const audit_entry& b) { return tie(a) == tie(b); }

bool operator==(const audit_page& a, const audit_page& b)
{
    return std::tie(a.instance, a.startNumber, a.oldestSequence, a.entries)
        == std::tie(b.instance, b.startNumber, b.oldestSequence, b.entries);
}

audit_trail::audit_trail(std::string instance, std::uint64_t startNumber, std::size_t capacity)
    : m_instance(std::move(instance))
    , m_startNumber(startNumber)
    , m_capacity(capacity)
{
}

const audit_entry& audit_trail::record(std::uint64_t wallTimeMs, audit_event event, std::string detail,
    std::string cause, std::uint64_t revision)
{
    while (!m_entries.empty() && m_entries.size() >= m_capacity)
        m_entries.pop_front();
    m_entries.push_back(
        { ++m_lastSequence, wallTimeMs, m_instance, event, std::move(detail), std::move(cause), revision });
    writeLog(getRow(event).level, formatAuditLine(m_entries.back()));
    return m_entries.back();
}

audit_page audit_trail::getPageAfter(std::uint64_t sequence) const
{
    audit_page page { m_instance, m_startNumber, m_entries.empty() ? 0 : m_entries.front().sequence, {} };
    for (const auto& entry : m_entries) {
        if (entry.sequence > sequence)
            page.entries.push_back(entry);
    }
    return page;
}

std::string formatAuditLine(const audit_entry& entry)
{
    std::string line = getAuditEventName(entry.event);
    if (!entry.detail.empty())
        line += ": " + entry.detail;
    if (!entry.cause.empty())
        line += " (" + entry.cause + ')';
    return line + " revision=" + std::to_string(entry.revision);
}

std::string formatAuditEntry(const audit_entry& entry) { return json_fields::format(entry); }

std::string formatAuditPage(const audit_page& page) { return json_fields::format(page); }

std::optional<audit_page> parseAuditPage(const std::string& text)
{
    audit_page page;
    if (!json_fields::parse(text, page))
        return fail(error_kind::BadPeerMessage, "expected a part of an audit trail as a JSON object");
    return page;
}

} // namespace fuchsiagauge
