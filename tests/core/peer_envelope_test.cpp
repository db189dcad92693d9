#include "core/error.h"
#include "core/peer_envelope.h"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

TEST_GROUP(peer_envelope) {};

TEST(peer_envelope, roundTripsACall)
{
    peer_call call;
    call.priority = 2;
    call.startWithin = milliseconds(150);
    call.timeLeft = milliseconds(800);
    call.retryKind = retry_kind::Inherited;
    call.depth = 3;
    call.rank = 700;
    call.instance = "i-7";
    call.requestId = "ab12";
    const auto read = parsePeerCall(formatPeerCall(call));
    CHECK(read.has_value());
    LONGS_EQUAL(2, read->priority);
    DOUBLES_EQUAL(800, read->timeLeft.getCount(), 0.5);
    CHECK(read->retryKind == retry_kind::Inherited);
    CHECK_FALSE(read->isIdempotent);
    LONGS_EQUAL(3, read->depth);
    LONGS_EQUAL(700, read->rank);
    STRCMP_EQUAL("i-7", read->instance.c_str());
    STRCMP_EQUAL("", read->callerService.c_str());
}

TEST(peer_envelope, roundTripsEachOutcome)
{
    for (int index = 0; index <= static_cast<int>(attempt_outcome::TimedOut); ++index) {
        peer_reply reply;
        reply.outcome = static_cast<attempt_outcome>(index);
        reply.slots = 12;
        reply.downstreamFailure = static_cast<downstream_failure>(index % 4);
        const auto read = parsePeerReply(formatPeerReply(reply));
        CHECK(read.has_value());
        CHECK(read->outcome == reply.outcome);
        CHECK(read->downstreamFailure == reply.downstreamFailure);
        LONGS_EQUAL(12, read->slots);
    }
}

TEST(peer_envelope, roundTripsAShareOfRejections)
{
    const auto value = formatRejectedShare(0.55);
    DOUBLES_EQUAL(0.55, parseRejectedShare(&value), 0.001);
    DOUBLES_EQUAL(0, parseRejectedShare(nullptr), 0);
    for (const std::string malformed : { "", "x", "12x" })
        DOUBLES_EQUAL(0, parseRejectedShare(&malformed), 0);
}

TEST(peer_envelope, roundTripsCapacities)
{
    const std::vector<service_capacity> capacities { { "c", 0.25, milliseconds(), 0, {} },
        { "d", 1.5, milliseconds(20), 4.5, milliseconds(220) } };
    const auto value = formatCapacities(capacities);
    CHECK_EQUAL(std::string("c 25 0 0 0,d 150 20 45 220"), value);
    CHECK(capacities == parseCapacities(&value));
    CHECK(parseCapacities(nullptr).empty());
}

/// Guards against header values that grow or that break up at a service's name.
TEST(peer_envelope, leavesOutCapacitiesThatCannotBeSent)
{
    std::vector<service_capacity> capacities(2 * maxReportedServices, { "d", 1, {}, 1, {} });
    capacities.front().service = "a b";
    const auto value = formatCapacities(capacities);
    CHECK_EQUAL(maxReportedServices, parseCapacities(&value).size());
    for (const std::string malformed : { "", "d", "d 1 2 3", "d -1 0 0 0", "d x 0 0 0", " 1 2 3 4" })
        CHECK(parseCapacities(&malformed).empty());
}

TEST(peer_envelope, rejectsMalformedEnvelopes)
{
    for (const char* text : { "", "1", "1 2 3", "x 1 1 0 0 0 0 i s r", "1 2 3 0 0 0 0 i s r more",
             "1 2 3 0 9 0 0 i s r", "1 2 3 0 x 0 0 i s r", "1 2 3 0 0 0 x i s r" }) {
        CHECK_FALSE(parsePeerCall(text).has_value());
        CHECK(error_kind::BadPeerMessage == getLastError().kind);
    }
    for (const char* text :
        { "", "answered", "answered 1 1 1", "perhaps 1 1 1 1 0", "answered 1 x 1 1 0", "answered 1 1 1 1 9" })
        CHECK_FALSE(parsePeerReply(text).has_value());
}

TEST(peer_envelope, treatsOnlyOutcomesWithoutARunAsNotRun)
{
    CHECK(hasNotRun(attempt_outcome::NoRoom));
    CHECK(hasNotRun(attempt_outcome::Shed));
    CHECK(hasNotRun(attempt_outcome::Rejected));
    CHECK(hasNotRun(attempt_outcome::OverBudget));
    CHECK(hasNotRun(attempt_outcome::Misdirected));
    CHECK_FALSE(hasNotRun(attempt_outcome::Answered));
    CHECK_FALSE(hasNotRun(attempt_outcome::Lost));
    CHECK_FALSE(hasNotRun(attempt_outcome::TimedOut));
}
