#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// The closed list of changes that the audit trail records.
enum class audit_event {
    NodeStarted,
    NodeLeaving,
    NodeStopped,
    ConfigurationAdopted,
    ConfigurationRefused,
    DocumentConflict, ///< Two documents with one revision.
    PlatformLost,
    PlatformRegained,
    ReaderStarted, ///< This node holds the watch on the platform.
    ReaderStopped,
    InstanceJoined,
    InstanceLeaving,
    InstanceGone,
    InstanceEjected,
    InstanceReinstated,
    OverloadStarted,
    OverloadEnded,
    RegionCutOff,
    RegionRejoined,
    ZoneCutOff,
    ZoneRejoined,
    PauseDetected, ///< The process slept and woke up late.
    TargetUnhealthy,
    TargetHealthy,
};

/// @return the stable word of a change, such as `configuration-adopted`.
const char* getAuditEventName(audit_event event);

/// @return the change for a stable word, if it is one.
std::optional<audit_event> findAuditEvent(const std::string& name);

/// One change of state.
struct audit_entry {
    std::uint64_t sequence = 0; ///< Rises by one for each entry of a node's life; the first is 1.
    std::uint64_t wallTimeMs = 0; ///< Milliseconds since 1970-01-01 UTC by the node's own clock.
    std::string instance;
    audit_event event = audit_event::NodeStarted;
    std::string detail; ///< What exactly changed.
    std::string cause; ///< Why it changed.
    std::uint64_t revision = 0; ///< Configuration revision in force after the change.

    friend bool operator==(const audit_entry& a, const audit_entry& b);
    friend bool operator!=(const audit_entry& a, const audit_entry& b) { return !(a == b); }
};

/// A part of a node's audit trail, as it answers to `GET /audit?after=SEQ`.
struct audit_page {
    std::string instance;
    std::uint64_t startNumber = 0; ///< Sequences of different starts don't compare.
    std::uint64_t oldestSequence = 0; ///< Sequence of the oldest entry kept; 0 when there is none.
    std::vector<audit_entry> entries;

    friend bool operator==(const audit_page& a, const audit_page& b);
    friend bool operator!=(const audit_page& a, const audit_page& b) { return !(a == b); }
};

/// Ring of the last changes of one node. Every entry is also a log line.
class audit_trail {
public:
    /// Makes an empty trail.
    /// @param instance name of the node's instance.
    /// @param startNumber start number of the node.
    /// @param capacity entries kept; the oldest are dropped.
    audit_trail(std::string instance, std::uint64_t startNumber, std::size_t capacity);

    /// Records a change and writes its log line.
    /// @param wallTimeMs milliseconds since 1970-01-01 UTC.
    /// @param event kind of change.
    /// @param detail what exactly changed.
    /// @param cause why it changed.
    /// @param revision configuration revision in force after the change.
    /// @return the entry.
    const audit_entry& record(std::uint64_t wallTimeMs, audit_event event, std::string detail,
        std::string cause, std::uint64_t revision);

    /// @param sequence sequence that the reader has seen; 0 for all.
    /// @return the entries kept that have a higher sequence, oldest first.
    audit_page getPageAfter(std::uint64_t sequence) const;

private:
    std::string m_instance;
    std::uint64_t m_startNumber;
    std::size_t m_capacity;
    std::uint64_t m_lastSequence = 0;
    std::deque<audit_entry> m_entries;
};

/// @return an entry as one line: word, detail, cause and revision.
std::string formatAuditLine(const audit_entry& entry);

/// @return an entry as one JSON object.
std::string formatAuditEntry(const audit_entry& entry);

/// @return a page as one JSON object.
std::string formatAuditPage(const audit_page& page);

/// Reads a page.
/// @param text a JSON object as formatAuditPage() writes it.
/// @return the page, or nothing with error_kind::BadPeerMessage.
std::optional<audit_page> parseAuditPage(const std::string& text);

} // namespace fuchsiagauge
