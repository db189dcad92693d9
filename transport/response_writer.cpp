#include "transport/response_writer.h"

#include "core/call_context.h"

#include <nlohmann/json.hpp>

namespace fuchsiagauge {

bool sendErrorResponse(response_writer& writer, error_kind kind, const std::string& detail,
    const header_fields& extraFields, boost::asio::yield_context yield)
{
    const auto& row = getErrorResponse(kind);
    response_head head;
    head.status = row.status;
    head.fields = extraFields;
    head.fields.set("content-type", "application/json");
    head.fields.set(header::error, row.name);
    head.fields.set(header::runOutcome, getOutcomeName(row.outcome));
    if (row.status == 503)
        head.fields.set("retry-after", "1");
    const nlohmann::json body { { "error", row.name }, { "text", row.text }, { "detail", detail },
        { "run", getOutcomeName(row.outcome) } };
    return writer.sendComplete(
        head, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n", yield);
}

} // namespace fuchsiagauge
