#pragma once

#include "core/settings.h"
#include "node/node.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <thread>

/// @return the loopback address of the node under test, derived from the process id so that test processes
/// running at the same time do not share one.
std::string getTestHost();

/// Ports of the node under test.
enum test_port : unsigned short {
    EdgePort = 18001,
    MeshPort = 18002,
    EgressPort = 18003,
    PeerPort = 18004,
    AdminPort = 18005,
    TargetPort = 18006,
};

/// A node under test that runs on its own thread.
class test_node {
public:
    /// @param isNaive whether the node uses the naive policies.
    explicit test_node(bool isNaive = false);
    ~test_node();
    test_node(const test_node&) = delete;
    test_node& operator=(const test_node&) = delete;

    /// @return whether the node started and opened its listeners.
    bool isServing() const { return m_isServing; }

private:
    std::unique_ptr<fuchsiagauge::settings> m_settings;
    boost::asio::io_context m_io;
    std::unique_ptr<fuchsiagauge::node> m_node;
    bool m_isServing = false;
    std::thread m_thread;
};

/// Sends bytes to a port of the node under test and reads until the node closes the connection or sends
/// nothing for 60 s.
/// @param port the port.
/// @param bytes sent unchanged.
/// @param isHalfClosed whether the sending side is shut down after the bytes.
/// @return all bytes received.
std::string exchangeBytes(unsigned short port, const std::string& bytes, bool isHalfClosed);

/// @param method the HTTP method.
/// @param path the path.
/// @param fields further header lines, each with its line end.
/// @return the head of an HTTP request with `Connection: close`.
std::string makeRequestHead(
    const std::string& method, const std::string& path, const std::string& fields = {});
