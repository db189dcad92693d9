#include "core/error.h"
#include "mesh/replica_messages.h"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

TEST_GROUP(replica_messages) {};

TEST(replica_messages, roundTripsAPoll)
{
    replica_poll poll { 77, milliseconds(600), true, true };
    STRCMP_EQUAL("77 600 1 1", formatReplicaPoll(poll).c_str()); // Of a node of an earlier version.
    CHECK(parseReplicaPoll(formatReplicaPoll(poll)) == poll);
    poll.epoch = 3;
    CHECK(parseReplicaPoll(formatReplicaPoll(poll)) == poll);
}

TEST(replica_messages, rejectsMalformedPolls)
{
    for (const char* text : { "", "x", "1", "1 2", "1 -2 0 0", "1 2 0" }) {
        CHECK_FALSE(parseReplicaPoll(text).has_value());
        CHECK(getLastError().kind == error_kind::BadPeerMessage);
    }
}

TEST(replica_messages, roundTripsAnAnswerWithAnyBytes)
{
    replica_answer answer;
    answer.isReader = true;
    answer.isConnected = true;
    answer.connectedFor = milliseconds(1500);
    answer.confirmedAgo = milliseconds(400);
    answer.changes
        = { 90, true, { { "op/config", std::string("a\0\xff", 3), 88 } }, { { "servers/i-1", 90 } } };
    CHECK(decodeReplicaAnswer(encodeReplicaAnswer(answer)) == answer);
    answer.provenAgo = milliseconds(70);
    answer.heldFor = milliseconds(600);
    answer.changes.epoch = 3;
    CHECK(decodeReplicaAnswer(encodeReplicaAnswer(answer)) == answer);
}

// Rounding must not make the items look newer than they are proved to be.
TEST(replica_messages, roundsAProofToTheOlderSide)
{
    replica_answer answer;
    answer.provenAgo = milliseconds(70.1);
    answer.heldFor = milliseconds(599.9);
    const auto decoded = decodeReplicaAnswer(encodeReplicaAnswer(answer));
    DOUBLES_EQUAL(71, decoded->provenAgo->getCount(), 0);
    DOUBLES_EQUAL(599, decoded->heldFor.getCount(), 0);
}

// Nodes without proof, or of an earlier version, state neither an age nor how long they held the poll.
TEST(replica_messages, statesNoProofWithoutOne)
{
    const auto bytes = encodeReplicaAnswer({});
    CHECK(bytes.find("provenAgoMs") == std::string::npos && bytes.find("heldMs") == std::string::npos);
    CHECK_FALSE(decodeReplicaAnswer(bytes)->provenAgo.has_value());
}

TEST(replica_messages, rejectsMalformedAnswers)
{
    const auto valid = encodeReplicaAnswer({ true, true, {}, {}, { 9, false, { { "k", "v", 8 } }, {} } });
    CHECK(decodeReplicaAnswer(valid).has_value());
    for (std::size_t size = 0; size < valid.size(); ++size)
        CHECK_FALSE(decodeReplicaAnswer(valid.substr(0, size)).has_value());
    CHECK_FALSE(decodeReplicaAnswer("\xa0").has_value());
    CHECK_FALSE(decodeReplicaAnswer("\x01").has_value());
}
