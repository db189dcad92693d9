#pragma once

#include "core/address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// A simulated instance whose responses a test writes byte by byte, for faults that a correct server can't
/// have.
///
/// It reads one request after the other from each connection. Requests must have no body, unless the test
/// stops reading at their head.
class raw_instance {
public:
    /// One connection of the node to the instance.
    class connection : public std::enable_shared_from_this<connection> {
    public:
        explicit connection(boost::asio::ip::tcp::socket socket, raw_instance& owner);

        /// Sends bytes to the node.
        void write(const std::string& bytes);

        /// Calls an action later, unless the instance has been closed by then.
        void writeLater(std::chrono::milliseconds delay, std::function<void()> action);

        /// Leaves what the node still sends unread.
        void stopReading() { m_hasStoppedReading = true; }

        /// Closes the connection.
        /// @param isReset whether the node gets a reset instead of an orderly end.
        void close(bool isReset = false);

        /// Bytes that the test wants to send in front of the next response.
        std::string pendingBytes;

    private:
        friend class raw_instance;
        void read();
        void readRequests();

        boost::asio::ip::tcp::socket m_socket;
        raw_instance& m_owner;
        std::string m_received;
        bool m_hasStoppedReading = false;
        char m_readBuffer[4096];
    };

    /// One request as it has arrived.
    struct request {
        std::string id;
        std::string target;
    };

    using request_hook = std::function<void(const std::shared_ptr<connection>&, const request&)>;

    /// Starts listening.
    /// @param onRequest called with each request.
    raw_instance(boost::asio::io_context& io, const fuchsiagauge::address& local, request_hook onRequest);
    ~raw_instance();
    raw_instance(const raw_instance&) = delete;
    raw_instance& operator=(const raw_instance&) = delete;

    /// @return a response with an id, further header lines (each with its line end) and a body.
    static std::string formatResponse(const std::string& status, const std::string& requestId,
        const std::string& headerLines, const std::string& body);

private:
    void accept();

    boost::asio::io_context& m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    request_hook m_onRequest;
    std::vector<std::shared_ptr<connection>> m_connections;
    std::shared_ptr<bool> m_isOpen = std::make_shared<bool>(true);
};
