#include "tests/stand_ins/json_control.h"

#include <nlohmann/json.hpp>

namespace fuchsiagauge::stand_in {

void sendJson(
    http_exchange& exchange, int status, const nlohmann::json& value, const boost::asio::yield_context& yield)
{
    exchange.send({ status, { { "content-type", "application/json" } }, value.dump() + '\n' }, yield);
}

void applyJson(http_exchange& exchange, const std::function<void(document_reader&)>& read,
    const std::function<void()>& apply, const boost::asio::yield_context& yield)
{
    document_findings findings;
    const auto value = nlohmann::json::parse(exchange.getRequest().body, nullptr, false, true);
    document_reader reader(value, "", findings);
    read(reader);
    reader.addUnknownKeyFaults();
    if (hasFault(findings))
        return sendJson(exchange, 400, { { "error", formatFaults(findings, "") } }, yield);
    apply();
    sendJson(exchange, 200, nlohmann::json::object(), yield);
}

} // namespace fuchsiagauge::stand_in
