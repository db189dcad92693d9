#include "core/settings.h"

#include "core/document_finding.h"
#include "core/settings_reader.h"
#include "core/text_file.h"

namespace fuchsiagauge {
namespace {

    constexpr double anyNumber = 1e18;

    setting_row textRow(const char* key, const char* value, bool isRequired, const char* doc)
    {
        return { key, setting_type::Text, std::string(value), isRequired, 0, 0, doc };
    }

    setting_row addressRow(const char* key, const char* value, bool isRequired, const char* doc)
    {
        return { key, setting_type::Address, std::string(value), isRequired, 0, 0, doc };
    }

    setting_row listRow(const char* key, bool isRequired, const char* doc)
    {
        return { key, setting_type::TextList, std::vector<std::string> {}, isRequired, 0, anyNumber, doc };
    }

    setting_row integerRow(const char* key, long long value, double minimum, double maximum, const char* doc)
    {
        return { key, setting_type::Integer, value, false, minimum, maximum, doc };
    }

    setting_row flagRow(const char* key, bool value, const char* doc)
    {
        return { key, setting_type::Flag, value, false, 0, 0, doc };
    }

} // namespace

const std::vector<setting_row>& getSettingsTable()
{
    static const std::vector<setting_row> table {
        textRow("instance", "", true, "Name of this instance, unique in the fleet."),
        textRow("service", "", true, "Service that the local target provides."),
        textRow("region", "", true, "Region of this VM."),
        textRow("zone", "", true, "Availability zone of this VM."),
        addressRow("listen.edge", "", true, "Address for external callers."),
        addressRow("listen.mesh", "", true, "Address for calls from other nodes."),
        addressRow("listen.egress", "", true, "Address for the local target's outgoing calls."),
        addressRow("listen.peer", "", true, "Address for peer links from other nodes."),
        addressRow("listen.admin", "", true, "Address for operators, metrics and the audit trail."),
        addressRow("target.address", "", true, "Address of the local target."),
        textRow(
            "target.health_path", "/health", false, "Health endpoint of the target; empty if it has none."),
        textRow("target.load_path", "/load", false, "Load endpoint of the target; empty if it has none."),
        integerRow("target.poll_ms", 500, 50, 60000,
            "Pause between reads of the target's endpoints, in milliseconds."),
        integerRow("target.max_connections", 1000, 1, 100000, "Connections to the target at once."),
        addressRow("platform.address", "", false, "Address of the platform's services; empty: none."),
        integerRow("platform.watch_ms", 20000, 100, 300000, "Longest wait of one watch, in milliseconds."),
        integerRow("platform.calls_per_second", 150, 1, 100000,
            "Calls to the platform that all nodes together may make; each takes its share."),
        listRow(
            "fleet.keys", true, "Shared secrets of the fleet, newest first; the first signs, all verify."),
        listRow("fleet.seeds", false, "Peer addresses (`ip:port`) to ask at the start."),
        listRow("fleet.routes", false,
            "Addresses of other nodes that are reached elsewhere from this VM, as through address "
            "translation: `stated=reached`, each `ip:port`."),
        integerRow("fleet.expected_nodes", 800, 1, 1000000,
            "Least fleet size assumed when the calls to the platform are shared out."),
        integerRow("fleet.readers_per_zone", 2, 1, 100, "Nodes of each zone that watch the platform."),
        integerRow("fleet.bytes_per_second", 6000, 1000, 1000000000,
            "Bytes a second that a node spends on peer links."),
        integerRow("fleet.peer_wait_ms", 3000, 0, 60000,
            "Longest wait for newer word from peers before the platform is trusted, in milliseconds."),
        integerRow(
            "fleet.start_number", 0, 0, anyNumber, "Start number; 0 takes the wall clock in microseconds."),
        integerRow("limits.header_bytes", 16384, 1024, 1048576, "Largest header section accepted, in bytes."),
        integerRow("limits.body_bytes", 1048576, 0, 1073741824, "Largest request body accepted, in bytes."),
        integerRow("limits.connections", 4096, 1, 100000, "Incoming connections at once on each listener."),
        integerRow("stop.grace_ms", 30000, 0, 3600000,
            "Longest wait for requests in flight at a graceful shutdown."),
        integerRow("audit.entries", 1000, 10, 100000, "Entries kept in the audit trail."),
        textRow(
            "log.level", "info", false, "Least severe level that is logged: debug, info, warning or error."),
        flagRow("policy.naive", false,
            "Runs the baseline instead: round robin, fixed retries at each hop, no limits; for comparison "
            "only."),
        listRow("policy.switched_off", false,
            "Mechanisms left out, for measurements: `adaptive-limit`, `rank-order`, `wait-shed`, "
            "`admission-level`, "
            "`locality`, `two-choices`, `caller-shed`, `ejection`, `slow-start`."),
    };
    return table;
}

std::optional<settings> settings::parse(
    const std::string& text, const std::string& fileName, const std::vector<setting_row>& table)
{
    document_findings findings;
    settings result;
    result.m_values = readSettings(text, table, findings);
    if (hasFault(findings))
        return fail(error_kind::BadSettings, formatFaults(findings, fileName + ": "));
    return result;
}

std::optional<settings> settings::load(const std::string& fileName)
{
    constexpr std::size_t maxSettingsBytes = 1048576;
    const auto text = readTextFile(fileName, maxSettingsBytes);
    if (!text)
        return fail(error_kind::BadSettings, getLastError().detail);
    return parse(*text, fileName);
}

const std::string& settings::getText(const std::string& key) const
{
    return std::get<std::string>(m_values.at(key));
}

const std::vector<std::string>& settings::getTextList(const std::string& key) const
{
    return std::get<std::vector<std::string>>(m_values.at(key));
}

long long settings::getInteger(const std::string& key) const { return std::get<long long>(m_values.at(key)); }

double settings::getNumber(const std::string& key) const { return std::get<double>(m_values.at(key)); }

bool settings::isSet(const std::string& key) const { return std::get<bool>(m_values.at(key)); }

} // namespace fuchsiagauge
