#include "policy/peer_message.h"

#include "core/digest.h"
#include "core/error.h"

#include <random>
#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

std::vector<peer_message> makeMessages()
{
    instance_announcement announcement;
    announcement.instance = "orders-1";
    announcement.startNumber = 1700000000000000;
    announcement.sequence = 3;
    announcement.isLeaving = true;
    announcement.linkDemandBytesPerSecond = 2048;
    announcement.age = milliseconds(150);
    const announcement_refresh refresh { 0xffffffffffffffffU, 7, 8, false, 0, milliseconds(20) };
    return {
        peer_challenge { "nonce" },
        peer_hello { "orders-1", 7, "nonce", "signature" },
        peer_heartbeat { { 9, "digest" }, { 3, "" }, 12345, { "orders-2", true, milliseconds(10) } },
        peer_announcements { { announcement, announcement }, { refresh } },
        peer_announcement_digests { { 0, 1, 0xffffffffffffffffU }, true },
        document_request { document_kind::VmList, { 1, 2, 3 } },
        document_response { document_kind::Presets, { 4, "digest" }, { { "text", 0 }, { "", 77 } } },
    };
}

} // namespace

TEST_GROUP(peer_message_codec) {};

TEST(peer_message_codec, roundTripsEveryMessageType)
{
    for (const auto& message : makeMessages()) {
        const auto decoded = decodePeerMessage(encodePeerMessage(message));
        CHECK(decoded.has_value());
        CHECK(*decoded == message);
    }
}

TEST(peer_message_codec, refusesTruncatedMessagesAndTrailingBytes)
{
    for (const auto& message : makeMessages()) {
        const auto bytes = encodePeerMessage(message);
        for (std::size_t length = 0; length < bytes.size(); ++length)
            CHECK(!decodePeerMessage(bytes.substr(0, length)));
        CHECK(!decodePeerMessage(bytes + '\0'));
        CHECK(getLastError().kind == error_kind::BadPeerMessage);
    }
}

TEST(peer_message_codec, decodesCorruptedAndRandomBytesWithoutCrashing)
{
    std::mt19937 random(1);
    const auto messages = makeMessages();
    for (int i = 0; i < 20000; ++i) {
        auto bytes = encodePeerMessage(messages[random() % messages.size()]);
        for (unsigned changes = random() % 4; changes > 0; --changes)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        decodePeerMessage(bytes);
        for (auto& byte : bytes)
            byte = static_cast<char>(random());
        decodePeerMessage(bytes);
    }
}

TEST(peer_message_codec, refusesDeepAndLongMessages)
{
    CHECK(!decodePeerMessage(std::string(1000000, '\x81')));
    CHECK(!decodePeerMessage(std::string(1000000, '\x9f')));
    CHECK(!decodePeerMessage("\x9a" + std::string("\x00\x0f\x42\x40", 4) + std::string(1000000, '\x01')));
    CHECK(!decodePeerMessage(std::string(maxPeerMessageBytes + 1, '\x01')));
}

TEST_GROUP(document_delta_text) {};

TEST(document_delta_text, rebuildsAnyText)
{
    const bool hasPassed = rc::check("a delta rebuilds the text", [] {
        const auto base = *rc::gen::arbitrary<std::string>();
        const auto text = *rc::gen::oneOf(rc::gen::arbitrary<std::string>(), rc::gen::just(base + base));
        const auto rebuilt = applyDelta(base, makeDelta(text, hashChunks(base)), 1 << 20);
        RC_ASSERT(rebuilt == text);
    });
    CHECK(hasPassed);
}

TEST(document_delta_text, sendsASmallDeltaForAnEdit)
{
    constexpr std::size_t maxExchangeBytes = 40000;
    std::mt19937 random(3);
    std::string base;
    while (base.size() < 1000000)
        base += "key " + std::to_string(random()) + '\n';
    for (int i = 0; i < 20; ++i) {
        auto text = base;
        text.insert(random() % text.size(), "an edit");
        const auto request = encodePeerMessage(document_request { document_kind::Presets, hashChunks(base) });
        const auto steps = makeDelta(text, hashChunks(base));
        CHECK(applyDelta(base, steps, 2000000) == text);
        const auto response
            = encodePeerMessage(document_response { document_kind::Presets, { 1, "" }, steps });
        CHECK(request.size() + response.size() < maxExchangeBytes);
    }
}

TEST(document_delta_text, refusesUnknownChunksAndLargeTexts)
{
    CHECK(!applyDelta("base", { { "", 42 } }, 100));
    CHECK(!applyDelta("base", { { "four", 0 }, { "five", 0 } }, 7));
}
