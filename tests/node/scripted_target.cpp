#include "tests/node/scripted_target.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

sockaddr_in makeAddress(const std::string& host, std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

/// Reads up to the end of the request's head, or until the connection closes.
std::string readHead(int connection)
{
    std::string head;
    char byte = 0;
    while (head.find("\r\n\r\n") == std::string::npos && recv(connection, &byte, 1, 0) == 1)
        head.push_back(byte);
    return head;
}

} // namespace

scripted_target::scripted_target(const std::string& host, std::uint16_t port)
{
    constexpr int backlog = 64;
    m_listener = socket(AF_INET, SOCK_STREAM, 0);
    const int isOn = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &isOn, sizeof(isOn));
    const auto address = makeAddress(host, port);
    (void)bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    (void)listen(m_listener, backlog);
    m_thread = std::thread([this] { serve(); });
}

scripted_target::~scripted_target()
{
    m_isStopping = true;
    shutdown(m_listener, SHUT_RDWR);
    m_thread.join();
    close(m_listener);
}

void scripted_target::setScript(const std::string& bytes, bool isKeptOpen)
{
    m_script = bytes;
    m_isKeptOpen = isKeptOpen;
}

void scripted_target::serve()
{
    while (!m_isStopping) {
        const int connection = accept(m_listener, nullptr, nullptr);
        if (connection < 0)
            continue;
        serveConnection(connection);
        close(connection);
    }
}

void scripted_target::serveConnection(int connection)
{
    const auto head = readHead(connection);
    if (head.empty())
        return;
    ++m_requestCount;
    send(connection, m_script.data(), m_script.size(), MSG_NOSIGNAL);
    char byte = 0;
    while (m_isKeptOpen && recv(connection, &byte, 1, 0) > 0) { }
}
