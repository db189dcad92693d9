#include "core/settings.h"

#include "core/document_finding.h"
#include "core/settings_reader.h"
#include "core/text_file.h"

namespace fuchsiagauge {
namespace {

    /// Maximum of a setting without an upper bound; the reference page prints it as "or more".
    constexpr double unboundedMaximum = 1e18;

    setting_row makeTextRow(const char* key, const char* value, bool isRequired, const char* description)
    {
        return { key, setting_type::Text, std::string(value), isRequired, 0, 0, description };
    }

    setting_row makeAddressRow(const char* key, const char* value, bool isRequired, const char* description)
    {
        return { key, setting_type::Address, std::string(value), isRequired, 0, 0, description };
    }

    setting_row makeListRow(const char* key, bool isRequired, const char* description)
    {
        return { key, setting_type::TextList, std::vector<std::string> {}, isRequired, 0, unboundedMaximum,
            description };
    }

    setting_row makeIntegerRow(
        const char* key, long long value, double minimum, double maximum, const char* description)
    {
        return { key, setting_type::Integer, value, false, minimum, maximum, description };
    }

    setting_row makeFlagRow(const char* key, bool value, const char* description)
    {
        return { key, setting_type::Flag, value, false, 0, 0, description };
    }

} // namespace

const std::vector<setting_row>& getSettingsTable()
{
    static const std::vector<setting_row> table {
        makeTextRow("instance", "", true, "Name of this instance; must be unique in the fleet."),
        makeTextRow("service", "", true, "Service that the local target provides."),
        makeTextRow("region", "", true, "Region of this VM."),
        makeTextRow("zone", "", true, "Availability zone of this VM."),
        makeAddressRow("listen.edge", "", true, "Address to listen on for external callers."),
        makeAddressRow("listen.mesh", "", true, "Address to listen on for calls from other nodes."),
        makeAddressRow(
            "listen.egress", "", true, "Address to listen on for the local target's outgoing calls."),
        makeAddressRow("listen.peer", "", true, "Address to listen on for peer links from other nodes."),
        makeAddressRow("listen.admin", "", true,
            "Address to listen on for operators' requests, metrics and the audit trail."),
        makeAddressRow("target.address", "", true, "Address of the local target."),
        makeTextRow(
            "target.health_path", "/health", false, "Health endpoint of the target; empty if it has none."),
        makeTextRow("target.load_path", "/load", false, "Load endpoint of the target; empty if it has none."),
        makeIntegerRow("target.poll_ms", 500, 50, 60000,
            "Pause between polls of the target's health and load endpoints, in milliseconds."),
        makeIntegerRow("target.max_connections", 1000, 1, 100000,
            "Maximum number of concurrent connections to the target."),
        makeAddressRow("platform.address", "", false,
            "Address of the platform's services; empty to run without a platform."),
        makeIntegerRow("platform.watch_ms", 20000, 100, 300000,
            "Maximum duration of one watch request to the platform, in milliseconds."),
        makeIntegerRow("platform.calls_per_second", 150, 1, 100000,
            "Maximum calls per second to the platform from all nodes together; each node limits itself to "
            "its share."),
        makeListRow("fleet.keys", true,
            "Shared secrets of the fleet, newest first; the first one signs, all of them verify."),
        makeListRow("fleet.seeds", false, "Peer addresses (`ip:port`) to contact at start-up."),
        makeListRow("fleet.routes", false,
            "Addresses of other nodes that this VM reaches at a different address, for example through "
            "network address translation: `advertised=reachable`, each `ip:port`."),
        makeIntegerRow("fleet.expected_nodes", 800, 1, 1000000,
            "Minimum fleet size assumed when the limit on calls to the platform is divided among the nodes."),
        makeIntegerRow("fleet.readers_per_zone", 2, 1, 100,
            "Number of nodes in each availability zone that watch the platform."),
        makeIntegerRow("fleet.bytes_per_second", 6000, 1000, 1000000000,
            "Maximum bytes per second that a node sends on its peer links."),
        makeIntegerRow("fleet.peer_wait_ms", 3000, 0, 60000,
            "Maximum time for which a document from the platform is deferred to wait for a newer one from "
            "peers, in milliseconds."),
        makeIntegerRow("fleet.start_number", 0, 0, unboundedMaximum,
            "Start number, which must rise with each start of this instance; 0 takes the wall clock in "
            "microseconds."),
        makeIntegerRow(
            "limits.header_bytes", 16384, 1024, 1048576, "Maximum size of a header section, in bytes."),
        makeIntegerRow(
            "limits.body_bytes", 1048576, 0, 1073741824, "Maximum size of a request body, in bytes."),
        makeIntegerRow("limits.connections", 4096, 1, 100000,
            "Maximum number of concurrent incoming connections on each listener."),
        makeIntegerRow("stop.grace_ms", 30000, 0, 3600000,
            "Maximum time for which a graceful shutdown waits for requests in flight, in milliseconds."),
        makeIntegerRow(
            "audit.entries", 1000, 10, 100000, "Maximum number of entries kept in the audit trail."),
        makeTextRow(
            "log.level", "info", false, "Minimum severity that is logged: debug, info, warning or error."),
        makeFlagRow("policy.naive", false,
            "Replaces the policies by a baseline: round robin, fixed retries at each hop, no limits; for "
            "comparison only."),
        makeListRow("policy.switched_off", false,
            "Mechanisms that are disabled for measurements: `adaptive-limit`, `rank-order`, `wait-shed`, "
            "`admission-level`, `locality`, `two-choices`, `caller-shed`, `ejection`, `slow-start`."),
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

bool settings::getFlag(const std::string& key) const { return std::get<bool>(m_values.at(key)); }

} // namespace fuchsiagauge
