#include "policy/membership.h"

#include <functional>
#include <optional>
#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

constexpr milliseconds start { 1000 };
constexpr milliseconds hour { 3600000 };

instance_announcement makeFact(
    const std::string& id, std::uint64_t startNumber, std::uint64_t sequence, bool isLeaving)
{
    instance_announcement fact;
    fact.instance = id;
    fact.service = "orders";
    fact.region = "west";
    fact.zone = "w1";
    fact.meshAddress = "10.0.0.1:" + id;
    fact.peerAddress = "10.0.0.2:" + id;
    fact.startNumber = startNumber;
    fact.sequence = sequence;
    fact.isLeaving = isLeaving;
    return fact;
}

vm_list makeList(const std::string& id, bool isLeaving)
{
    vm_list list;
    list.vms[id] = { id, "orders", "west", "w1", "10.0.0.1:" + id, "10.0.0.2:" + id, isLeaving };
    return list;
}

/// A sequence of events, and the state of instance `a` that the view must show after it.
struct precedence_case {
    const char* name;
    std::function<void(membership&)> apply;
    milliseconds viewTime; ///< When the view is taken.
    std::optional<instance_state> state; ///< Nothing if `a` must not be in the view.
    std::uint64_t startNumber;
};

const std::vector<precedence_case>& getCases()
{
    static const std::vector<precedence_case> cases {
        { "listed only", [](membership& m) { m.setVmList(makeList("a", false), start); }, start,
            instance_state::Live, 0 },
        { "listed as leaving, no fact known", [](membership& m) { m.setVmList(makeList("a", true), start); },
            start, instance_state::Leaving, 0 },
        { "a fact with live takes precedence over a list with leaving",
            [](membership& m) {
                m.mergeFact(makeFact("a", 2, 1, false), start);
                m.setVmList(makeList("a", true), start);
            },
            start, instance_state::Live, 2 },
        { "a fact with leaving takes precedence over a list that lags by 60 s",
            [](membership& m) {
                m.mergeFact(makeFact("a", 1, 2, true), start);
                m.setVmList(makeList("a", false), start + milliseconds(60000));
            },
            start + milliseconds(60000), instance_state::Leaving, 1 },
        { "a fact with leaving holds while a stale list contains the instance for hours",
            [](membership& m) {
                m.mergeFact(makeFact("a", 1, 2, true), start);
                m.setVmList(makeList("a", false), start);
                m.expire(start + hour * 5);
            },
            start + hour * 5, instance_state::Leaving, 1 },
        { "a restart ends leaving",
            [](membership& m) {
                m.mergeFact(makeFact("a", 1, 2, true), start);
                m.mergeFact(makeFact("a", 2, 1, false), start);
            },
            start, instance_state::Live, 2 },
        { "a fact with an older start number, from a resumed node, is ignored",
            [](membership& m) {
                m.mergeFact(makeFact("a", 2, 1, false), start);
                m.mergeFact(makeFact("a", 1, 9, true), start);
            },
            start, instance_state::Live, 2 },
        { "a lower start number on a call is ignored",
            [](membership& m) {
                m.mergeFact(makeFact("a", 2, 1, false), start);
                m.recordInstanceState("a", 1, true, start);
            },
            start, instance_state::Live, 2 },
        { "leaving stated on a call is merged",
            [](membership& m) {
                m.mergeFact(makeFact("a", 2, 1, false), start);
                m.recordInstanceState("a", 2, true, start);
            },
            start, instance_state::Leaving, 2 },
        { "a restart stated on a call is merged",
            [](membership& m) {
                m.mergeFact(makeFact("a", 2, 5, true), start);
                m.recordInstanceState("a", 3, false, start);
            },
            start, instance_state::Live, 3 },
        { "missing from a stale list but recently seen",
            [](membership& m) {
                m.setVmList(makeList("b", false), start);
                m.mergeFact(makeFact("a", 1, 1, false), start + hour * 3);
                m.setVmList(makeList("b", false), start + hour * 3 + milliseconds(1000));
            },
            start + hour * 3 + milliseconds(1000), instance_state::Live, 1 },
        { "missing from a newer list and not recently seen",
            [](membership& m) {
                m.mergeFact(makeFact("a", 1, 1, false), start);
                m.setVmList(makeList("b", false), start + milliseconds(800000));
            },
            start + milliseconds(800000), std::nullopt, 0 },
        { "unlisted and not seen for an hour while the list is not updated: kept",
            [](membership& m) {
                m.setVmList(makeList("b", false), start);
                m.mergeFact(makeFact("a", 1, 1, false), start);
                m.expire(start + hour);
            },
            start + hour, instance_state::Live, 1 },
        { "unlisted and not seen for three hours: removed",
            [](membership& m) {
                m.mergeFact(makeFact("a", 1, 1, false), start);
                m.expire(start + hour * 3);
            },
            start + hour * 3, std::nullopt, 0 },
        { "replaced by another instance on its address",
            [](membership& m) {
                m.mergeFact(makeFact("a", 1, 1, false), start);
                auto replacement = makeFact("b", 1, 1, false);
                replacement.meshAddress = "10.0.0.1:a";
                m.mergeFact(replacement, start + milliseconds(1000));
            },
            start + milliseconds(1000), instance_state::Gone, 1 },
        { "a relayed fact that is too old is ignored",
            [](membership& m) {
                auto fact = makeFact("a", 1, 1, false);
                fact.age = hour * 3;
                m.mergeFact(fact, start);
            },
            start, std::nullopt, 0 },
    };
    return cases;
}

membership makeMembership() { return membership({}, makeFact("self", 5, 1, false), start); }

} // namespace

TEST_GROUP(membership_view) {};

TEST(membership_view, followsThePrecedenceTable)
{
    for (const auto& row : getCases()) {
        auto members = makeMembership();
        row.apply(members);
        const auto view = members.getView(row.viewTime);
        const auto found = view.instances.find("a");
        CHECK_EQUAL_TEXT(row.state.has_value(), found != view.instances.end(), row.name);
        if (!row.state)
            continue;
        CHECK_TEXT(found->second.state == *row.state, row.name);
        CHECK_EQUAL_TEXT(row.startNumber, found->second.startNumber, row.name);
    }
}

TEST(membership_view, ignoresStatementsOfOthersAboutThisNode)
{
    auto members = makeMembership();
    members.mergeFact(makeFact("self", 5, 9, true), start);
    members.recordInstanceState("self", 5, true, start);
    members.setVmList(makeList("self", true), start);
    CHECK(members.getView(start).instances.at("self").state == instance_state::Live);
    CHECK(!members.isSuperseded());
    members.mergeFact(makeFact("self", 6, 1, false), start);
    CHECK(members.isSuperseded());
}

TEST(membership_view, evictsInstancesAboveTheLimit)
{
    membership::options config;
    config.maxInstances = 50;
    membership members(config, makeFact("self", 5, 1, false), start);
    for (int i = 0; i < 500; ++i)
        members.mergeFact(makeFact(std::to_string(i), 1, 1, false), start + milliseconds(i));
    members.expire(start + milliseconds(500));
    const auto view = members.getView(start + milliseconds(500));
    CHECK_EQUAL(50U, view.instances.size());
    CHECK(view.instances.count("self") != 0);
    CHECK(view.instances.count("499") != 0);
}

TEST(membership_view, mergesToTheSameViewInAnyOrder)
{
    const bool hasPassed = rc::check("facts merged in any order give the same view", [] {
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(1, 4), rc::gen::inRange(1, 5)));
        auto forward = makeMembership();
        auto backward = makeMembership();
        const auto fact = [](const std::pair<int, int>& step) {
            return makeFact("a", static_cast<std::uint64_t>(step.first),
                static_cast<std::uint64_t>(step.second), step.second % 2 == 0);
        };
        for (const auto& step : steps)
            forward.mergeFact(fact(step), start);
        for (auto step = steps.rbegin(); step != steps.rend(); ++step)
            backward.mergeFact(fact(*step), start);
        RC_ASSERT(forward.getView(start) == backward.getView(start));
        RC_ASSERT(forward.getBucketDigests(start) == backward.getBucketDigests(start));
    });
    CHECK(hasPassed);
}
