#include "core/event_log.h"

#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

TEST_GROUP(event_log)
{
    milliseconds now { 0 };
    std::string written;
    bool isStalled = false;
    event_log log { "node-1", fuchsiagauge::clock([this] { return now; }),
        [] { return std::uint64_t { 1700000000000 }; },
        [this](const char* data, std::size_t size) {
            if (isStalled)
                return std::size_t { 0 };
            written.append(data, size);
            return size;
        },
        false };

    std::vector<nlohmann::json> getLines() const
    {
        std::vector<nlohmann::json> lines;
        std::istringstream in(written);
        for (std::string line; std::getline(in, line);)
            lines.push_back(nlohmann::json::parse(line));
        return lines;
    }
};

TEST(event_log, writesTheEventAndItsFieldsOnOneLine)
{
    log.write(
        event_kind::RequestRefused, "ab12", { { "reason", std::string("no-room") }, { "status", 503.0 } });
    log.flush();
    const auto lines = getLines();
    CHECK_EQUAL(1U, lines.size());
    STRCMP_EQUAL("request-refused", lines[0]["event"].get<std::string>().c_str());
    STRCMP_EQUAL("ab12", lines[0]["request"].get<std::string>().c_str());
    STRCMP_EQUAL("no-room", lines[0]["reason"].get<std::string>().c_str());
    DOUBLES_EQUAL(503, lines[0]["status"].get<double>(), 0);
}

TEST(event_log, writesTheFirstEventsAndCountsTheRest)
{
    constexpr int calls = 1000;
    for (int count = 0; count < calls; ++count)
        log.write(event_kind::RequestRefused, "id", {});
    now = milliseconds(1100);
    log.flush();
    const auto lines = getLines();
    CHECK(lines.size() < 100);
    const auto omittedLines = lines.back()["omitted"].get<int>();
    LONGS_EQUAL(calls, omittedLines + static_cast<int>(lines.size()) - 1);
}

TEST(event_log, limitsEachKindOfEventSeparately)
{
    for (int count = 0; count < 1000; ++count)
        log.write(event_kind::RequestRefused, "id", {});
    log.write(event_kind::PlatformLost, {}, { { "reason", std::string("reset") } });
    log.flush();
    STRCMP_EQUAL("platform-lost", getLines().back()["event"].get<std::string>().c_str());
}

TEST(event_log, boundsTheBufferWhileTheReaderStalls)
{
    isStalled = true;
    for (int second = 0; second < 10000; ++second) {
        now = milliseconds(second * 1000.0);
        for (int count = 0; count < 10; ++count)
            log.write(event_kind::RequestFailed, std::string(100, 'x'), {});
        log.flush();
    }
    CHECK(log.getOmittedCount() > 0);
    isStalled = false;
    now = now + milliseconds(1100);
    log.flush();
    CHECK(written.size() < 200000);
    CHECK_FALSE(getLines().empty());
}

TEST(event_log, doesNotBlockOnAFullPipe)
{
    int ends[2];
    LONGS_EQUAL(0, pipe(ends));
    event_log piped(
        "node-1", fuchsiagauge::clock([this] { return now; }), [] { return std::uint64_t { 0 }; },
        makeDescriptorSink(ends[1]), false);
    for (int second = 0; second < 2000; ++second) {
        now = milliseconds(second * 1000.0);
        for (int count = 0; count < 5; ++count)
            piped.write(event_kind::RequestFailed, std::string(100, 'x'), {});
        piped.flush();
    }
    CHECK(piped.getOmittedCount() > 0);
    close(ends[0]);
    close(ends[1]);
}

TEST(event_log, omitsServedRequestsUnlessVerbose)
{
    log.write(event_kind::RequestServed, "id", {});
    log.flush();
    CHECK(written.empty());
}
