#include "policy/ticket_registry.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

constexpr std::uint64_t digest = 11;
constexpr std::uint64_t otherDigest = 12;
constexpr milliseconds start { 1000 };

ticket_registry makeRegistry(
    ticket_registry_limits limits = {}, std::uint64_t startNumber = 1, double random = 0.5)
{
    return ticket_registry(
        "orders-1", startNumber, [random] { return random; }, limits);
}

order_ticket mint(ticket_registry& registry, milliseconds now = start)
{
    return registry.mint(now, "orders", "order").value();
}

order_response makeResponse(const std::string& body = "done") { return { 201, { { "x", "y" } }, body }; }

const ticket_registry_limits smallLimits { milliseconds(100), milliseconds(200), 2, 400, 1 };

} // namespace

TEST_GROUP(ticket_registry) {};

TEST(ticket_registry, runsATicketOnce)
{
    auto registry = makeRegistry();
    const auto ticket = mint(registry);
    CHECK(registry.query(start, ticket) == ticket_state::Unused);
    CHECK(registry.submit(start, ticket, digest).verdict == ticket_verdict::Run);
    CHECK(registry.query(start, ticket) == ticket_state::Running);
    CHECK(registry.submit(start, ticket, digest).verdict == ticket_verdict::InProgress);
    CHECK(registry.voidTicket(start, ticket).verdict == ticket_verdict::InProgress);
    registry.finish(start, ticket, makeResponse());
    const auto resubmission = registry.submit(start, ticket, digest);
    CHECK(resubmission.verdict == ticket_verdict::AnswerKept);
    CHECK(*resubmission.response == makeResponse());
    CHECK(registry.query(start, ticket) == ticket_state::Answered);
    CHECK(registry.getRunningCount() == 0);
}

TEST(ticket_registry, neverRunsWhatItReportedAsNotRun)
{
    auto registry = makeRegistry();
    const auto refused = mint(registry);
    registry.submit(start, refused, digest);
    registry.refuse(start, refused);
    const auto voided = mint(registry);
    CHECK(registry.voidTicket(start, voided).verdict == ticket_verdict::TicketExpired);
    const auto expired = mint(registry);
    const auto later = start + ticket_registry_limits {}.ticketLifetime;
    CHECK(registry.submit(later, expired, digest).verdict == ticket_verdict::TicketExpired);
    for (const auto& ticket : { refused, voided, expired }) {
        CHECK(registry.submit(start, ticket, digest).verdict == ticket_verdict::TicketExpired);
        CHECK(registry.query(start, ticket) == ticket_state::Expired);
    }
}

TEST(ticket_registry, neverRunsAgainAfterALostResponse)
{
    auto registry = makeRegistry();
    const auto ticket = mint(registry);
    registry.submit(start, ticket, digest);
    registry.markUnknown(start, ticket);
    registry.refuse(start, ticket);
    CHECK(registry.submit(start, ticket, digest).verdict == ticket_verdict::TicketOutcomeUnknown);
    CHECK(registry.voidTicket(start, ticket).verdict == ticket_verdict::TicketOutcomeUnknown);
    registry.finish(start, ticket, makeResponse());
    CHECK(registry.submit(start, ticket, digest).verdict == ticket_verdict::AnswerKept);
}

TEST(ticket_registry, refusesAnotherRequestWithTheSameTicket)
{
    auto registry = makeRegistry();
    const auto ticket = mint(registry);
    registry.submit(start, ticket, digest);
    CHECK(registry.submit(start, ticket, otherDigest).verdict == ticket_verdict::TicketMismatch);
    registry.finish(start, ticket, makeResponse());
    CHECK(registry.submit(start, ticket, otherDigest).verdict == ticket_verdict::TicketMismatch);
}

TEST(ticket_registry, knowsNothingOfAnotherProcess)
{
    auto registry = makeRegistry();
    const auto ticket = mint(registry);
    auto restarted = makeRegistry({}, 2);
    auto sameStartNumber = makeRegistry({}, 1, 0.25);
    mint(restarted);
    mint(sameStartNumber);
    for (auto* other : { &restarted, &sameStartNumber }) {
        CHECK(other->submit(start, ticket, digest).verdict == ticket_verdict::TicketOwnerGone);
        CHECK(other->voidTicket(start, ticket).verdict == ticket_verdict::TicketOwnerGone);
        CHECK(other->query(start, ticket) == ticket_state::Unknown);
        CHECK(!other->addWaiter(ticket, nullptr));
        other->finish(start, ticket, makeResponse());
        CHECK(other->getResponseBytes() == 0);
    }
}

TEST(ticket_registry, dropsOldResponsesAndReportsThemAsDropped)
{
    auto registry = makeRegistry(smallLimits);
    const auto first = mint(registry);
    const auto second = mint(registry);
    for (const auto& ticket : { first, second }) {
        registry.submit(start, ticket, digest);
        registry.finish(start, ticket, makeResponse(std::string(100, 'x')));
    }
    CHECK(registry.getResponseBytes() <= smallLimits.maxResponseBytes);
    CHECK(registry.submit(start, first, digest).verdict == ticket_verdict::AnswerDropped);
    CHECK(registry.submit(start, second, digest).verdict == ticket_verdict::AnswerKept);
    CHECK(registry.submit(start + smallLimits.responseLifetime, second, digest).verdict
        == ticket_verdict::AnswerDropped);
    CHECK(registry.getResponseBytes() == 0);
}

TEST(ticket_registry, reportsAResponseTooLargeToStoreAsDropped)
{
    auto registry = makeRegistry(smallLimits);
    const auto ticket = mint(registry);
    registry.submit(start, ticket, digest);
    registry.finish(start, ticket, makeResponse(std::string(1000, 'x')));
    CHECK(registry.submit(start, ticket, digest).verdict == ticket_verdict::AnswerDropped);
}

TEST(ticket_registry, forgetsOnlyTicketsThatCanNoLongerRun)
{
    auto registry = makeRegistry(smallLimits);
    const auto first = mint(registry);
    mint(registry);
    CHECK(!registry.mint(start, "orders", "order"));
    CHECK(getLastError().kind == error_kind::Shed);
    const auto later = start + smallLimits.ticketLifetime;
    mint(registry, later);
    CHECK(registry.getTicketCount() == smallLimits.maxTickets);
    CHECK(registry.submit(later, first, digest).verdict == ticket_verdict::TicketOutcomeUnknown);
    CHECK(registry.query(later, first) == ticket_state::Unknown);
}

TEST(ticket_registry, notifiesWaitersOnce)
{
    struct {
        const char* name;
        std::function<void(ticket_registry&, const order_ticket&)> end;
        ticket_verdict expected;
    } const rows[] = {
        { "finish",
            [](auto& registry, const auto& ticket) { registry.finish(start, ticket, makeResponse()); },
            ticket_verdict::AnswerKept },
        { "refuse", [](auto& registry, const auto& ticket) { registry.refuse(start, ticket); },
            ticket_verdict::TicketExpired },
        { "markUnknown", [](auto& registry, const auto& ticket) { registry.markUnknown(start, ticket); },
            ticket_verdict::TicketOutcomeUnknown },
    };
    for (const auto& row : rows) {
        auto registry = makeRegistry(smallLimits);
        const auto ticket = mint(registry);
        std::vector<ticket_verdict> verdicts;
        const auto recordVerdict
            = [&verdicts](const ticket_result& result) { verdicts.push_back(result.verdict); };
        CHECK_FALSE_TEXT(registry.addWaiter(ticket, recordVerdict).has_value(), row.name);
        registry.submit(start, ticket, digest);
        const auto removed = registry.addWaiter(ticket, recordVerdict);
        CHECK_FALSE_TEXT(registry.addWaiter(ticket, recordVerdict).has_value(), row.name);
        registry.removeWaiter(ticket, removed.value());
        CHECK_TRUE_TEXT(registry.addWaiter(ticket, recordVerdict).has_value(), row.name);
        row.end(registry, ticket);
        row.end(registry, ticket);
        CHECK_TRUE_TEXT(verdicts == std::vector<ticket_verdict> { row.expected }, row.name);
    }
}

TEST(ticket_registry, mapsEachVerdictToItsErrorKind)
{
    CHECK(!getErrorKind(ticket_verdict::Run));
    CHECK(!getErrorKind(ticket_verdict::AnswerKept));
    CHECK(getErrorKind(ticket_verdict::InProgress) == error_kind::TicketInProgress);
    CHECK(getErrorKind(ticket_verdict::AnswerDropped) == error_kind::AnswerDropped);
    CHECK(getErrorKind(ticket_verdict::TicketExpired) == error_kind::TicketExpired);
    CHECK(getErrorKind(ticket_verdict::TicketMismatch) == error_kind::TicketMismatch);
    CHECK(getErrorKind(ticket_verdict::TicketOutcomeUnknown) == error_kind::TicketOutcomeUnknown);
    CHECK(getErrorKind(ticket_verdict::TicketOwnerGone) == error_kind::TicketOwnerGone);
}
