#include "mesh/mesh_settings.h"

#include "core/error.h"
#include "core/text_file.h"

namespace fuchsiagauge {
namespace {

    constexpr double msPerSecond = 1000;
    constexpr double bytesPerMb = 1048576;
    constexpr std::size_t maxSettingsBytes = 1048576;
    constexpr milliseconds minRevokeTime { 2000 }; ///< With less, polls would time out on a loaded VM.

    setting_row makeTextRow(const char* key, const char* value, bool isRequired, const char* description)
    {
        return { key, setting_type::Text, std::string(value), isRequired, 0, 0, description };
    }

    setting_row makeAddressRow(const char* key, bool isRequired, const char* description)
    {
        return { key, setting_type::Address, std::string(), isRequired, 0, 0, description };
    }

    setting_row makeNumberRow(
        const char* key, double value, double minimum, double maximum, const char* description)
    {
        return { key, setting_type::Number, value, false, minimum, maximum, description };
    }

    milliseconds readSeconds(const settings& values, const char* key)
    {
        return milliseconds(values.getNumber(key) * msPerSecond);
    }

    address readAddress(const settings& values, const char* key)
    {
        return parseAddress(values.getText(key)).value_or(address {});
    }

    /// Parses entries of the form `zone=region`.
    /// @return whether every entry is valid.
    bool parseZones(const std::vector<std::string>& rows, node_location& location)
    {
        for (const auto& row : rows) {
            const auto separator = row.find('=');
            if (separator == std::string::npos || separator == 0 || separator + 1 == row.size())
                return false;
            location.regions[row.substr(0, separator)] = row.substr(separator + 1);
        }
        return true;
    }

} // namespace

const std::vector<setting_row>& getMeshSettingsTable()
{
    static const std::vector<setting_row> table {
        makeTextRow("node", "", true, "Name of this node; must be unique in the fleet."),
        makeTextRow("service", "", true, "Service that the instance on this VM provides."),
        makeTextRow("zone", "", true, "Availability zone of this VM."),
        { "zones", setting_type::TextList, std::vector<std::string> {}, false, 0, 0,
            "Region of each availability zone, as a list of `zone=region` entries." },
        makeAddressRow("target.address", true, "Address of the instance on this VM."),
        makeAddressRow(
            "listen.callers", true, "Address to listen on for clients and the instance on this VM."),
        makeAddressRow("listen.peers", true,
            "Address to listen on for other nodes; the port must be the same on every VM."),
        makeAddressRow("listen.ready", true, "Address to listen on for readiness checks, path `/ready`."),
        makeAddressRow("listen.metrics", false,
            "Address to listen on for metrics, path `/metrics`; if empty, they are served only at "
            "`listen.ready`."),
        makeAddressRow("platform.address", true, "Address of the platform's store."),
        makeNumberRow(
            "platform.watch_s", 5, 1, 30, "Maximum duration of one watch request to the store, in seconds."),
        makeNumberRow("platform.apply_s", 2, 0.5, 60,
            "Time within which a change of the configuration must be in force, in seconds. A silent store is "
            "noticed in less."),
        makeNumberRow("platform.drain_s", 60, 0.1, 3600,
            "Time within which an instance must get no further requests after it has been reported as "
            "leaving, "
            "in seconds."),
        makeNumberRow("platform.revoke_s", 0, 0, 3600,
            "Time after which a key that a published configuration no longer contains must not be accepted, "
            "in seconds; 0: not limited, otherwise at least 2. Keys are refused with 503 while the node's "
            "configuration has not been proved current within 0.9 of this time, also while it has no "
            "organisations."),
        makeNumberRow(
            "stop.grace_s", 6, 1, 3600, "Time from the stop signal until the process is killed, in seconds."),
        makeNumberRow("repeats.ratio", 0.2, 0, 1,
            "Maximum ratio of retries to requests, over the whole fleet and one window."),
        makeNumberRow("repeats.window_s", 10, 1, 3600,
            "Length of the sliding window for the retry limits, in seconds."),
        makeNumberRow("repeats.extra", 50, 0, 1e6,
            "Retries per service and window that are allowed in addition to the ratio."),
        makeTextRow("admission.call_trees", "off", false,
            "Whether entries shed requests by the load of the services that their calls will reach: on or "
            "off."),
        makeNumberRow("quotas.overshoot", 0, 0, 10,
            "By which share the nodes together may exceed the limit of an organisation in any window. Half "
            "of it "
            "is used for requests within the limit whose share has not reached their node yet."),
        makeNumberRow("quotas.slack", 0, 0, 1e6,
            "Requests by which the nodes together may exceed the limit of an organisation in any window, in "
            "addition to `quotas.overshoot`."),
        makeNumberRow("limits.connections", 3000, 16, 100000,
            "Maximum number of concurrent incoming connections on each listener. The one that has been idle "
            "for longest is closed for a new one."),
        makeNumberRow("limits.descriptors", 16384, 64, 1000000,
            "Maximum number of descriptors of the process. Incoming connections take at most three quarters "
            "of them."),
        makeNumberRow(
            "limits.trailer_bytes", 16384, 0, 1048576, "Maximum size of the trailer of a request, in bytes."),
        makeNumberRow("limits.chunk_extension_bytes", 4096, 16, 1048576,
            "Maximum size of the size line of one chunk with its extensions, in bytes."),
        makeNumberRow("limits.chunks_per_byte", 1, 0, 1,
            "Maximum number of chunks of a request for each byte of its body, beyond the first 1024 chunks."),
        makeNumberRow("limits.body_idle_s", 15, 0.1, 3600,
            "Time without any byte of a body after which its connection is closed, in seconds."),
        makeNumberRow("limits.memory_mb", 256, 16, 65536,
            "Memory that the process may use, in MB. Of it, 24 MB or at most half are left for the process "
            "itself; requests take 60 % of the rest, and small ones another 6.25 %; responses take a quarter "
            "of the whole."),
        makeTextRow(
            "log.level", "info", false, "Minimum severity that is logged: debug, info, warning or error."),
    };
    return table;
}

std::string formatMeshSettingsReference()
{
    return "# Settings of a mesh node\n\n"
           "`fuchsiagauged mesh --settings FILE` reads a file of JSON with comments, as described in\n"
           "[Settings](SETTINGS.md). Without the option, the environment variable\n"
           "`FUCHSIAGAUGE_SETTINGS` names the file.\n\n"
           "This page is generated by `fuchsiagauged mesh --settings-reference`.\n\n"
        + formatSettingsRows(getMeshSettingsTable());
}

std::optional<mesh_settings> mesh_settings::load(const std::string& fileName)
{
    const auto text = readTextFile(fileName, maxSettingsBytes);
    if (!text)
        return fail(error_kind::BadSettings, copyLastError().detail);
    return parse(*text, fileName);
}

std::optional<mesh_settings> mesh_settings::parse(const std::string& text, const std::string& fileName)
{
    const auto values = settings::parse(text, fileName, getMeshSettingsTable());
    if (!values)
        return std::nullopt;
    mesh_settings result;
    result.node = values->getText("node");
    result.service = values->getText("service");
    result.location.zone = values->getText("zone");
    if (!parseZones(values->getTextList("zones"), result.location))
        return fail(
            error_kind::BadSettings, fileName + ": zones: expected entries of the form `zone=region`");
    result.target = readAddress(*values, "target.address");
    result.callersListener = readAddress(*values, "listen.callers");
    result.peersListener = readAddress(*values, "listen.peers");
    result.readyListener = readAddress(*values, "listen.ready");
    result.metricsListener = readAddress(*values, "listen.metrics");
    result.platform = readAddress(*values, "platform.address");
    result.watchTimeout = readSeconds(*values, "platform.watch_s");
    result.applyTime = readSeconds(*values, "platform.apply_s");
    result.drainTime = readSeconds(*values, "platform.drain_s");
    result.revokeTime = readSeconds(*values, "platform.revoke_s");
    if (result.revokeTime > milliseconds() && result.revokeTime < minRevokeTime)
        return fail(error_kind::BadSettings, fileName + ": platform.revoke_s: expected 0 or at least 2");
    result.gracePeriod = readSeconds(*values, "stop.grace_s");
    result.retryLimits.ratio = values->getNumber("repeats.ratio");
    result.retryLimits.window = readSeconds(*values, "repeats.window_s");
    const auto callTrees = values->getText("admission.call_trees");
    if (callTrees != "on" && callTrees != "off")
        return fail(error_kind::BadSettings, fileName + ": admission.call_trees: expected on or off");
    result.usesCallTrees = callTrees == "on";
    result.quotaTolerance.overshoot = values->getNumber("quotas.overshoot");
    result.quotaTolerance.slack = values->getNumber("quotas.slack");
    result.retryLimits.extra = values->getNumber("repeats.extra");
    result.memoryBytes = static_cast<std::size_t>(values->getNumber("limits.memory_mb") * bytesPerMb);
    result.maxDescriptors = static_cast<std::size_t>(values->getNumber("limits.descriptors"));
    auto& limits = result.receiveLimits;
    limits.trailerBytes = static_cast<std::size_t>(values->getNumber("limits.trailer_bytes"));
    limits.chunkExtensionBytes = static_cast<std::size_t>(values->getNumber("limits.chunk_extension_bytes"));
    limits.chunksPerByte = values->getNumber("limits.chunks_per_byte");
    limits.bodyIdleTimeout = readSeconds(*values, "limits.body_idle_s");
    result.maxConnections = static_cast<std::size_t>(values->getNumber("limits.connections"));
    result.logLevel = values->getText("log.level");
    return result;
}

} // namespace fuchsiagauge
