#include "transport/peer_network.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstring>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

constexpr std::chrono::seconds maxWaitTime { 20 };

/// One side of a link, which records the events that its network reports.
struct network_side {
    network_side(boost::asio::io_context& io, const std::string& instance, const std::string& secret)
        : network(io, fleet_keys({ secret }), instance, 7, makeHooks())
    {
    }

    peer_network::hooks makeHooks()
    {
        peer_network::hooks hooks;
        hooks.acceptLink = [this](const std::string&) { return std::optional<link_id>(++lastLink); };
        hooks.onLinkUp = [this](link_id, const std::string& peer, std::uint64_t startNumber) {
            peers.push_back(peer + ' ' + std::to_string(startNumber));
        };
        hooks.onLinkDown = [this](link_id link) { closedLinks.push_back(link); };
        hooks.onMessage = [this](link_id, const std::string& bytes) { messages.push_back(bytes); };
        return hooks;
    }

    link_id lastLink = 100;
    std::vector<std::string> peers;
    std::vector<link_id> closedLinks;
    std::vector<std::string> messages;
    peer_network network;
};

std::uint16_t findFreePort()
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor(io, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    return acceptor.local_endpoint().port();
}

} // namespace

TEST_GROUP(peer_network_links)
{
    boost::asio::io_context io;
    address local { "127.0.0.1", findFreePort() };

    /// Runs the io_context until a condition holds or maxWaitTime has passed.
    /// @return whether the condition holds.
    bool runUntil(const std::function<bool()>& isDone)
    {
        const auto end = std::chrono::steady_clock::now() + maxWaitTime;
        io.restart();
        while (!isDone() && std::chrono::steady_clock::now() < end)
            io.run_one_for(std::chrono::milliseconds(50));
        return isDone();
    }

    void stopAll(const std::vector<network_side*>& sides)
    {
        for (auto* side : sides)
            side->network.stop();
        io.restart();
        io.run_for(maxWaitTime);
    }
};

TEST(peer_network_links, authenticatesBothSidesAndCarriesMessages)
{
    network_side accepting(io, "a", "secret");
    network_side opening(io, "b", "secret");
    CHECK(accepting.network.listen(local));
    opening.network.dial(1, formatAddress(local));
    CHECK(runUntil([&] { return !accepting.peers.empty() && !opening.peers.empty(); }));
    STRCMP_EQUAL("b 7", accepting.peers[0].c_str());
    STRCMP_EQUAL("a 7", opening.peers[0].c_str());
    const std::string large(1500000, 'x');
    opening.network.send(1, large);
    accepting.network.send(101, "small");
    CHECK(runUntil([&] { return !accepting.messages.empty() && !opening.messages.empty(); }));
    CHECK(accepting.messages[0] == large);
    accepting.network.close(101);
    CHECK(runUntil([&] { return !opening.closedLinks.empty(); }));
    CHECK(accepting.closedLinks.empty());
    stopAll({ &accepting, &opening });
}

TEST(peer_network_links, refusesAPeerWithAnotherKeyOnBothSides)
{
    network_side accepting(io, "a", "secret");
    network_side untrusted(io, "b", "another secret");
    CHECK(accepting.network.listen(local));
    untrusted.network.dial(1, formatAddress(local));
    CHECK(runUntil([&] { return !untrusted.closedLinks.empty(); }));
    CHECK(accepting.peers.empty());
    CHECK(untrusted.peers.empty());
    CHECK_EQUAL(1U, accepting.network.getRefusedCount());
    stopAll({ &accepting, &untrusted });
}

TEST(peer_network_links, answersInvalidInputAndClosesTheConnection)
{
    network_side accepting(io, "a", "secret");
    CHECK(accepting.network.listen(local));
    const std::vector<std::string> cases {
        std::string("\x00\x01\x02garbage\r\n\r\n", 14),
        "GET / HTTP/1.1\r\n\r\n",
        "POST /peer HTTP/1.1\r\nhost: x\r\n\r\n",
    };
    for (const auto& input : cases) {
        boost::asio::ip::tcp::socket socket(io);
        socket.connect({ boost::asio::ip::make_address(local.host), local.port });
        boost::asio::write(socket, boost::asio::buffer(input));
        std::string response;
        bool hasEnded = false;
        boost::asio::async_read(socket, boost::asio::dynamic_buffer(response),
            [&](const boost::system::error_code&, std::size_t) { hasEnded = true; });
        CHECK(runUntil([&] { return hasEnded; }));
        CHECK(response.rfind("HTTP/1.1 4", 0) == 0);
    }
    CHECK(accepting.peers.empty());
    stopAll({ &accepting });
}

// A faulty process at a peer's address sends bytes without end that complete no handshake.
TEST(peer_network_links, givesUpAnEndlessHandshake)
{
    constexpr std::size_t maxSentBytes = 16777216;
    const std::string filler(16384, 'x');
    for (const char* start : { "", "HTTP/1.1 101 ", "HTTP/1.1 101 Switching Protocols\r\nname: ",
             "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;" }) {
        using boost::asio::ip::tcp;
        io.restart();
        tcp::acceptor acceptor(io, { boost::asio::ip::make_address("127.0.0.1"), 0 });
        tcp::socket target(io);
        std::size_t sentBytes = 0;
        std::function<void(const boost::system::error_code&, std::size_t)> sendMore
            = [&](const boost::system::error_code& code, std::size_t count) {
                  sentBytes += count;
                  if (!code && sentBytes < maxSentBytes)
                      boost::asio::async_write(target, boost::asio::buffer(filler), sendMore);
              };
        acceptor.async_accept(target, [&](const boost::system::error_code& code) {
            if (!code)
                boost::asio::async_write(target, boost::asio::buffer(start, std::strlen(start)), sendMore);
        });
        network_side caller(io, "orders-1", "key");
        caller.network.dial(1, formatAddress({ "127.0.0.1", acceptor.local_endpoint().port() }));
        CHECK_TEXT(runUntil([&] { return !caller.closedLinks.empty() || sentBytes >= maxSentBytes; }), start);
        CHECK_EQUAL_TEXT(1U, caller.closedLinks.size(), start);
        target.close();
        acceptor.close();
        stopAll({ &caller });
    }
}

TEST(peer_network_links, reportsFailedDials)
{
    network_side opening(io, "b", "secret");
    opening.network.dial(1, formatAddress(local));
    opening.network.dial(2, "not an address");
    CHECK(runUntil([&] { return opening.closedLinks.size() == 2; }));
    stopAll({ &opening });
}
