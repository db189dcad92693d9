#include "bench/generated_body.h"
#include "bench/response_check.h"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;
using namespace fuchsiagauge::bench;

namespace {

exchange_result makeResponse(int status, const http_fields& fields)
{
    exchange_result result;
    result.response.status = status;
    result.response.fields = fields;
    return result;
}

exchange_result makeValidResponse(const std::string& requestId, std::uint64_t size)
{
    const auto digest = generated_body("/p", requestId, size).computeDigest();
    auto result = makeResponse(200, { { "caller-request-id", requestId }, { "Body-Digest", digest } });
    result.bodyBytes = size;
    result.bodyDigest = digest;
    return result;
}

} // namespace

TEST_GROUP(response_check) {};

TEST(response_check, detectsEachMismatch)
{
    http_request request;
    request.path = "/p";
    request.fields.add("caller-request-id", "r1");
    const auto valid = makeValidResponse("r1", 10);
    STRCMP_EQUAL("", findResponseMismatch(request, valid, 10).code.c_str());
    STRCMP_EQUAL("size", findResponseMismatch(request, valid, 11).code.c_str());
    STRCMP_EQUAL("echo", findResponseMismatch(request, makeValidResponse("r2", 10), 10).code.c_str());
    auto truncated = valid;
    truncated.bodyDigest = generated_body("/p", "r1", 9).computeDigest();
    STRCMP_EQUAL("digest", findResponseMismatch(request, truncated, 10).code.c_str());
    const auto other = generated_body("/p", "r2", 10).computeDigest();
    auto foreign = makeResponse(200, { { "caller-request-id", "r1" }, { "body-digest", other } });
    foreign.bodyDigest = other;
    foreign.bodyBytes = 10;
    STRCMP_EQUAL("foreign-body", findResponseMismatch(request, foreign, 10).code.c_str());
    request.body = "sent";
    STRCMP_EQUAL("foreign-request", findResponseMismatch(request, valid, 10).code.c_str());
}

TEST(response_check, classifiesTheOutcomeOfOneSend)
{
    exchange_result connectionLost;
    connectionLost.failure = exchange_failure::ConnectionLost;
    exchange_result unreachable;
    unreachable.failure = exchange_failure::ConnectFailed;
    const struct {
        exchange_result result;
        run_outcome expected;
    } rows[] = {
        { connectionLost, run_outcome::Unknown },
        { unreachable, run_outcome::NotRun },
        { makeResponse(503, { { "fuchsiagauge-run", "not-run" } }), run_outcome::NotRun },
        { makeResponse(502, { { "fuchsiagauge-run", "unknown" } }), run_outcome::Unknown },
        { makeResponse(503, { { "target-shed", "1" } }), run_outcome::NotRun },
        { makeResponse(500, {}), run_outcome::Answered },
    };
    for (const auto& row : rows)
        CHECK(classifyOutcome(row.result) == row.expected);
}

TEST(response_check, combinesTheOutcomesOfAllSends)
{
    constexpr auto notRun = run_outcome::NotRun;
    constexpr auto unknown = run_outcome::Unknown;
    constexpr auto answered = run_outcome::Answered;
    const auto send = [](const char* ticket, int status, run_outcome outcome) {
        send_record result;
        result.ticket = ticket;
        result.status = status;
        result.outcome = outcome;
        return result;
    };
    const struct {
        std::vector<send_record> sends;
        run_outcome expected;
    } rows[] = {
        { {}, notRun },
        { { send("", 503, notRun), send("", 503, notRun) }, notRun },
        { { send("", 0, unknown), send("", 503, notRun) }, unknown },
        { { send("", 0, unknown), send("", 200, answered) }, answered },
        { { send("a", 0, unknown), send("a", 503, notRun) }, notRun },
        { { send("a", 0, unknown), send("a", 0, notRun) }, unknown },
        { { send("a", 0, unknown), send("b", 503, notRun) }, unknown },
        { { send("a", 503, notRun), send("b", 0, unknown) }, unknown },
        { { send("a", 200, answered), send("a", 503, notRun) }, answered },
    };
    for (const auto& row : rows)
        CHECK(combineOutcomes(row.sends) == row.expected);
}

TEST(response_check, parsesTicketStates)
{
    STRCMP_EQUAL("running", parseTicketState(R"({"state": "running"})").c_str());
    for (const char* body : { "", "[]", "{}", R"({"state": 1})" })
        STRCMP_EQUAL("unreadable", parseTicketState(body).c_str());
}
