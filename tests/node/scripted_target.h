#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

/// A test target that reads one request from each connection, sends a fixed sequence of bytes and then closes
/// the connection or keeps it open.
class scripted_target {
public:
    /// Starts listening.
    /// @param host a loopback IPv4 address.
    /// @param port the TCP port.
    scripted_target(const std::string& host, std::uint16_t port);
    ~scripted_target();
    scripted_target(const scripted_target&) = delete;
    scripted_target& operator=(const scripted_target&) = delete;

    /// Sets the bytes that each new connection receives.
    /// @param bytes sent unchanged after the head of a request has been read.
    /// @param isKeptOpen whether the connection stays open until the node closes it.
    void setScript(const std::string& bytes, bool isKeptOpen);

    /// @return the number of requests read so far. test_node disables health and load polls, so they do not
    /// add to it.
    int getRequestCount() const { return m_requestCount; }

private:
    void serve();
    void serveConnection(int connection);

    int m_listener = -1;
    std::string m_script;
    std::atomic<bool> m_isKeptOpen { false };
    std::atomic<bool> m_isStopping { false };
    std::atomic<int> m_requestCount { 0 };
    std::thread m_thread;
};
