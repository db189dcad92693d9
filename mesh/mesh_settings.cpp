#include "mesh/mesh_settings.h"

#include "core/error.h"
#include "core/text_file.h"

namespace fuchsiagauge {
namespace {

    constexpr double msPerSecond = 1000;
    constexpr std::size_t maxSettingsBytes = 1048576;

    setting_row textRow(const char* key, const char* value, bool isRequired, const char* doc)
    {
        return { key, setting_type::Text, std::string(value), isRequired, 0, 0, doc };
    }

    setting_row addressRow(const char* key, bool isRequired, const char* doc)
    {
        return { key, setting_type::Address, std::string(), isRequired, 0, 0, doc };
    }

    setting_row numberRow(const char* key, double value, double minimum, double maximum, const char* doc)
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
    bool readZones(const std::vector<std::string>& rows, node_location& place)
    {
        for (const auto& row : rows) {
            const auto at = row.find('=');
            if (at == std::string::npos || at == 0 || at + 1 == row.size())
                return false;
            place.regions[row.substr(0, at)] = row.substr(at + 1);
        }
        return true;
    }

} // namespace

const std::vector<setting_row>& getMeshSettingsTable()
{
    static const std::vector<setting_row> table {
        textRow("node", "", true, "Name of this node, unique in the fleet."),
        textRow("service", "", true, "Service that the instance on this VM provides."),
        textRow("zone", "", true, "Availability zone of this VM."),
        { "zones", setting_type::TextList, std::vector<std::string> {}, false, 0, 0,
            "Region of each availability zone: rows of the form `zone=region`." },
        addressRow("target.address", true, "Address of the instance on this VM."),
        addressRow("listen.callers", true, "Address for clients and the instance on this VM."),
        addressRow("listen.peers", true, "Address for other nodes; the port is the same on every VM."),
        addressRow("listen.ready", true, "Address that is asked whether the node takes clients."),
        addressRow(
            "listen.metrics", false, "Address for metrics; empty: only at `listen.ready`, path `/metrics`."),
        addressRow("platform.address", true, "Address of the platform's store."),
        numberRow("platform.watch_s", 20, 1, 30, "Longest wait of one watch, in seconds."),
        numberRow("stop.grace_s", 6, 1, 3600,
            "Time from the signal to stop until the process is killed, in seconds."),
        numberRow("repeats.ratio", 0.2, 0, 1,
            "Requests sent to a second instance, per request, over the whole fleet and window."),
        numberRow("repeats.window_s", 10, 1, 3600, "Window of the ratio, in seconds."),
        numberRow("repeats.extra", 50, 0, 1e6, "Repeats that the fleet may send besides, in a window."),
        numberRow("limits.connections", 3000, 16, 100000, "Incoming connections at once on each listener."),
        textRow(
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
    if (!readZones(values->getTextList("zones"), result.place))
        return fail(error_kind::BadSettings, fileName + ": zones: expected rows of the form `zone=region`");
    result.target = readAddress(*values, "target.address");
    result.callersListener = readAddress(*values, "listen.callers");
    result.peersListener = readAddress(*values, "listen.peers");
    result.readyListener = readAddress(*values, "listen.ready");
    result.metricsListener = readAddress(*values, "listen.metrics");
    result.platform = readAddress(*values, "platform.address");
    result.watch = readSeconds(*values, "platform.watch_s");
    result.grace = readSeconds(*values, "stop.grace_s");
    result.repeats.ratio = values->getNumber("repeats.ratio");
    result.repeats.window = readSeconds(*values, "repeats.window_s");
    result.repeats.extra = values->getNumber("repeats.extra");
    result.maxConnections = static_cast<std::size_t>(values->getNumber("limits.connections"));
    result.logLevel = values->getText("log.level");
    return result;
}

} // namespace fuchsiagauge
