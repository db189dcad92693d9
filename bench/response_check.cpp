#include "bench/response_check.h"

#include "bench/generated_body.h"
#include "core/call_context.h"

#include <nlohmann/json.hpp>

namespace fuchsiagauge::bench {
namespace {

    std::string findEchoMismatch(
        const http_request& request, const http_fields& fields, const std::string& name)
    {
        const auto sent = request.fields.get(name);
        const auto echoed = fields.get(name);
        if (sent == echoed)
            return {};
        return "header " + name + " is `" + echoed + "`, sent `" + sent + '`';
    }

    std::string getRequestKey(const http_request& request)
    {
        const auto order = request.fields.get("order-id");
        return order.empty() ? request.fields.get("caller-request-id") : order;
    }

} // namespace

response_mismatch findResponseMismatch(
    const http_request& request, const exchange_result& result, std::int64_t expectedBytes)
{
    const auto& fields = result.response.fields;
    if (expectedBytes >= 0 && result.bodyBytes != static_cast<std::uint64_t>(expectedBytes))
        return { "size",
            std::to_string(result.bodyBytes) + " bytes, expected " + std::to_string(expectedBytes) };
    for (const char* name : { "caller-request-id", "order-id" }) {
        const auto detail = findEchoMismatch(request, fields, name);
        if (!detail.empty())
            return { "echo", detail };
    }
    if (result.bodyDigest != fields.get("body-digest"))
        return { "digest", result.bodyDigest + ", header says `" + fields.get("body-digest") + '`' };
    const generated_body expected(request.path, getRequestKey(request), result.bodyBytes);
    if (result.bodyDigest != expected.computeDigest())
        return { "foreign-body", "the body belongs to another request" };
    body_digest sentBody;
    sentBody.add(request.body.data(), request.body.size());
    if (!request.body.empty() && sentBody.format() != fields.get("request-digest"))
        return { "foreign-request", "the target received another request body" };
    return {};
}

run_outcome classifyOutcome(const exchange_result& result)
{
    if (result.failure == exchange_failure::ConnectFailed)
        return run_outcome::NotRun;
    if (result.failure != exchange_failure::None)
        return run_outcome::Unknown;
    const auto statedOutcome = findOutcome(result.response.fields.get(header::runOutcome));
    if (statedOutcome)
        return *statedOutcome;
    return result.response.fields.has("target-shed") ? run_outcome::NotRun : run_outcome::Answered;
}

std::string parseTicketState(const std::string& body)
{
    const auto response = nlohmann::json::parse(body, nullptr, false);
    const bool hasState = response.is_object() && response.contains("state") && response["state"].is_string();
    return hasState ? response["state"].get<std::string>() : "unreadable";
}

std::string getErrorCode(const exchange_result& result)
{
    if (result.failure != exchange_failure::None)
        return getFailureName(result.failure);
    if (result.response.status == 200)
        return {};
    const auto code = result.response.fields.get(header::error);
    return code.empty() ? "status-" + std::to_string(result.response.status) : code;
}

} // namespace fuchsiagauge::bench
