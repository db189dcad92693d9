#include "transport/answer_writer.h"

#include "core/call_context.h"

#include <nlohmann/json.hpp>

namespace fuchsiagauge {

bool sendErrorAnswer(answer_writer& writer, error_kind kind, const std::string& detail,
    const call_fields& extraFields, boost::asio::yield_context yield)
{
    const auto& row = getErrorResponse(kind);
    answer_head head;
    head.status = row.status;
    head.fields = extraFields;
    head.fields.set("content-type", "application/json");
    head.fields.set(header::error, row.name);
    head.fields.set(header::runOutcome, getOutcomeName(row.outcome));
    if (row.status == 503)
        head.fields.set("retry-after", "1");
    const nlohmann::json body { { "error", row.name }, { "text", row.text }, { "detail", detail },
        { "run", getOutcomeName(row.outcome) } };
    return writer.sendWhole(
        head, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n", yield);
}

} // namespace fuchsiagauge
