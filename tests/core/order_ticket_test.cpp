#include "core/order_ticket.h"

#include "core/error.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

const fleet_keys keys({ "secret" });

order_ticket makeTicket()
{
    order_ticket ticket;
    ticket.instance = "orders-zapad-a-1";
    ticket.startNumber = 42;
    ticket.processNonce = 0x0123456789abcdefULL;
    ticket.sequence = 7;
    ticket.mintTime = milliseconds(12345);
    ticket.service = "orders";
    ticket.className = "order";
    return ticket;
}

} // namespace

TEST_GROUP(order_ticket) {};

TEST(order_ticket, roundTripsThroughText)
{
    const auto text = formatOrderTicket(makeTicket(), keys);
    CHECK(parseOrderTicket(text, keys) == makeTicket());
    CHECK(text.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~")
        == std::string::npos);
    auto longest = makeTicket();
    longest.instance = longest.service = longest.className = std::string(64, 'x');
    longest.startNumber = longest.sequence = longest.processNonce = UINT64_MAX;
    longest.mintTime = milliseconds(static_cast<double>(1LL << 52));
    CHECK(formatOrderTicket(longest, keys).size() <= maxTicketBytes);
    CHECK(parseOrderTicket(formatOrderTicket(longest, keys), keys) == longest);
}

TEST(order_ticket, rejectsTicketsThatTheFleetDidNotIssue)
{
    const auto text = formatOrderTicket(makeTicket(), keys);
    auto badName = makeTicket();
    badName.service = "two words";
    auto noSequence = makeTicket();
    noSequence.sequence = 0;
    const std::string cases[] = { "", "~", "t1", text + "~", text.substr(1), std::string(100000, '~'),
        "t1~a~1~0~1~1~s~c~" + std::string(32, '0'), formatOrderTicket(makeTicket(), fleet_keys({ "other" })),
        formatOrderTicket(badName, keys), formatOrderTicket(noSequence, keys) };
    for (const auto& bad : cases) {
        CHECK(!parseOrderTicket(bad, keys));
        CHECK(getLastError().kind == error_kind::BadTicket);
    }
}

TEST(order_ticket, rejectsEveryChangeOfOneByte)
{
    CHECK(rc::check("one changed byte", [] {
        auto text = formatOrderTicket(makeTicket(), keys);
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto byte = *rc::gen::arbitrary<char>();
        RC_PRE(text[at] != byte);
        text[at] = byte;
        RC_ASSERT(!parseOrderTicket(text, keys));
    }));
}

TEST(order_ticket, digestDiffersBetweenRequests)
{
    const auto digest = computeRequestDigest("POST", "/orders", "badge");
    CHECK(digest == computeRequestDigest("POST", "/orders", "badge"));
    CHECK(digest != computeRequestDigest("PUT", "/orders", "badge"));
    CHECK(digest != computeRequestDigest("POST", "/order", "sbadge"));
    CHECK(digest != computeRequestDigest("POST", "/orders", "badges"));
}
