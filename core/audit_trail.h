#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// Every kind of event that the audit trail records.
enum class audit_event {
    NodeStarted,
    NodeLeaving,
    NodeStopped,
    ConfigurationAdopted,
    ConfigurationRefused,
    DocumentConflict, ///< Two different documents have the same revision.
    PlatformLost,
    PlatformRegained,
    ReaderStarted, ///< This node started to read from the platform for its availability zone.
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
    PauseDetected, ///< The process was suspended or not scheduled for too long.
    TargetUnhealthy,
    TargetHealthy,
};

/// @return the stable name of an event, such as `configuration-adopted`.
const char* getAuditEventName(audit_event event);

/// @return the event with this stable name, or nothing if there is none.
std::optional<audit_event> findAuditEvent(const std::string& name);

/// One recorded change of state.
struct audit_entry {
    std::uint64_t sequence = 0; ///< Increases by one per entry of a node process; the first is 1.
    std::uint64_t wallTimeMs = 0; ///< Milliseconds since 1970-01-01 UTC on the node's own clock.
    std::string instance;
    audit_event event = audit_event::NodeStarted;
    std::string detail; ///< Description of the change.
    std::string cause; ///< Reason for the change.
    std::uint64_t revision = 0; ///< Configuration revision that is active after the change.

    friend bool operator==(const audit_entry& a, const audit_entry& b);
    friend bool operator!=(const audit_entry& a, const audit_entry& b) { return !(a == b); }
};

/// A section of a node's audit trail, as returned for `GET /audit?after=SEQ`.
struct audit_page {
    std::string instance;
    std::uint64_t startNumber = 0; ///< Sequence numbers are comparable only within one start of the node.
    std::uint64_t oldestSequence = 0; ///< Sequence number of the oldest retained entry; 0 if there is none.
    std::vector<audit_entry> entries;

    friend bool operator==(const audit_page& a, const audit_page& b);
    friend bool operator!=(const audit_page& a, const audit_page& b) { return !(a == b); }
};

/// Bounded buffer of the latest state changes of one node. Every entry is also written to the log.
class audit_trail {
public:
    /// Creates an empty audit trail.
    /// @param instance name of the instance that the node belongs to.
    /// @param startNumber start number of the node.
    /// @param capacity maximum number of retained entries; the oldest are dropped first.
    audit_trail(std::string instance, std::uint64_t startNumber, std::size_t capacity);

    /// Records a state change and writes it to the log.
    /// @param wallTimeMs milliseconds since 1970-01-01 UTC.
    /// @param event kind of event.
    /// @param detail description of the change.
    /// @param cause reason for the change.
    /// @param revision configuration revision that is active after the change.
    /// @return the recorded entry.
    const audit_entry& record(std::uint64_t wallTimeMs, audit_event event, std::string detail,
        std::string cause, std::uint64_t revision);

    /// @param sequence sequence number of the last entry that the reader has; 0 for all entries.
    /// @return the retained entries with a higher sequence number, oldest first.
    audit_page getPageAfter(std::uint64_t sequence) const;

private:
    std::string m_instance;
    std::uint64_t m_startNumber;
    std::size_t m_capacity;
    std::uint64_t m_lastSequence = 0;
    std::deque<audit_entry> m_entries;
};

/// @return an entry as one line of text: event name, detail, cause and revision.
std::string formatAuditLine(const audit_entry& entry);

/// @return an entry as one JSON object.
std::string formatAuditEntry(const audit_entry& entry);

/// @return a page as one JSON object.
std::string formatAuditPage(const audit_page& page);

/// Parses a page.
/// @param text a JSON object in the format of formatAuditPage().
/// @return the page, or nothing with error_kind::BadPeerMessage.
std::optional<audit_page> parseAuditPage(const std::string& text);

} // namespace fuchsiagauge
