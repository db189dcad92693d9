#include "tests/node/test_node.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace {

std::string makeSettings(bool isNaive)
{
    const auto host = getTestHost();
    const auto formatListenAddress
        = [&host](test_port port) { return '"' + host + ':' + std::to_string(port) + '"'; };
    return R"({ "instance": "orders-1", "service": "orders", "region": "zapad", "zone": "zapad-1",
        "listen": { "edge": )"
        + formatListenAddress(EdgePort) + R"(, "mesh": )" + formatListenAddress(MeshPort) + R"(, "egress": )"
        + formatListenAddress(EgressPort) + R"(, "peer": )" + formatListenAddress(PeerPort) + R"(, "admin": )"
        + formatListenAddress(AdminPort) + R"( },
        "target": { "health_path": "", "load_path": "", "address": )"
        + formatListenAddress(TargetPort) + R"( },
        "fleet": { "keys": ["key of the test fleet"] }, "limits": { "header_bytes": 4096, "body_bytes": 1000 },
        "log": { "level": "error" }, "policy": { "naive": )"
        + (isNaive ? "true" : "false") + " } }";
}

} // namespace

std::string getTestHost()
{
    // Maps the process id to the second and third byte of the address, each from 10 to 209.
    constexpr int valuesPerByte = 200;
    const auto processId = static_cast<int>(getpid());
    return "127." + std::to_string(10 + processId % valuesPerByte) + '.'
        + std::to_string(10 + processId / valuesPerByte % valuesPerByte) + ".1";
}

test_node::test_node(bool isNaive)
{
    m_settings = std::make_unique<fuchsiagauge::settings>(
        *fuchsiagauge::settings::parse(makeSettings(isNaive), "test"));
    m_node = std::make_unique<fuchsiagauge::node>(m_io, *m_settings);
    m_isServing = m_node->start();
    m_thread = std::thread([this] { m_io.run(); });
}

test_node::~test_node()
{
    m_io.stop();
    m_thread.join();
}

std::string exchangeBytes(unsigned short port, const std::string& bytes, bool isHalfClosed)
{
    constexpr time_t receiveTimeoutSeconds = 60;
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, getTestHost().c_str(), &address.sin_addr);
    const int connection = socket(AF_INET, SOCK_STREAM, 0);
    const timeval receiveTimeout { receiveTimeoutSeconds, 0 };
    setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &receiveTimeout, sizeof(receiveTimeout));
    std::string response;
    if (connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) {
        send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (isHalfClosed)
            shutdown(connection, SHUT_WR);
        char buffer[4096];
        ssize_t count = 0;
        while ((count = recv(connection, buffer, sizeof(buffer), 0)) > 0)
            response.append(buffer, static_cast<std::size_t>(count));
    }
    close(connection);
    return response;
}

std::string makeRequestHead(const std::string& method, const std::string& path, const std::string& fields)
{
    return method + ' ' + path + " HTTP/1.1\r\nHost: test\r\nConnection: close\r\n" + fields + "\r\n";
}
