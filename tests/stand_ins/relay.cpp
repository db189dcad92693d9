#include "tests/stand_ins/json_control.h"
#include "tests/stand_ins/relay_link.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace fuchsiagauge::stand_in {
namespace {

    using json = nlohmann::json;

    using link_table = std::map<std::string, relay_link>;

    struct relay_options {
        std::string configFile;
        std::string control;
    };

    address readAddress(document_reader& reader, const std::string& key)
    {
        const auto value = parseAddress(reader.getRequiredText(key));
        if (!value)
            reader.addFault(key, "not an address", "`ip:port`");
        return value.value_or(address());
    }

    /// A route from the configuration file.
    struct route_entry {
        std::string linkName;
        relay_route route;
        link_conditions conditions;
    };

    route_entry readRoute(document_reader& reader)
    {
        route_entry entry;
        entry.linkName = reader.getRequiredText("name");
        entry.route.listen = readAddress(reader, "listen");
        entry.route.to = readAddress(reader, "to");
        entry.route.isReversed = reader.getFlag("reversed", false);
        entry.conditions = readLinkConditions(reader, {});
        return entry;
    }

    std::vector<route_entry> readConfig(const std::string& fileName)
    {
        std::ifstream file(fileName);
        const auto config = json::parse(file, nullptr, false, true);
        std::vector<route_entry> entries;
        document_findings findings;
        document_reader reader(config, "", findings);
        reader.readEntries("routes",
            [&](const std::string&, document_reader& entry) { entries.push_back(readRoute(entry)); });
        reader.addUnknownKeyFaults();
        if (hasFault(findings))
            throw std::runtime_error(formatFaults(findings, fileName + ": "));
        return entries;
    }

    void setConditions(http_exchange& exchange, link_table& links, const boost::asio::yield_context& yield)
    {
        relay_link* link = nullptr;
        link_conditions conditions;
        const auto read = [&](document_reader& reader) {
            const auto found = links.find(reader.getRequiredText("name"));
            if (found == links.end())
                return reader.addFault("name", "unknown", "the name of a link");
            link = &found->second;
            conditions = readLinkConditions(reader, link->getConditions());
        };
        applyJson(
            exchange, read, [&] { link->setConditions(conditions); }, yield);
    }

    json describe(const link_table& links)
    {
        auto result = json::object();
        for (const auto& [name, link] : links) {
            const auto& conditions = link.getConditions();
            result[name] = { { "cut", conditions.isCut }, { "blackhole", conditions.isBlackhole },
                { "delay_ms", conditions.delayMs }, { "bytes_per_second", conditions.bytesPerSecond },
                { "connections", link.getConnectionCount() },
                { "forward_bytes", link.getBytes(link_direction::Forward) },
                { "back_bytes", link.getBytes(link_direction::Back) } };
        }
        return result;
    }

    void serveControl(http_exchange& exchange, link_table& links, const boost::asio::yield_context& yield)
    {
        const auto& request = exchange.getRequest();
        if (request.path != "/links")
            return sendJson(exchange, 404, { { "error", "unknown path" } }, yield);
        if (request.method == "GET")
            return sendJson(exchange, 200, describe(links), yield);
        setConditions(exchange, links, yield);
    }

    int run(const relay_options& options)
    {
        const auto control = parseAddress(options.control);
        if (!control)
            throw std::runtime_error("--control expects ip:port");
        link_table links;
        boost::asio::io_context context(1);
        for (const auto& entry : readConfig(options.configFile)) {
            auto& link = links[entry.linkName];
            link.setConditions(entry.conditions);
            serveRoute(context, entry.route, link);
        }
        serveHttp(context, *control,
            [&](auto& exchange, const auto& yield) { serveControl(exchange, links, yield); });
        context.run();
        return 0;
    }

} // namespace
} // namespace fuchsiagauge::stand_in

int main(int argc, char** argv)
{
    CLI::App app {
        "TCP relay that cuts, delays and throttles links between regions or availability zones, for tests."
    };
    fuchsiagauge::stand_in::relay_options options;
    app.add_option("--config", options.configFile,
           "configuration file: {\"routes\": [{\"name\", \"listen\", \"to\", \"reversed\"}]}")
        ->required();
    app.add_option("--control", options.control,
           "address (ip:port) of the control interface, which sets the conditions of links")
        ->required();
    CLI11_PARSE(app, argc, argv);
    try {
        return fuchsiagauge::stand_in::run(options);
    } catch (const std::exception& fault) {
        std::cerr << "stand_in_relay: " << fault.what() << '\n';
        return 1;
    }
}
