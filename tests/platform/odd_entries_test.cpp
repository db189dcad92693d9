#include "platform/platform_feed.h"
#include "platform/platform_protocol.h"
#include "platform/store_documents.h"
#include "transport/http_server.h"
#include "transport/pooled_http_client.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <optional>
#include <random>
#include <string>
#include <unistd.h>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

using json = nlohmann::json;

constexpr std::chrono::seconds runTimeout { 20 };
constexpr std::uint16_t targetPort = 18201;
constexpr std::uint16_t callersPort = 18202;
constexpr std::uint16_t peersPort = 18203;
constexpr std::uint16_t readyPort = 18204;
constexpr std::uint16_t storePort = 18205;

/// Other writers can store values of at most this size.
constexpr std::size_t maxValueBytes = 1048576;

std::string encodeBase64(const std::string& bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const auto size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::string makeEntry(const std::string& address)
{
    return R"({"service":"orders","address":")" + address
        + R"(","zone":"a","version":"v1","slots":9,"state":"ready","coldLeftS":0,"seq":4,"born":1700000000123})";
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

std::string nest(
    const std::string& open, const std::string& close, std::size_t depth, const std::string& inner)
{
    std::string text;
    text.reserve(depth * (open.size() + close.size()) + inner.size());
    for (std::size_t level = 0; level < depth; ++level)
        text += open;
    text += inner;
    for (std::size_t level = 0; level < depth; ++level)
        text += close;
    return text;
}

/// @return entries that name no instance to use, as another writer might leave them.
std::vector<std::string> makeOddEntries(unsigned seed)
{
    const auto valid = makeEntry("10.0.0.9:80");
    std::vector<std::string> entries;
    for (const std::size_t depth : { 40, 1000, 100000 }) {
        entries.push_back(nest("[", "]", depth, ""));
        entries.push_back(nest("[", "", depth, ""));
        entries.push_back(nest("{\"a\":", "}", depth, "1"));
        entries.push_back(replaced(valid, "\"seq\":4", "\"seq\":" + nest("[", "]", depth, "")));
        entries.push_back(
            replaced(valid, "\"seq\":4", "\"seq\":4,\"more\":" + nest("{\"a\":", "}", depth, "1")));
    }
    entries.push_back(std::string(maxValueBytes, '['));
    for (const char* number : { "1e400", "-1e400", "1e308", "18446744073709551616", "-9223372036854775809",
             "9223372036854775807", "1000001", "0", "-1", "0.5", "\"9\"", "null", "true" })
        entries.push_back(replaced(valid, "\"slots\":9", std::string("\"slots\":") + number));
    for (const char* number : { "1e400", "-1", "0.5", "18446744073709551616", "{}" }) {
        entries.push_back(replaced(valid, "\"seq\":4", std::string("\"seq\":") + number));
        entries.push_back(replaced(valid, "1700000000123", number));
    }
    for (const char* number : { "1e400", "-0.1", "\"1\"", "[]" })
        entries.push_back(replaced(valid, "\"coldLeftS\":0", std::string("\"coldLeftS\":") + number));
    for (const char* address : { "10.0.0.9:65536", "10.0.0.9:99999999999999999999", "10.0.0.9:-1",
             "10.0.0.9:0", "10.0.0.9:", "10.0.0.9:8e3", "10.0.0.9:+80", "10.0.0.9", ":80", "here:80",
             "10.0.0:80", "10.0.0.999:80", "0.0.0.0:80", "10.0.0.9:80:80", "" })
        entries.push_back(replaced(valid, "10.0.0.9:80", address));
    entries.push_back(replaced(valid, "10.0.0.9:80", std::string(maxValueBytes / 2, 'x') + ":80"));
    for (std::size_t size = 0; size < valid.size(); ++size)
        entries.push_back(valid.substr(0, size));
    std::mt19937 random(seed);
    for (int count = 0; count < 200; ++count) {
        std::string bytes(random() % 64, '\0');
        for (auto& byte : bytes)
            byte = static_cast<char>(random() % 256);
        entries.push_back(bytes);
    }
    return entries;
}

} // namespace

TEST_GROUP(odd_entries)
{
    boost::asio::io_context io;
    const std::string host = "127." + std::to_string(getpid() / 250 % 250 + 1) + '.'
        + std::to_string(getpid() % 250 + 1) + ".201";
    std::map<std::string, std::pair<std::string, std::uint64_t>> items; ///< Value and revision by key.
    std::uint64_t revision = 1;
    std::shared_ptr<incoming_call> watch;
    std::uint64_t watchedAfter = 0;
    http_server store { io, fuchsiagauge::clock::makeBoot(), 10,
        [this](const std::shared_ptr<incoming_call>& call) { serveStore(call); } };
    http_server instance { io, fuchsiagauge::clock::makeBoot(), 10,
        [](const std::shared_ptr<incoming_call>& call) {
            response_head head;
            head.fields.add("Request-Id", call->getRequest().fields.get("Request-Id"));
            call->respond(head, "served");
        } };
    std::unique_ptr<mesh_node> node;
    std::unique_ptr<platform_feed> feed;
    std::unique_ptr<pooled_http_client> client;
    std::optional<outgoing_result> result;

    void teardown() override
    {
        watch.reset();
        client.reset();
        feed.reset();
        node.reset();
        store.close();
        instance.close();
        io.poll();
    }

    static json makeItem(const std::string& key, const std::pair<std::string, std::uint64_t>& value)
    {
        return { { "key", key }, { "value", encodeBase64(value.first) }, { "rev", value.second },
            { "created", value.second }, { "lease", 0 } };
    }

    void serveStore(const std::shared_ptr<incoming_call>& call)
    {
        const auto& target = call->getRequest().target;
        const auto path = call->getRequest().getPath();
        if (path == "/kv-watch") {
            const std::string key = "after=";
            watchedAfter = std::stoull(target.substr(target.find(key) + key.size()));
            watch = call;
            const bool isHeld = target.find("waitMs=0") == std::string::npos;
            if (!isHeld || watchedAfter < revision)
                answerWatch();
            return;
        }
        json body { { "storeRevision", revision } };
        if (path == "/kv-range") {
            body["items"] = json::array();
            body["hasMore"] = false;
            for (const auto& [key, value] : items)
                body["items"].push_back(makeItem(key, value));
        }
        call->respond({}, body.dump());
    }

    void answerWatch()
    {
        json body { { "storeRevision", revision }, { "events", json::array() } };
        for (const auto& [key, value] : items) {
            if (value.second > watchedAfter)
                body["events"].push_back(makeItem(key, value));
        }
        std::exchange(watch, nullptr)->respond({}, body.dump());
    }

    void put(const std::string& key, const std::string& value)
    {
        items[key] = { value, ++revision };
        if (watch)
            answerWatch();
    }

    void putRules(int version, const std::string& prefix)
    {
        put("op/config",
            R"({"version":")" + std::to_string(version) + R"(","routes":{"r":{"host":"shop","prefix":")"
                + prefix
                + R"(","routeKind":"idempotent","timeoutS":5,"targetLatencyS":1,"priority":0,"service":"orders",
                "maxAttempts":2}},"services":{"orders":{}}})");
    }

    void startNode()
    {
        CHECK(store.open({ host, storePort }).has_value());
        CHECK(instance.open({ host, targetPort }).has_value());
        mesh_settings config;
        config.node = "node";
        config.service = "orders";
        config.location = { "a", { { "a", "west" } } };
        config.target = { host, targetPort };
        config.callersListener = { host, callersPort };
        config.peersListener = { host, peersPort };
        config.readyListener = { host, readyPort };
        config.platform = { host, storePort };
        config.logLevel = "error";
        node = std::make_unique<mesh_node>(io, config, makePlatformProtocol());
        CHECK(node->start());
        feed = std::make_unique<platform_feed>(io, config, *node);
        feed->start();
        client = std::make_unique<pooled_http_client>(
            io, fuchsiagauge::clock::makeBoot(), address { host, callersPort }, pool_limits {});
    }

    template <typename condition> void runUntil(condition isMet)
    {
        const auto end = std::chrono::steady_clock::now() + runTimeout;
        while (!isMet() && std::chrono::steady_clock::now() < end)
            io.run_one_for(std::chrono::milliseconds(50));
        CHECK(isMet());
    }

    void send(const std::string& path)
    {
        result.reset();
        outgoing_request outgoing;
        outgoing.request.method = "GET";
        outgoing.request.target = path;
        outgoing.request.fields.add("Host", "shop");
        outgoing.request.fields.add("Request-Id", "id-1");
        outgoing.expiresAt = fuchsiagauge::clock::makeBoot().now() + milliseconds(5000);
        client->send(std::move(outgoing), [this](outgoing_result ended) { result = std::move(ended); });
    }

    /// Sends requests until one is served.
    void expectServed(const std::string& path)
    {
        send(path);
        runUntil([&] {
            if (result && result->head.status != 200)
                send(path);
            return result.has_value();
        });
        STRCMP_EQUAL("served", result->body.c_str());
    }
};

TEST(odd_entries, nameNoInstance)
{
    CHECK(readStoredInstance("i-1", makeEntry("10.0.0.9:80")).has_value());
    for (unsigned seed = 1; seed <= 20; ++seed) {
        for (const auto& entry : makeOddEntries(seed))
            CHECK_FALSE_TEXT(readStoredInstance("i-1", entry).has_value(), entry.substr(0, 300).c_str());
    }
}

// Another writer leaves odd entries among those of the instances, in the first listing and later. The node
// goes on following the store.
TEST(odd_entries, aNodeFollowsTheStorePastThem)
{
    const auto entries = makeOddEntries(1);
    int index = 0;
    for (const auto& entry : entries) {
        if (entry.size() < maxValueBytes / 16)
            items["servers/odd-" + std::to_string(++index)] = { entry, 1 };
    }
    put("servers/i-1", makeEntry(host + ':' + std::to_string(targetPort)));
    putRules(1, "/one/");
    startNode();
    expectServed("/one/x");
    for (const auto& entry : entries)
        put("servers/odd-" + std::to_string(++index), entry);
    put("servers/odd-1", entries.front());
    putRules(2, "/two/");
    expectServed("/two/x");
}
