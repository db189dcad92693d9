#include "tests/node/scripted_target.h"
#include "tests/node/test_node.h"

#include <CppUTest/TestHarness.h>
#include <vector>

namespace {

/// A response of a target and the response that the caller must get for it.
struct target_case {
    const char* name;
    std::string script;
    bool isKeptOpen;
    std::string expected; ///< Text that the caller's response must contain.
    bool isComplete; ///< Whether the caller's response must be complete.
};

const std::string shortHead = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
const std::string longHead = "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n";
const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::vector<target_case> makeCases()
{
    return {
        { "whole answer", shortHead + "hello", true, "hello", true },
        { "whole large answer", longHead + std::string(100000, 'x'), true, std::string(100000, 'x'), true },
        { "chunked answer", chunkedHead + "5\r\nhello\r\n0\r\n\r\n", true, "hello", true },
        { "answer until the connection ends", "HTTP/1.0 200 OK\r\n\r\nhello", false, "hello", true },
        { "interim answer first", "HTTP/1.1 100 Continue\r\n\r\n" + shortHead + "hello", true, "hello",
            true },
        { "no content", "HTTP/1.1 204 No Content\r\n\r\n", true, "204 No Content", true },
        { "target's own failure", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", true,
            "fuchsiagauge-run: answered", true },
        { "connection closed without an answer", "", false, "fuchsiagauge-error: connection-lost", true },
        { "garbage", "\x01\x02 garbage\r\n\r\n", false, "fuchsiagauge-error: broken-answer", true },
        { "status 000", "HTTP/1.1 000 Odd\r\nContent-Length: 5\r\n\r\nhello", true,
            "fuchsiagauge-error: broken-answer", true },
        { "status 099", "HTTP/1.1 099 Odd\r\nContent-Length: 5\r\n\r\nhello", true,
            "fuchsiagauge-error: broken-answer", true },
        { "status 600", "HTTP/1.1 600 Odd\r\nContent-Length: 5\r\n\r\nhello", true,
            "fuchsiagauge-error: broken-answer", true },
        { "field name with a blank", "HTTP/1.1 200 OK\r\nna me: x\r\nContent-Length: 5\r\n\r\nhello", true,
            "fuchsiagauge-error: broken-answer", true },
        { "field name with a control byte",
            "HTTP/1.1 200 OK\r\nna\x01me: x\r\nContent-Length: 5\r\n\r\nhello", true,
            "fuchsiagauge-error: broken-answer", true },
        { "short answer cut off", shortHead + "he", false, "fuchsiagauge-run: unknown", true },
        { "long answer cut off", longHead + "he", false, "Content-Length: 100000", false },
        { "chunked answer cut off", chunkedHead + "5\r\nhello\r\n", false, "hello", false },
        { "no answer before the deadline", "", true, "fuchsiagauge-error: answer-timeout", true },
        { "answer to another request",
            "HTTP/1.1 200 OK\r\nfuchsiagauge-request-id: 1\r\nContent-Length: 5\r\n\r\nother", true,
            "fuchsiagauge-error: broken-answer", true },
    };
}

/// @return whether the body has the length that the head announces, or ends with the last chunk.
bool isCompleteResponse(const std::string& response)
{
    const auto headEnd = response.find("\r\n\r\n");
    if (headEnd == std::string::npos)
        return false;
    const auto body = response.substr(headEnd + 4);
    if (response.find("chunked") < headEnd)
        return body.size() >= 5 && body.compare(body.size() - 5, 5, "0\r\n\r\n") == 0;
    const auto length = response.find("Content-Length: ");
    return length > headEnd || std::stoul(response.substr(length + 16)) == body.size();
}

/// @return the line of a header field with its line end; empty if there is no such field.
std::string findField(const std::string& response, const std::string& name)
{
    const auto begin = response.find(name + ": ");
    return begin == std::string::npos ? std::string()
                                      : response.substr(begin, response.find('\n', begin) - begin + 1);
}

} // namespace

TEST_GROUP(target_contract) {};

// Guards against a truncated response that reaches the caller as a complete one, when the target closes the
// connection early or responds with garbage.
TEST(target_contract, truncatedResponseIsNotPresentedAsComplete)
{
    for (const auto& testCase : makeCases()) {
        scripted_target target(getTestHost(), TargetPort);
        target.setScript(testCase.script, testCase.isKeptOpen);
        test_node node;
        CHECK(node.isServing());
        const auto response = exchangeBytes(EdgePort, makeRequestHead("GET", "/proof"), false);
        CHECK_TEXT(response.find(testCase.expected) != std::string::npos,
            (testCase.name + (": " + response.substr(0, 500))).c_str());
        CHECK_TEXT(isCompleteResponse(response) == testCase.isComplete, testCase.name);
    }
}

// Guards against running an order twice: the target reads it and closes the connection without a response,
// and the caller repeats the order with the same ticket.
TEST(target_contract, orderWithUnknownOutcomeIsNotSentAgain)
{
    scripted_target target(getTestHost(), TargetPort);
    target.setScript("", false);
    test_node node;
    const auto order = makeRequestHead("POST", "/order", "Content-Length: 0\r\n");
    const auto ticketField = findField(exchangeBytes(EdgePort, order, false), "fuchsiagauge-ticket");
    LONGS_EQUAL(0, target.getRequestCount());
    const auto withTicket = makeRequestHead("POST", "/order", "Content-Length: 0\r\n" + ticketField);
    for (int submission = 0; submission < 3; ++submission) {
        const auto response = exchangeBytes(EdgePort, withTicket, false);
        CHECK_TEXT(response.find("fuchsiagauge-run: unknown") != std::string::npos, response.c_str());
    }
    LONGS_EQUAL(1, target.getRequestCount());
}

// Nothing listens on the target's port, so the node can report that the request did not run.
TEST(target_contract, unreachableTargetIsReportedAsNotRun)
{
    test_node node;
    const auto response = exchangeBytes(EdgePort, makeRequestHead("GET", "/"), false);
    CHECK_TEXT(response.find("fuchsiagauge-run: not-run") != std::string::npos, response.c_str());
    CHECK_TEXT(
        response.find("fuchsiagauge-error: target-unreachable") != std::string::npos, response.c_str());
}
