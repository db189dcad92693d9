#include "mesh/mesh_settings.h"

#include "core/error.h"
#include "core/text_file.h"

namespace fuchsiagauge {
namespace {

    constexpr double msPerSecond = 1000;
    constexpr std::size_t maxSettingsBytes = 1048576;

    setting_row makeTextRow(const char* key, const char* value, bool isRequired, const char* doc)
    {
        return { key, setting_type::Text, std::string(value), isRequired, 0, 0, doc };
    }

    setting_row makeAddressRow(const char* key, bool isRequired, const char* doc)
    {
        return { key, setting_type::Address, std::string(), isRequired, 0, 0, doc };
    }

    setting_row makeNumberRow(const char* key, double value, double minimum, double maximum, const char* doc)
    {
        return { key, setting_type::Number, value, false, minimum, maximum, doc };
    }

    milliseconds readSeconds(const settings& values, const char* key)
    {
        return milliseconds(values.getNumber(key) * msPerSecond);
    }

    address readAddress(const settings& values, const char* key)
    {
        return parseAddress(values.getText(key)).value_or(address {});
    }

    /// Reads rows of the form `zone=region`.
    bool parseZones(const std::vector<std::string>& rows, node_place& place)
    {
        for (const auto& row : rows) {
            const auto separator = row.find('=');
            if (separator == std::string::npos || separator == 0 || separator + 1 == row.size())
                return false;
            place.regions[row.substr(0, separator)] = row.substr(separator + 1);
        }
        return true;
    }

} // namespace

const std::vector<setting_row>& getMeshSettingsTable()
{
    static const std::vector<setting_row> table {
        makeTextRow("node", "", true, "Name of this node, unique in the fleet."),
        makeTextRow("service", "", true, "Service that the instance on this VM provides."),
        makeTextRow("zone", "", true, "Availability zone of this VM."),
        { "zones", setting_type::TextList, std::vector<std::string> {}, false, 0, 0,
            "Region of each availability zone: rows of the form `zone=region`." },
        makeAddressRow("target.address", true, "Address of the instance on this VM."),
        makeAddressRow("listen.callers", true, "Address for clients and the instance on this VM."),
        makeAddressRow("listen.peers", true, "Address for other nodes; the port is the same on every VM."),
        makeAddressRow("listen.ready", true, "Address that is asked whether the node takes clients."),
        makeAddressRow(
            "listen.metrics", false, "Address for metrics; empty: only at `listen.ready`, path `/metrics`."),
        makeAddressRow("platform.address", true, "Address of the platform's store."),
        makeNumberRow("platform.watch_s", 20, 1, 30, "Longest wait of one watch, in seconds."),
        makeNumberRow("stop.grace_s", 6, 1, 3600,
            "Time from the signal to stop until the process is killed, in seconds."),
        makeNumberRow("repeats.ratio", 0.2, 0, 1,
            "Requests sent to a second instance, per request, over the whole fleet and window."),
        makeNumberRow("repeats.window_s", 10, 1, 3600, "Window of the ratio, in seconds."),
        makeNumberRow("repeats.extra", 50, 0, 1e6, "Repeats that the fleet may send besides, in a window."),
        makeNumberRow(
            "limits.connections", 3000, 16, 100000, "Incoming connections at once on each listener."),
        makeTextRow(
            "log.level", "info", false, "Least severe level that is logged: debug, info, warning or error."),
    };
    return table;
}

std::string formatMeshSettingsReference()
{
    return "# Settings of a node in a mesh\n\n"
           "`fuchsiagauged mesh --settings FILE` reads JSON with comments, as the page\n"
           "[Settings](SETTINGS.md) tells; without the option the file is named by "
           "`FUCHSIAGAUGE_SETTINGS`.\n\n"
           "This page is made by `fuchsiagauged mesh --settings-reference`.\n\n"
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
    result.place.zone = values->getText("zone");
    if (!parseZones(values->getTextList("zones"), result.place))
        return fail(error_kind::BadSettings, fileName + ": zones: expected rows of the form `zone=region`");
    result.target = readAddress(*values, "target.address");
    result.callersListener = readAddress(*values, "listen.callers");
    result.peersListener = readAddress(*values, "listen.peers");
    result.readyListener = readAddress(*values, "listen.ready");
    result.metricsListener = readAddress(*values, "listen.metrics");
    result.platform = readAddress(*values, "platform.address");
    result.watchTimeout = readSeconds(*values, "platform.watch_s");
    result.gracePeriod = readSeconds(*values, "stop.grace_s");
    result.retryLimits.ratio = values->getNumber("repeats.ratio");
    result.retryLimits.window = readSeconds(*values, "repeats.window_s");
    result.retryLimits.extra = values->getNumber("repeats.extra");
    result.maxConnections = static_cast<std::size_t>(values->getNumber("limits.connections"));
    result.logLevel = values->getText("log.level");
    return result;
}

} // namespace fuchsiagauge
