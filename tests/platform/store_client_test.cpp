#include "platform/store_client.h"
#include "transport/http_server.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <deque>
#include <memory>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

constexpr std::chrono::seconds longestRun { 20 };

/// What the scripted store answers next.
struct scripted_answer {
    int status = 200;
    std::string body;
    bool isDropped = false;
};

const char* const firstPage = R"({"items":[{"key":"op/config","value":"e30=","rev":3,"created":1,"lease":0}],
    "hasMore":true,"storeRevision":10})";
const char* const lastPage = R"({"items":[{"key":"servers/i-1","value":"YWI=","rev":4,"created":2,"lease":7}],
    "hasMore":false,"storeRevision":12})";
const char* const wholeListing
    = R"({"items":[{"key":"op/config","value":"YQ==","rev":20,"created":1,"lease":0}],
    "hasMore":false,"storeRevision":30})";
const char* const noEvents = R"({"events":[],"storeRevision":12})";

} // namespace

TEST_GROUP(store_client)
{
    boost::asio::io_context io;
    std::deque<scripted_answer> script;
    std::vector<std::string> asked;
    std::shared_ptr<incoming_call> waiting; ///< A watch that the script lets wait.
    http_server store { io, fuchsiagauge::clock::makeBoot(), 10,
        [this](const std::shared_ptr<incoming_call>& call) { serve(call); } };
    std::unique_ptr<store_client> client;
    std::vector<std::vector<stored_item>> listings;
    std::vector<stored_item> items;
    std::vector<std::string> removals;
    std::vector<std::string> losses;
    int regained = 0;
    milliseconds gatherTime { 1 };

    void serve(const std::shared_ptr<incoming_call>& call)
    {
        asked.push_back(call->getRequest().target);
        if (script.empty()) {
            waiting = call;
            return;
        }
        const auto next = script.front();
        script.pop_front();
        if (next.isDropped) {
            call->drop();
            return;
        }
        response_head head;
        head.status = next.status;
        call->respond(head, next.body);
    }

    void start(std::deque<scripted_answer> answers)
    {
        script = std::move(answers);
        store_client::options options;
        options.store = *store.open({ "127.0.0.1", 0 });
        options.prefix = "";
        options.firstRetryDelay = milliseconds(1);
        options.longestRetryDelay = milliseconds(2);
        options.gatherTime = gatherTime;
        options.shortGatherTime = milliseconds(1);
        client = std::make_unique<store_client>(io, fuchsiagauge::clock::makeBoot(), options,
            store_client::hooks { [] { return 0.5; },
                [this](std::vector<stored_item> listed) { listings.push_back(std::move(listed)); },
                [this](const stored_item& item) { items.push_back(item); },
                [this](const std::string& key) { removals.push_back(key); }, [] {},
                [this](const std::string& why) { losses.push_back(why); }, [this] { ++regained; } });
        client->start();
    }

    void teardown() override
    {
        client.reset();
        waiting.reset();
        store.close();
        io.poll();
    }

    void runUntil(const std::function<bool()>& isMet)
    {
        const auto end = std::chrono::steady_clock::now() + longestRun;
        while (!isMet() && std::chrono::steady_clock::now() < end)
            io.run_one_for(std::chrono::milliseconds(50));
        CHECK(isMet());
    }

    /// Runs until the script is over and a watch waits.
    void runScript()
    {
        runUntil([this] { return waiting != nullptr; });
    }
};

TEST(store_client, readsAllPagesAndWatchesFromTheFirstOnesRevision)
{
    start({ { 200, firstPage }, { 200, lastPage } });
    runScript();
    CHECK_EQUAL(1U, listings.size());
    CHECK_EQUAL(2U, listings[0].size());
    STRCMP_EQUAL("{}", listings[0][0].value.c_str());
    STRCMP_EQUAL("ab", listings[0][1].value.c_str());
    CHECK_EQUAL(4U, listings[0][1].revision);
    CHECK(asked[1].find("after=op/config") != std::string::npos);
    CHECK(asked[2].find("/kv-watch?prefix=&after=10&") == 0);
}

TEST(store_client, followsChangesFromTheRevisionThatItKnows)
{
    start({ { 200, lastPage },
        { 200, R"({"events":[{"key":"servers/i-2","value":"eA==","rev":13,"created":13,"lease":1},
            {"key":"servers/i-1","rev":14,"deleted":true}],"storeRevision":14})" } });
    runScript();
    CHECK_EQUAL(1U, items.size());
    STRCMP_EQUAL("servers/i-1", removals.at(0).c_str());
    CHECK(asked.back().find("after=14&") != std::string::npos);
}

TEST(store_client, doesNotGatherChangesOnceWhatIsKnownHasProvedStale)
{
    gatherTime = milliseconds(1e7);
    start({ { 200, lastPage },
        { 200,
            R"({"events":[{"key":"servers/i-2","value":"eA==","rev":13,"created":13,"lease":1}],
            "storeRevision":13})" } });
    runUntil([this] { return items.size() == 1; });
    CHECK(waiting == nullptr);
    client->hurry();
    runScript();
    CHECK(asked.back().find("after=13&") != std::string::npos);
}

TEST(store_client, anEventThatCantBeReadNamesNothingToUse)
{
    start({ { 200, lastPage },
        { 200,
            R"({"events":[{"key":"servers/i-1","value":"*","rev":13},7,{"rev":3}],"storeRevision":14})" } });
    runScript();
    CHECK(items.empty());
    CHECK_EQUAL(1U, removals.size());
}

TEST(store_client, listsAnewWhenTheHistoryIsGone)
{
    start({ { 200, lastPage }, { 410, "{}" }, { 200, wholeListing } });
    runScript();
    CHECK_EQUAL(2U, listings.size());
    CHECK(asked.back().find("after=30&") != std::string::npos);
}

TEST(store_client, goesOnFromTheSameRevisionAfterEachKindOfFailure)
{
    const std::vector<scripted_answer> failures { { 503, "" }, { 429, "{}" }, { 500, "x" }, { 200, "[]" },
        { 200, "{\"events\":[" }, { 200, "{\"storeRevision\":12}" }, { 200, "", true } };
    std::deque<scripted_answer> answers { { 200, lastPage } };
    for (const auto& failure : failures) {
        answers.push_back(failure);
        answers.push_back({ 200, noEvents });
    }
    start(answers);
    runScript();
    CHECK_EQUAL(failures.size(), losses.size());
    CHECK_EQUAL(1U, listings.size());
    CHECK(asked.back().find("after=12&") != std::string::npos);
    // The broken body without events is an answer of the store; it ends the loss before it.
    CHECK(regained >= static_cast<int>(failures.size()) - 1);
}

TEST(store_client, tellsALossOnceHoweverLongItLasts)
{
    start({ { 200, lastPage }, { 503, "" }, { 503, "" }, { 503, "" }, { 200, noEvents } });
    runScript();
    CHECK_EQUAL(1U, losses.size());
    LONGS_EQUAL(1, regained);
}

TEST(store_client, startsAListingAnewWhenAPageFails)
{
    start({ { 200, firstPage }, { 503, "" }, { 200, wholeListing } });
    runScript();
    CHECK_EQUAL(1U, listings.size());
    CHECK_EQUAL(1U, listings[0].size());
}
