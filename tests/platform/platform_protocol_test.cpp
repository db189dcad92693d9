#include "platform/platform_protocol.h"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

TEST_GROUP(platform_protocol)
{
    target_protocol protocol = makePlatformProtocol();

    static response_head makeHead(int status, const std::vector<header_field>& fields)
    {
        response_head head;
        head.status = status;
        for (const auto& field : fields)
            head.fields.add(field.name, field.value);
        return head;
    }
};

TEST(platform_protocol, parsesClientFields)
{
    header_fields fields;
    fields.add("host", "shop.example:8080");
    fields.add("request-id", "aa.bb.cc");
    fields.add("Request-Deadline", "1500");
    const auto requestInfo = protocol.parseClientFields(fields);
    STRCMP_EQUAL("shop.example", requestInfo.host.c_str());
    STRCMP_EQUAL("aa.bb.cc", requestInfo.requestId.c_str());
    STRCMP_EQUAL("aa.bb", requestInfo.parentId.c_str());
    DOUBLES_EQUAL(1500, requestInfo.timeLeft->getCount(), 0.001);
}

TEST(platform_protocol, ignoresInvalidDeadline)
{
    for (const char* text : { "", "soon", "-5", "1e999", "5 " }) {
        header_fields fields;
        fields.add("Request-Deadline", text);
        CHECK_FALSE(protocol.parseClientFields(fields).timeLeft.has_value());
    }
}

TEST(platform_protocol, replacesNodeFieldsSentByClient)
{
    header_fields fields;
    fields.add("Caller-Service", "forged");
    fields.add("expect-instance", "i-9");
    fields.add("FG-Call", "0 0 0");
    fields.add("Accept", "*/*");
    protocol.sanitizeClientFields(fields);
    CHECK_EQUAL(1U, fields.getAll().size());
    protocol.addTargetFields({ "i-1", milliseconds(700), "catalogue", {} }, fields);
    STRCMP_EQUAL("i-1", fields.get("Expect-Instance").c_str());
    STRCMP_EQUAL("700", fields.get("Request-Deadline").c_str());
    STRCMP_EQUAL("catalogue", fields.get("Caller-Service").c_str());
}

TEST(platform_protocol, parsesRejectionAndLoad)
{
    CHECK(protocol.parseResponse(makeHead(503, { { "Not-Run", "1" } })).isRejected);
    CHECK_FALSE(protocol.parseResponse(makeHead(503, {})).isRejected);
    CHECK_FALSE(protocol.parseResponse(makeHead(400, { { "Not-Run", "1" } })).isRejected);
    CHECK(protocol.parseResponse(makeHead(421, { { "Not-Run", "1" } })).isMisdirected);
    CHECK_FALSE(protocol.parseResponse(makeHead(421, { { "Not-Run", "1" } })).isRejected);
    LONGS_EQUAL(8, protocol.parseResponse(makeHead(200, { { "Server-Load", "3,0,8" } })).slots);
    LONGS_EQUAL(0, protocol.parseResponse(makeHead(200, { { "Server-Load", "3,0,many" } })).slots);
    CHECK_FALSE(protocol.parseResponse(makeHead(503, { { "Server-Load", "3,0,8" } })).isFull);
    CHECK(protocol.parseResponse(makeHead(503, { { "Server-Load", "8,2,8" } })).isFull);
    CHECK_FALSE(protocol.parseResponse(makeHead(503, { { "Server-Load", "many,0,8" } })).isFull);
}

// Taken for the slots, the pace would open or close slots that the instance doesn't have.
TEST(platform_protocol, parsesThePaceOfASharedVm)
{
    const auto info = protocol.parseResponse(makeHead(200, { { "Server-Load", "75,3,75,140" } }));
    LONGS_EQUAL(75, info.slots);
    CHECK(info.isFull);
    DOUBLES_EQUAL(1.4, info.slowdown.value_or(0), 0.001);
    CHECK_FALSE(protocol.parseResponse(makeHead(200, { { "Server-Load", "3,0,8" } })).slowdown.has_value());
    CHECK_FALSE(protocol.parseResponse(makeHead(200, { { "Server-Load", "3,0,8,0" } })).slowdown.has_value());
    LONGS_EQUAL(0, protocol.parseResponse(makeHead(200, { { "Server-Load", "3,0" } })).slots);
}

// Only a refusal with the statement, and without the stamp of a run, tells that a request has not run.
TEST(platform_protocol, takesNoContradictoryResponseForARefusal)
{
    CHECK_FALSE(protocol.parseResponse(makeHead(421, {})).isMisdirected);
    for (const int status : { 200, 204, 301 })
        CHECK_FALSE(protocol.parseResponse(makeHead(status, { { "Not-Run", "1" } })).isRejected);
    for (const int status : { 421, 429, 503 }) {
        const auto info
            = protocol.parseResponse(makeHead(status, { { "Not-Run", "1" }, { "Server-Stamp", "a" } }));
        CHECK_FALSE(info.isRejected);
        CHECK_FALSE(info.isMisdirected);
    }
}

TEST(platform_protocol, detectsResponseToAnotherRequest)
{
    CHECK(response_match::Matches == protocol.matchResponse(makeHead(200, { { "request-id", "a" } }), "a"));
    CHECK(response_match::OtherRequest
        == protocol.matchResponse(makeHead(200, { { "Request-Id", "b" } }), "a"));
}

// A head that breaks off and is continued by the head of another response has the ids of both.
TEST(platform_protocol, aHeadWithTheIdsOfTwoRequestsMatchesNeither)
{
    const auto head = makeHead(200, { { "Request-Id", "a" }, { "Request-Id", "b" } });
    CHECK(response_match::OtherRequest == protocol.matchResponse(head, "a"));
    CHECK(response_match::OtherRequest == protocol.matchResponse(head, "b"));
}

// The end of another response, parsed as a response of its own, must not pass for a success.
TEST(platform_protocol, aSuccessWithoutARequestIdMatchesNoRequest)
{
    CHECK(response_match::OtherRequest == protocol.matchResponse(makeHead(200, {}), "a"));
    CHECK(response_match::Unidentified == protocol.matchResponse(makeHead(503, {}), "a"));
}

TEST(platform_protocol, parsesTheRateLimit)
{
    DOUBLES_EQUAL(
        39.1, *protocol.parseResponse(makeHead(200, { { "server-limit", "39.1" } })).rateLimit, 1e-9);
    DOUBLES_EQUAL(0, *protocol.parseResponse(makeHead(200, { { "Server-Limit", "0" } })).rateLimit, 1e-9);
    CHECK_FALSE(protocol.parseResponse(makeHead(200, {})).rateLimit.has_value());
    for (const char* text : { "", "few", "-1", "1e999", "5 " })
        CHECK_FALSE(
            protocol.parseResponse(makeHead(200, { { "Server-Limit", text } })).rateLimit.has_value());
}

TEST(platform_protocol, parsesTheAnnouncementOfAStop)
{
    CHECK(protocol.parseResponse(makeHead(500, { { "server-leaving", "1" } })).isLeaving);
    CHECK_FALSE(protocol.parseResponse(makeHead(200, { { "Server-Leaving", "0" } })).isLeaving);
    CHECK_FALSE(protocol.parseResponse(makeHead(200, {})).isLeaving);
}
