#include "tests/mesh/raw_instance.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// @return the value of a header field in the head of a request; empty if the field is missing.
std::string findField(const std::string& head, const std::string& name)
{
    const auto start = head.find("\r\n" + name + ": ");
    if (start == std::string::npos)
        return {};
    const auto value = start + name.size() + 4;
    return head.substr(value, head.find("\r\n", value) - value);
}

} // namespace

raw_instance::connection::connection(tcp::socket socket, raw_instance& owner)
    : m_socket(std::move(socket))
    , m_owner(owner)
{
}

void raw_instance::connection::write(const std::string& bytes)
{
    boost::system::error_code code;
    asio::write(m_socket, asio::buffer(bytes), code);
}

void raw_instance::connection::writeLater(std::chrono::milliseconds delay, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(m_owner.m_io, delay);
    timer->async_wait([timer, self = shared_from_this(), isOpen = m_owner.m_isOpen,
                          action = std::move(action)](const boost::system::error_code& code) {
        if (!code && *isOpen)
            action();
    });
}

void raw_instance::connection::close(bool isReset)
{
    boost::system::error_code code;
    if (isReset)
        m_socket.set_option(asio::socket_base::linger(true, 0), code);
    m_socket.close(code);
}

void raw_instance::connection::read()
{
    m_socket.async_read_some(asio::buffer(m_readBuffer),
        [self = shared_from_this(), isOpen = m_owner.m_isOpen](
            const boost::system::error_code& code, std::size_t count) {
            if (code || !*isOpen)
                return;
            self->m_received.append(self->m_readBuffer, count);
            self->readRequests();
            if (self->m_socket.is_open() && !self->m_hasStoppedReading)
                self->read();
        });
}

void raw_instance::connection::readRequests()
{
    const std::string headEnd = "\r\n\r\n";
    for (auto end = m_received.find(headEnd); end != std::string::npos; end = m_received.find(headEnd)) {
        const auto head = m_received.substr(0, end + 2);
        m_received.erase(0, end + headEnd.size());
        const auto targetStart = head.find(' ') + 1;
        m_owner.m_onRequest(shared_from_this(),
            { findField(head, "Request-Id"),
                head.substr(targetStart, head.find(' ', targetStart) - targetStart) });
    }
}

raw_instance::raw_instance(asio::io_context& io, const fuchsiagauge::address& local, request_hook onRequest)
    : m_io(io)
    , m_acceptor(io, tcp::endpoint(asio::ip::make_address(local.host), local.port))
    , m_onRequest(std::move(onRequest))
{
    accept();
}

raw_instance::~raw_instance()
{
    *m_isOpen = false;
    m_acceptor.close();
    for (const auto& entry : m_connections)
        entry->close();
}

void raw_instance::accept()
{
    m_acceptor.async_accept(
        [this, isOpen = m_isOpen](const boost::system::error_code& code, tcp::socket socket) {
            if (code || !*isOpen)
                return;
            m_connections.push_back(std::make_shared<connection>(std::move(socket), *this));
            m_connections.back()->read();
            accept();
        });
}

std::string raw_instance::formatResponse(const std::string& status, const std::string& requestId,
    const std::string& headerLines, const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\n" + (requestId.empty() ? "" : "Request-Id: " + requestId + "\r\n")
        + headerLines + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
