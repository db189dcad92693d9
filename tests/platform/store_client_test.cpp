#include "platform/store_client.h"
#include "transport/http_server.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <deque>
#include <memory>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

constexpr std::chrono::seconds runTimeout { 20 };

/// A response of the scripted store.
struct scripted_response {
    int status = 200;
    std::string body;
    bool isConnectionDropped = false; ///< The store closes the connection instead of responding.
    std::string epoch {}; ///< Epoch that the store states; empty: none.
};

const char* const firstPage = R"({"items":[{"key":"op/config","value":"e30=","rev":3,"created":1,"lease":0}],
    "hasMore":true,"storeRevision":10})";
const char* const lastPage = R"({"items":[{"key":"servers/i-1","value":"YWI=","rev":4,"created":2,"lease":7}],
    "hasMore":false,"storeRevision":12})";
const char* const singlePage
    = R"({"items":[{"key":"op/config","value":"YQ==","rev":20,"created":1,"lease":0}],
    "hasMore":false,"storeRevision":30})";
const char* const noEvents = R"({"events":[],"storeRevision":12})";

} // namespace

TEST_GROUP(store_client)
{
    boost::asio::io_context io;
    std::deque<scripted_response> script;
    std::vector<std::string> requestTargets;
    /// The request received after the end of the script; left without a response.
    std::shared_ptr<incoming_call> pendingWatch;
    http_server store { io, fuchsiagauge::clock::makeBoot(), 10,
        [this](const std::shared_ptr<incoming_call>& call) { serve(call); } };
    std::unique_ptr<store_client> client;
    int probeStatus = 404; ///< Status of the response to probes; 0: none.
    std::string probeBody = "{}";
    std::string probeEpoch; ///< Epoch that the responses to probes state; empty: none.
    std::vector<std::uint64_t> epochs; ///< Of each listing and each set of changes.
    int probeCount = 0;
    int relistCount = 0; ///< How often the client is told to list again.
    std::vector<std::shared_ptr<incoming_call>> unansweredProbes;
    std::vector<std::vector<stored_item>> listings;
    std::vector<stored_item> items;
    std::vector<std::string> removedKeys;
    std::vector<std::string> unreachableReasons;
    int reachableCount = 0;
    std::vector<milliseconds> confirmations; ///< How long ago each confirmed time was.
    int missedChangeCount = 0; ///< Watches that were replaced because they did not report a change.
    milliseconds batchDelay { 1 };
    milliseconds probeInterval { 1e7 };
    milliseconds probeTimeout { 2 };
    milliseconds firstRetryDelay { 1 };
    milliseconds maxRetryDelay { 2 };
    bool isProving = false; ///< The client is asked for reads of the store itself.
    milliseconds proofInterval { 1 };
    std::vector<platform_read> reads;
    std::vector<std::string> probeTargets;
    milliseconds clockOffset; ///< Added to the client's clock.

    void serveProbe(const std::shared_ptr<incoming_call>& call)
    {
        ++probeCount;
        probeTargets.push_back(call->getRequest().target);
        response_head head;
        head.status = probeStatus;
        if (!probeEpoch.empty())
            head.fields.add("Store-Era", probeEpoch);
        if (probeStatus == 0)
            unansweredProbes.push_back(call);
        else
            call->respond(head, probeBody);
    }

    void serve(const std::shared_ptr<incoming_call>& call)
    {
        if (call->getRequest().getPath() == "/kv-key") {
            serveProbe(call);
            return;
        }
        requestTargets.push_back(call->getRequest().target);
        if (script.empty()) {
            pendingWatch = call;
            return;
        }
        const auto next = script.front();
        script.pop_front();
        if (next.isConnectionDropped) {
            call->drop();
            return;
        }
        response_head head;
        head.status = next.status;
        if (!next.epoch.empty())
            head.fields.add("Store-Era", next.epoch);
        call->respond(head, next.body);
    }

    void record(const item_changes& changes)
    {
        epochs.push_back(changes.epoch);
        if (changes.isComplete) {
            listings.push_back(changes.items);
            return;
        }
        items.insert(items.end(), changes.items.begin(), changes.items.end());
        for (const auto& removal : changes.removed)
            removedKeys.push_back(removal.key);
    }

    void start(std::deque<scripted_response> responses)
    {
        script = std::move(responses);
        store_client::options options;
        options.store = *store.open({ "127.0.0.1", 0 });
        options.prefix = "";
        options.firstRetryDelay = firstRetryDelay;
        options.maxRetryDelay = maxRetryDelay;
        options.batchDelay = batchDelay;
        options.shortBatchDelay = milliseconds(1);
        options.relistDelay = milliseconds(1);
        options.probeInterval = probeInterval;
        options.probeTimeout = probeTimeout;
        // Watches that the script leaves without a response stay open.
        options.responseMargin = milliseconds(1e7);
        const fuchsiagauge::clock time(
            [this, boot = fuchsiagauge::clock::makeBoot()] { return boot.now() + clockOffset; });
        std::function<milliseconds(const platform_read&)> onRead = [this](const platform_read& read) {
            reads.push_back(read);
            return read.sentAt + proofInterval;
        };
        client = std::make_unique<store_client>(io, time, options,
            store_client::hooks { [] { return 0.5; },
                [this](const item_changes& changes) { record(changes); },
                [this] { return relistCount-- > 0; }, [] {},
                [this](const std::string& reason) { unreachableReasons.push_back(reason); },
                [this] { ++reachableCount; }, [this](std::uint64_t, std::uint64_t) { ++missedChangeCount; },
                [this](milliseconds ago) { confirmations.push_back(ago); }, isProving ? onRead : nullptr });
        client->start();
    }

    void teardown() override
    {
        client.reset();
        pendingWatch.reset();
        unansweredProbes.clear();
        store.close();
        io.poll();
    }

    void runUntil(const std::function<bool()>& isMet)
    {
        const auto end = std::chrono::steady_clock::now() + runTimeout;
        while (!isMet() && std::chrono::steady_clock::now() < end)
            io.run_one_for(std::chrono::milliseconds(50));
        CHECK(isMet());
    }

    /// Runs until all scripted responses are sent and the next request, a watch, is pending.
    void runUntilWatchIsPending()
    {
        runUntil([this] { return pendingWatch != nullptr; });
    }
};

TEST(store_client, listsAllPagesAndWatchesFromRevisionOfFirstPage)
{
    start({ { 200, firstPage }, { 200, lastPage } });
    runUntilWatchIsPending();
    CHECK_EQUAL(1U, listings.size());
    CHECK_EQUAL(2U, listings[0].size());
    STRCMP_EQUAL("{}", listings[0][0].value.c_str());
    STRCMP_EQUAL("ab", listings[0][1].value.c_str());
    CHECK_EQUAL(4U, listings[0][1].revision);
    CHECK(requestTargets[1].find("after=op/config") != std::string::npos);
    CHECK(requestTargets[2].find("/kv-watch?prefix=&after=10&") == 0);
}

TEST(store_client, watchesFromLastKnownRevision)
{
    start({ { 200, lastPage },
        { 200, R"({"events":[{"key":"servers/i-2","value":"eA==","rev":13,"created":13,"lease":1},
            {"key":"servers/i-1","rev":14,"deleted":true}],"storeRevision":14})" } });
    runUntilWatchIsPending();
    CHECK_EQUAL(1U, items.size());
    STRCMP_EQUAL("servers/i-1", removedKeys.at(0).c_str());
    CHECK(requestTargets.back().find("after=14&") != std::string::npos);
}

TEST(store_client, shortensBatchDelayOnRequest)
{
    batchDelay = milliseconds(1e7);
    start({ { 200, lastPage },
        { 200,
            R"({"events":[{"key":"servers/i-2","value":"eA==","rev":13,"created":13,"lease":1}],
            "storeRevision":13})" } });
    runUntil([this] { return items.size() == 1; });
    CHECK(pendingWatch == nullptr);
    client->shortenBatchDelay();
    runUntilWatchIsPending();
    CHECK(requestTargets.back().find("after=13&") != std::string::npos);
}

// An item whose new value can't be decoded must not stay in use with its old value.
TEST(store_client, treatsUnreadableEventAsRemoval)
{
    start({ { 200, lastPage },
        { 200,
            R"({"events":[{"key":"servers/i-1","value":"*","rev":13},7,{"rev":3}],"storeRevision":14})" } });
    runUntilWatchIsPending();
    CHECK(items.empty());
    CHECK_EQUAL(1U, removedKeys.size());
}

TEST(store_client, listsAgainWhenHistoryIsGone)
{
    start({ { 200, lastPage }, { 410, "{}" }, { 200, singlePage } });
    runUntilWatchIsPending();
    CHECK_EQUAL(2U, listings.size());
    CHECK(requestTargets.back().find("after=30&") != std::string::npos);
}

TEST(store_client, resumesFromSameRevisionAfterFailure)
{
    const std::vector<scripted_response> failures { { 503, "" }, { 429, "{}" }, { 500, "x" }, { 200, "[]" },
        { 200, "{\"events\":[" }, { 200, "{\"storeRevision\":12}" }, { 200, "", true } };
    std::deque<scripted_response> responses { { 200, lastPage } };
    for (const auto& failure : failures) {
        responses.push_back(failure);
        responses.push_back({ 200, noEvents });
    }
    start(responses);
    runUntilWatchIsPending();
    CHECK_EQUAL(failures.size(), unreachableReasons.size());
    CHECK_EQUAL(1U, listings.size());
    CHECK(requestTargets.back().find("after=12&") != std::string::npos);
    LONGS_EQUAL(static_cast<int>(failures.size()), reachableCount);
}

TEST(store_client, reportsUnreachableOncePerOutage)
{
    start({ { 200, lastPage }, { 200, noEvents }, { 503, "" }, { 503, "" }, { 503, "" }, { 200, noEvents } });
    runUntilWatchIsPending();
    CHECK_EQUAL(1U, unreachableReasons.size());
    LONGS_EQUAL(2, reachableCount);
}

TEST(store_client, countsAsReachableOnlyAfterAWatchIsAnswered)
{
    start({ { 200, lastPage } });
    runUntilWatchIsPending();
    CHECK(requestTargets.at(0).find("serializable=1") != std::string::npos);
    CHECK(requestTargets.at(1).find("waitMs=0") != std::string::npos);
    LONGS_EQUAL(0, reachableCount);
}

// The store falls silent while a watch is open and answers again before the watch would have timed out.
TEST(store_client, noticesASilentStoreByProbesAndResumesWhenItAnswers)
{
    probeStatus = 0;
    probeInterval = milliseconds(1);
    start({ { 200, lastPage }, { 200, noEvents } });
    runUntil([this] { return !unreachableReasons.empty() && probeCount >= 4; });
    CHECK_EQUAL(3U, requestTargets.size());
    script = { { 200, R"({"events":[{"key":"op/config","value":"eA==","rev":13}],"storeRevision":13})" } };
    probeStatus = 404;
    runUntil([this] { return reachableCount == 2; });
    CHECK(requestTargets.at(3).find("after=12&waitMs=0") != std::string::npos);
    CHECK_EQUAL(1U, items.size());
}

// The answer to a watch is lost although the store answers everything else.
TEST(store_client, replacesAWatchThatDoesNotReportAChange)
{
    probeBody = R"({"storeRevision":13})";
    probeInterval = milliseconds(1);
    probeTimeout = milliseconds(1e6);
    start({ { 200, lastPage }, { 200, noEvents } });
    runUntil([this] { return requestTargets.size() == 4; });
    CHECK(requestTargets.at(2).find("after=12&waitMs=5000") != std::string::npos);
    CHECK(requestTargets.at(3).find("after=12&waitMs=0") != std::string::npos);
    LONGS_EQUAL(1, missedChangeCount);
    CHECK(unreachableReasons.empty());
}

// The answers to a watch and to a probe may cross.
TEST(store_client, keepsAWatchThatReportsAChangeAfterTheProbe)
{
    probeBody = R"({"storeRevision":13})";
    probeInterval = milliseconds(1);
    probeTimeout = milliseconds(1e6);
    start({ { 200, lastPage }, { 200, noEvents } });
    runUntil([this] { return probeCount == 1 && pendingWatch != nullptr; });
    const auto watch = std::exchange(pendingWatch, nullptr);
    watch->respond({}, R"({"events":[],"storeRevision":13})");
    runUntil([this] { return probeCount >= 4; });
    LONGS_EQUAL(0, missedChangeCount);
    CHECK(requestTargets.back().find("after=13&waitMs=5000") != std::string::npos);
}

// The time in which a check waits for a silent store must not add to the delay before the next one.
TEST(store_client, checksASilentStoreAgainAtOnceAfterALongCheck)
{
    constexpr milliseconds delay { 1e6 };
    probeStatus = 0;
    probeInterval = milliseconds(1);
    probeTimeout = milliseconds(1000);
    maxRetryDelay = delay;
    firstRetryDelay = delay;
    start({ { 200, lastPage }, { 200, noEvents } });
    runUntil([this] { return probeCount == 2; });
    clockOffset = delay;
    runUntil([this] { return probeCount == 3; });
    CHECK_EQUAL(1U, unreachableReasons.size());
}

// Before the watch that follows a change, nothing asks the store for a while. The next probe must not wait
// longer.
TEST(store_client, probesAtOnceIfTheLastConfirmationIsOldWhenAWatchIsSent)
{
    constexpr milliseconds interval { 1e6 };
    batchDelay = milliseconds(20);
    probeInterval = interval;
    start({ { 200, lastPage },
        { 200, R"({"events":[{"key":"servers/i-2","value":"eA==","rev":13}],"storeRevision":13})" } });
    runUntil([this] { return items.size() == 1; });
    clockOffset = interval;
    runUntil([this] { return probeCount == 1; });
    CHECK(requestTargets.back().find("after=13&waitMs=5000") != std::string::npos);
}

// An answer to a probe confirms the items unless it shows a change that the open watch has not reported.
TEST(store_client, confirmsItsItemsByProbesThatShowNoFurtherChange)
{
    probeBody = R"({"storeRevision":12})";
    probeInterval = milliseconds(1);
    probeTimeout = milliseconds(1e6);
    start({ { 200, lastPage }, { 200, noEvents } });
    runUntil([this] { return confirmations.size() >= 3; });
    DOUBLES_EQUAL(0, confirmations[0].getCount(), 0);
    CHECK(confirmations[1] > milliseconds());
    probeBody = R"({"storeRevision":13})";
    const auto probesBefore = probeCount;
    runUntil([&] { return probeCount >= probesBefore + 2; });
    const auto confirmed = confirmations.size();
    runUntil([this] { return missedChangeCount == 1; });
    CHECK_EQUAL(confirmed, confirmations.size());
}

TEST(store_client, toleratesOneLostProbe)
{
    probeStatus = 0;
    probeInterval = milliseconds(1);
    probeTimeout = milliseconds(400);
    start({ { 200, lastPage }, { 200, noEvents } });
    runUntil([this] { return probeCount == 1; });
    probeStatus = 404;
    runUntil([this] { return probeCount >= 4; });
    CHECK(unreachableReasons.empty());
}

TEST(store_client, sendsNothingWhilePausedAndResumesFromTheGivenRevision)
{
    start({ { 200, lastPage }, { 200, noEvents } });
    runUntilWatchIsPending();
    client->pause();
    pendingWatch.reset();
    client->resume(40);
    runUntilWatchIsPending();
    CHECK(requestTargets.back().find("after=40&waitMs=0") != std::string::npos);
}

// While the instances of a starting fleet register, listings from the cache are cheaper than watches.
TEST(store_client, listsAgainFromTheCacheWhileItemsAreBeingPublished)
{
    relistCount = 2;
    start({ { 200, lastPage }, { 200, lastPage }, { 200, singlePage } });
    runUntilWatchIsPending();
    CHECK_EQUAL(3U, listings.size());
    CHECK(requestTargets.at(2).find("serializable=1") != std::string::npos);
    CHECK(requestTargets.back().find("after=30&waitMs=0") != std::string::npos);
}

// A cached page may be older than the pages before it.
TEST(store_client, watchesFromTheOldestPageOfAListing)
{
    start({ { 200, firstPage },
        { 200,
            R"({"items":[{"key":"servers/i-1","value":"YWI=","rev":4}],"hasMore":false,"storeRevision":7})" } });
    runUntilWatchIsPending();
    CHECK(requestTargets.back().find("after=7&") != std::string::npos);
}

TEST(store_client, listsFromTheStoreItselfAfterTheHistoryOfACachedListingIsGone)
{
    start({ { 200, lastPage }, { 410, "{}" }, { 200, singlePage } });
    runUntilWatchIsPending();
    CHECK(requestTargets.at(2).find("serializable") == std::string::npos);
}

TEST(store_client, restartsListingWhenPageFails)
{
    start({ { 200, firstPage }, { 503, "" }, { 200, singlePage } });
    runUntilWatchIsPending();
    CHECK_EQUAL(1U, listings.size());
    CHECK_EQUAL(1U, listings[0].size());
}

TEST(store_client, readsTheStoreItselfWhenAProofIsDue)
{
    isProving = true;
    probeBody = R"({"storeRevision":12})";
    start({ { 200, lastPage }, { 200, noEvents } });
    runUntil([this] { return reads.size() >= 4; });
    for (const auto& target : probeTargets)
        CHECK(target.find("serializable") == std::string::npos);
    CHECK_EQUAL(12U, reads.back().revision);
    CHECK(reads[1].sentAt < reads[2].sentAt);
    CHECK(unreachableReasons.empty());
}

// The store's cache may be seconds old, so its answers prove nothing.
TEST(store_client, reportsNoReadFromTheCache)
{
    isProving = true;
    proofInterval = milliseconds(1e7);
    probeBody = R"({"storeRevision":12})";
    probeInterval = milliseconds(1);
    probeTimeout = milliseconds(1e6);
    start({ { 200, lastPage }, { 200, noEvents } });
    runUntil([this] { return probeCount >= 3; });
    CHECK_EQUAL(1U, reads.size());
    for (const auto& target : probeTargets)
        CHECK(target.find("serializable=1") != std::string::npos);
}

// The answer to a watch may be read late, and may have been on its way for long.
TEST(store_client, countsTheReadOfAWatchFromItsRequest)
{
    isProving = true;
    proofInterval = milliseconds(1e7);
    start({ { 200, lastPage }, { 200, noEvents } });
    runUntilWatchIsPending();
    constexpr milliseconds delay { 1e6 };
    clockOffset = delay;
    std::exchange(pendingWatch, nullptr)->respond({}, R"({"events":[],"storeRevision":13})");
    runUntil([this] { return reads.size() == 2; });
    CHECK_EQUAL(13U, reads[1].revision);
    CHECK(reads[1].sentAt - reads[0].sentAt < delay);
}

// While changes are gathered no watch is open; a proof that is due must not wait for it.
TEST(store_client, watchesAtOnceIfAReadShowsAChangeWhileChangesAreGathered)
{
    isProving = true;
    batchDelay = milliseconds(1e7);
    probeBody = R"({"storeRevision":14})";
    start({ { 200, lastPage },
        { 200, R"({"events":[{"key":"servers/i-2","value":"eA==","rev":13}],"storeRevision":13})" } });
    runUntilWatchIsPending();
    CHECK(requestTargets.back().find("after=13&waitMs=5000") != std::string::npos);
}

TEST(store_client, sendsNoProofReadWhilePausedOrUnreachable)
{
    isProving = true;
    probeStatus = 503;
    start({ { 200, lastPage }, { 200, noEvents }, { 503, "" } });
    runUntil([this] { return !unreachableReasons.empty() && probeCount >= 4; });
    const auto own = std::count_if(probeTargets.begin(), probeTargets.end(),
        [](const auto& target) { return target.find("serializable") == std::string::npos; });
    LONGS_EQUAL(0, own);
    client->pause();
    const auto probesBefore = probeCount;
    io.run_for(std::chrono::milliseconds(20));
    CHECK_COMPARE(probeCount, <=, probesBefore + 1);
}

// Revisions known before a restore say nothing about the restored store.
TEST(store_client, listsAgainFromTheStoreItselfInANewEpoch)
{
    start({ { 200, lastPage, false, "1" }, { 200, noEvents, false, "1" },
        { 200, R"({"events":[],"storeRevision":40})", false, "2" },
        { 200, R"({"items":[],"hasMore":false,"storeRevision":9})", false, "2" } });
    runUntilWatchIsPending();
    CHECK_EQUAL(2U, listings.size());
    CHECK(requestTargets.at(3).find("kv-range") != std::string::npos);
    CHECK(requestTargets.at(3).find("serializable") == std::string::npos);
    CHECK(requestTargets.back().find("after=9&waitMs=0") != std::string::npos);
    CHECK_EQUAL(2U, epochs.back());
    CHECK(unreachableReasons.empty());
}

TEST(store_client, noticesANewEpochByAProbe)
{
    probeEpoch = "2";
    probeInterval = milliseconds(1);
    probeTimeout = milliseconds(1e6);
    start({ { 200, lastPage, false, "1" }, { 200, noEvents, false, "1" } });
    runUntil([this] { return requestTargets.size() == 4; });
    CHECK(requestTargets.back().find("kv-range") != std::string::npos);
}

// A node never goes back to an older epoch, whoever answers.
TEST(store_client, takesNothingOfAnEarlierEpoch)
{
    start({ { 200, lastPage, false, "2" },
        { 200, R"({"events":[{"key":"servers/i-2","value":"eA==","rev":13}],"storeRevision":13})", false,
            "1" },
        { 410, "{}", false, "1" }, { 200, noEvents, false, "2" } });
    runUntilWatchIsPending();
    CHECK(items.empty());
    CHECK_EQUAL(1U, listings.size());
    CHECK(requestTargets.back().find("after=12&") != std::string::npos);
}

TEST(store_client, resumesFromARevisionOfANewEpoch)
{
    start({ { 200, lastPage }, { 200, noEvents } });
    runUntilWatchIsPending();
    client->pause();
    pendingWatch.reset();
    client->resume(4, 1);
    runUntilWatchIsPending();
    CHECK(requestTargets.back().find("after=4&") != std::string::npos);
}
