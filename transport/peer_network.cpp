#include "transport/peer_network.h"

#include "core/error.h"
#include "policy/peer_message.h"

#include <array>
#include <map>
#include <openssl/rand.h>
#include <utility>
#include <vector>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace fuchsiagauge {
namespace {

    namespace ws = websocketpp;

    constexpr long handshakeTimeoutMs = 1500;
    constexpr long closeTimeoutMs = 500;

    /// Most incoming connections at a time that have not been authenticated; further ones are refused.
    constexpr std::size_t maxUnauthenticatedConnections = 64;

    /// A connection with more unsent bytes than this is closed at the next message.
    constexpr std::size_t maxQueuedBytes = 8388608;

    using server_endpoint = ws::server<ws::config::asio>;

    /// Configuration of outgoing connections, with a shorter connect timeout than the library's default.
    struct client_config : ws::config::asio_client {
        using base = ws::config::asio_client;
        struct transport_config : base::transport_config {
            static const long timeout_connect = handshakeTimeoutMs; // NOLINT(readability-identifier-naming)
        };
        using transport_type = ws::transport::asio::endpoint<transport_config>;
    };

    using client_endpoint = ws::client<client_config>;

    std::string makeNonce()
    {
        std::array<unsigned char, 16> bytes {};
        if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
            return {};
        constexpr char digits[] = "0123456789abcdef";
        std::string hex;
        for (const auto byte : bytes) {
            hex.push_back(digits[byte >> 4]);
            hex.push_back(digits[byte & 15]);
        }
        return hex;
    }

    /// Builds the text that one side of a link signs. It contains the role, so that the signature of one side
    /// is not valid for the other.
    /// @param role role of the signing side.
    /// @param verifierNonce nonce that the verifying side issued.
    /// @param signerNonce nonce that the signing side issued.
    /// @param hello gives the instance and start number of the signing side.
    std::string buildSignedText(const char* role, const std::string& verifierNonce,
        const std::string& signerNonce, const peer_hello& hello)
    {
        return std::string("fuchsiagauge peer ") + role + '\n' + verifierNonce + '\n' + signerNonce + '\n'
            + std::to_string(hello.startNumber) + '\n' + hello.instance;
    }

    constexpr char openingRole[] = "open";
    constexpr char acceptingRole[] = "accept";

} // namespace

class peer_network::implementation {
public:
    implementation(boost::asio::io_context& io, const fleet_keys& keys, const std::string& instance,
        std::uint64_t startNumber, hooks callbacks)
        : m_keys(keys)
        , m_instance(instance)
        , m_startNumber(startNumber)
        , m_hooks(std::move(callbacks))
    {
        configureEndpoint(m_server, io);
        configureEndpoint(m_client, io);
        m_server.set_reuse_addr(true);
        m_server.set_open_handler(
            [this](const ws::connection_hdl& handle) { handleIncomingConnection(handle); });
    }

    bool listen(const address& local)
    {
        ws::lib::error_code code;
        m_server.listen(local.host, std::to_string(local.port), code);
        if (!code)
            m_server.start_accept(code);
        if (!code)
            return true;
        fail(error_kind::BadSettings, "can't listen on " + formatAddress(local) + ": " + code.message());
        return false;
    }

    void dial(link_id link, const std::string& peerAddress)
    {
        ws::lib::error_code code;
        const auto connection = m_client.get_connection("ws://" + peerAddress + "/peer", code);
        if (code) {
            notifyLinkDown(link);
            return;
        }
        const auto handle = connection->get_handle();
        session newSession;
        newSession.link = link;
        newSession.isOutgoing = true;
        newSession.issuedNonce = makeNonce();
        m_sessions[handle] = newSession;
        m_handles[link] = handle;
        m_client.connect(connection);
        startHandshakeTimer(m_client, handle);
    }

    void send(link_id link, const std::string& bytes)
    {
        const auto linkEntry = m_handles.find(link);
        if (linkEntry == m_handles.end())
            return;
        const auto connectionHandle = linkEntry->second;
        const auto found = m_sessions.find(connectionHandle);
        if (found == m_sessions.end() || !found->second.isAuthenticated)
            return;
        sendOrClose(found->second.isOutgoing, connectionHandle, bytes);
    }

    void close(link_id link)
    {
        const auto linkEntry = m_handles.find(link);
        if (linkEntry == m_handles.end())
            return;
        const auto connectionHandle = linkEntry->second;
        m_handles.erase(linkEntry);
        const bool isOutgoing = m_sessions.at(connectionHandle).isOutgoing;
        m_sessions.at(connectionHandle).cancelTimer();
        m_sessions.erase(connectionHandle);
        closeConnection(isOutgoing, connectionHandle);
    }

    void stop()
    {
        ws::lib::error_code code;
        if (m_server.is_listening())
            m_server.stop_listening(code);
        const auto sessions = std::move(m_sessions);
        m_sessions.clear();
        m_handles.clear();
        for (const auto& [handle, closedSession] : sessions) {
            closedSession.cancelTimer();
            closeConnection(closedSession.isOutgoing, handle);
        }
    }

    std::uint64_t getRefusedCount() const { return m_refusedCount; }

private:
    /// State of one connection, from when it is opened or accepted.
    struct session {
        link_id link = 0; ///< 0 while an incoming connection is not authenticated.
        bool isOutgoing = false;
        bool isAuthenticated = false;
        std::string issuedNonce; ///< Nonce that the other side has to sign.
        std::string peerNonce; ///< Set on outgoing connections by the challenge: nonce that this side signs.
        std::shared_ptr<ws::lib::asio::steady_timer> handshakeTimer;

        void cancelTimer() const
        {
            if (handshakeTimer)
                handshakeTimer->cancel();
        }
    };

    using session_map = std::map<ws::connection_hdl, session, std::owner_less<ws::connection_hdl>>;

    template <typename Endpoint> void configureEndpoint(Endpoint& endpoint, boost::asio::io_context& io)
    {
        endpoint.clear_access_channels(ws::log::alevel::all);
        endpoint.clear_error_channels(ws::log::elevel::all);
        endpoint.init_asio(&io);
        endpoint.set_max_message_size(maxPeerMessageBytes);
        endpoint.set_open_handshake_timeout(handshakeTimeoutMs);
        endpoint.set_close_handshake_timeout(closeTimeoutMs);
        endpoint.set_message_handler([this](const ws::connection_hdl& handle, const auto& message) {
            if (message->get_opcode() == ws::frame::opcode::binary)
                handleMessage(handle, message->get_payload());
            else
                dropConnection(handle);
        });
        endpoint.set_close_handler([this](const ws::connection_hdl& handle) { removeSession(handle); });
        endpoint.set_fail_handler([this](const ws::connection_hdl& handle) { removeSession(handle); });
    }

    /// Drops the connection if the other side is not authenticated in time. On outgoing connections, the
    /// limit includes the WebSocket handshake.
    template <typename Endpoint>
    void startHandshakeTimer(Endpoint& endpoint, const ws::connection_hdl& handle)
    {
        ws::lib::error_code code;
        const auto connection = endpoint.get_con_from_hdl(handle, code);
        if (code)
            return;
        const auto entry = m_sessions.find(handle);
        if (entry == m_sessions.end())
            return;
        entry->second.handshakeTimer = connection->set_timer(
            2 * handshakeTimeoutMs, [this, handle](const ws::lib::error_code& cancelled) {
                const auto found = m_sessions.find(handle);
                if (cancelled || found == m_sessions.end() || found->second.isAuthenticated)
                    return;
                ++m_refusedCount;
                dropConnection(handle);
            });
    }

    /// Sends the challenge on a new incoming connection, or refuses it.
    void handleIncomingConnection(const ws::connection_hdl& handle)
    {
        const auto unauthenticatedCount = m_sessions.size() - m_handles.size();
        if (unauthenticatedCount >= maxUnauthenticatedConnections) {
            ++m_refusedCount;
            closeConnection(false, handle);
            return;
        }
        session newSession;
        newSession.issuedNonce = makeNonce();
        m_sessions[handle] = newSession;
        sendOrClose(false, handle, encodePeerMessage(peer_challenge { newSession.issuedNonce }));
        startHandshakeTimer(m_server, handle);
    }

    void handleMessage(const ws::connection_hdl& handle, const std::string& bytes)
    {
        const auto found = m_sessions.find(handle);
        if (found == m_sessions.end())
            return;
        if (found->second.isAuthenticated) {
            m_hooks.onMessage(found->second.link, bytes);
            return;
        }
        const auto message = decodePeerMessage(bytes);
        const bool isValid = message
            && (found->second.isOutgoing ? continueOpeningHandshake(*found, *message)
                                         : finishAcceptingHandshake(*found, *message));
        if (isValid)
            return;
        ++m_refusedCount;
        dropConnection(handle);
    }

    /// Handles a handshake message on an outgoing connection: the challenge, then the peer's hello.
    /// @return whether the message is valid.
    bool continueOpeningHandshake(session_map::value_type& entry, const peer_message& message)
    {
        auto& peerSession = entry.second;
        if (const auto* challenge = std::get_if<peer_challenge>(&message)) {
            if (!peerSession.peerNonce.empty())
                return false;
            peerSession.peerNonce = challenge->nonce;
            peer_hello hello { m_instance, m_startNumber, peerSession.issuedNonce, {} };
            hello.signature
                = m_keys.sign(buildSignedText(openingRole, challenge->nonce, peerSession.issuedNonce, hello));
            sendOrClose(true, entry.first, encodePeerMessage(hello));
            return true;
        }
        const auto* hello = std::get_if<peer_hello>(&message);
        if (!hello || peerSession.peerNonce.empty())
            return false;
        const auto proof
            = buildSignedText(acceptingRole, peerSession.issuedNonce, peerSession.peerNonce, *hello);
        if (!m_keys.isValidSignature(proof, hello->signature))
            return false;
        peerSession.isAuthenticated = true;
        peerSession.cancelTimer();
        m_hooks.onLinkUp(peerSession.link, hello->instance, hello->startNumber);
        return true;
    }

    /// Handles the hello of the peer on an incoming connection.
    /// @return whether the peer is authenticated and its link was accepted.
    bool finishAcceptingHandshake(session_map::value_type& entry, const peer_message& message)
    {
        auto& peerSession = entry.second;
        const auto* hello = std::get_if<peer_hello>(&message);
        if (!hello || hello->instance.empty())
            return false;
        const auto proof = buildSignedText(openingRole, peerSession.issuedNonce, hello->nonce, *hello);
        if (!m_keys.isValidSignature(proof, hello->signature))
            return false;
        const auto link = m_hooks.acceptLink(hello->instance);
        if (!link)
            return false;
        peerSession.link = *link;
        peerSession.isAuthenticated = true;
        peerSession.cancelTimer();
        m_handles[*link] = entry.first;
        peer_hello reply { m_instance, m_startNumber, {}, {} };
        reply.signature
            = m_keys.sign(buildSignedText(acceptingRole, hello->nonce, peerSession.issuedNonce, reply));
        sendOrClose(false, entry.first, encodePeerMessage(reply));
        m_hooks.onLinkUp(*link, hello->instance, hello->startNumber);
        return true;
    }

    /// Sends a message, and closes the connection if that fails.
    void sendOrClose(bool isOutgoing, const ws::connection_hdl& handle, const std::string& bytes)
    {
        const bool isSent = isOutgoing ? trySend(m_client, handle, bytes) : trySend(m_server, handle, bytes);
        if (!isSent)
            closeConnection(isOutgoing, handle);
    }

    template <typename Endpoint>
    bool trySend(Endpoint& endpoint, const ws::connection_hdl& handle, const std::string& bytes)
    {
        ws::lib::error_code code;
        const auto connection = endpoint.get_con_from_hdl(handle, code);
        if (code || connection->get_buffered_amount() > maxQueuedBytes)
            return false;
        return !connection->send(bytes, ws::frame::opcode::binary);
    }

    void closeConnection(bool isOutgoing, const ws::connection_hdl& handle)
    {
        if (isOutgoing)
            closeThroughEndpoint(m_client, handle);
        else
            closeThroughEndpoint(m_server, handle);
    }

    template <typename Endpoint>
    void closeThroughEndpoint(Endpoint& endpoint, const ws::connection_hdl& handle)
    {
        ws::lib::error_code code;
        const auto connection = endpoint.get_con_from_hdl(handle, code);
        if (code)
            return;
        connection->close(ws::close::status::normal, "", code);
        if (code)
            connection->terminate(ws::lib::error_code());
    }

    /// Closes a connection and reports its link as down.
    void dropConnection(const ws::connection_hdl& handle)
    {
        const auto found = m_sessions.find(handle);
        if (found == m_sessions.end())
            return;
        closeConnection(found->second.isOutgoing, handle);
        removeSession(handle);
    }

    /// Reports a link as down, deferred to the io_context: a failed send closes its connection while the
    /// fleet agent iterates over its links.
    void notifyLinkDown(link_id link)
    {
        m_client.get_io_service().post([this, link] { m_hooks.onLinkDown(link); });
    }

    void removeSession(const ws::connection_hdl& handle)
    {
        const auto found = m_sessions.find(handle);
        if (found == m_sessions.end())
            return;
        const auto link = found->second.link;
        found->second.cancelTimer();
        m_sessions.erase(found);
        m_handles.erase(link);
        if (link != 0)
            notifyLinkDown(link);
    }

    const fleet_keys m_keys;
    const std::string m_instance;
    const std::uint64_t m_startNumber;
    const hooks m_hooks;
    server_endpoint m_server;
    client_endpoint m_client;
    session_map m_sessions;
    std::map<link_id, ws::connection_hdl> m_handles;
    std::uint64_t m_refusedCount = 0;
};

peer_network::peer_network(boost::asio::io_context& io, const fleet_keys& keys, const std::string& instance,
    std::uint64_t startNumber, hooks callbacks)
    : m_implementation(
        std::make_unique<implementation>(io, keys, instance, startNumber, std::move(callbacks)))
{
}

peer_network::~peer_network() = default;

bool peer_network::listen(const address& local) { return m_implementation->listen(local); }

void peer_network::dial(link_id link, const std::string& peerAddress)
{
    m_implementation->dial(link, peerAddress);
}

void peer_network::send(link_id link, const std::string& bytes) { m_implementation->send(link, bytes); }

void peer_network::close(link_id link) { m_implementation->close(link); }

void peer_network::stop() { m_implementation->stop(); }

std::uint64_t peer_network::getRefusedCount() const { return m_implementation->getRefusedCount(); }

} // namespace fuchsiagauge
