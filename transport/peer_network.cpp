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
    constexpr std::size_t maxStrangers = 64;
    constexpr std::size_t maxQueuedBytes = 8388608;

    using server_endpoint = ws::server<ws::config::asio>;

    /// The client's configuration, with a short wait for a connection.
    struct dial_config : ws::config::asio_client {
        using base = ws::config::asio_client;
        struct transport_config : base::transport_config {
            static const long timeout_connect = handshakeTimeoutMs; // NOLINT(readability-identifier-naming)
        };
        using transport_type = ws::transport::asio::endpoint<transport_config>;
    };

    using client_endpoint = ws::client<dial_config>;

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

    /// The text that a side signs: its role, both nonces, and who it is.
    std::string describeProof(
        const char* role, const std::string& theirNonce, const std::string& ownNonce, const peer_hello& hello)
    {
        return std::string("fuchsiagauge peer ") + role + '\n' + theirNonce + '\n' + ownNonce + '\n'
            + std::to_string(hello.startNumber) + '\n' + hello.instance;
    }

    constexpr char opening[] = "open";
    constexpr char accepting[] = "accept";

} // namespace

class peer_network::implementation {
public:
    implementation(boost::asio::io_context& context, const fleet_keys& keys, const std::string& instance,
        std::uint64_t startNumber, hooks varying)
        : m_keys(keys)
        , m_instance(instance)
        , m_startNumber(startNumber)
        , m_hooks(std::move(varying))
    {
        setUp(m_server, context);
        setUp(m_client, context);
        m_server.set_reuse_addr(true);
        m_server.set_open_handler([this](const ws::connection_hdl& handle) { challenge(handle); });
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
            tellDown(link);
            return;
        }
        const auto handle = connection->get_handle();
        session added;
        added.link = link;
        added.isOutgoing = true;
        added.nonce = makeNonce();
        m_sessions[handle] = added;
        m_handles[link] = handle;
        m_client.connect(connection);
        limitHandshake(m_client, handle);
    }

    void send(link_id link, const std::string& bytes)
    {
        const auto handle = m_handles.find(link);
        if (handle == m_handles.end())
            return;
        const auto target = handle->second;
        const auto found = m_sessions.find(target);
        if (found == m_sessions.end() || !found->second.isProven)
            return;
        sendOn(found->second.isOutgoing, target, bytes);
    }

    void close(link_id link)
    {
        const auto handle = m_handles.find(link);
        if (handle == m_handles.end())
            return;
        const auto target = handle->second;
        m_handles.erase(handle);
        const bool isOutgoing = m_sessions.at(target).isOutgoing;
        m_sessions.at(target).cancelTimer();
        m_sessions.erase(target);
        shut(isOutgoing, target);
    }

    void stop()
    {
        ws::lib::error_code code;
        if (m_server.is_listening())
            m_server.stop_listening(code);
        const auto sessions = std::move(m_sessions);
        m_sessions.clear();
        m_handles.clear();
        for (const auto& [handle, held] : sessions) {
            held.cancelTimer();
            shut(held.isOutgoing, handle);
        }
    }

    std::uint64_t getRefusedCount() const { return m_refusedCount; }

private:
    /// One connection, from its first moment.
    struct session {
        link_id link = 0; ///< 0: an incoming one that has not proved itself.
        bool isOutgoing = false;
        bool isProven = false;
        std::string nonce; ///< What the other side has to sign.
        std::string theirNonce; ///< What this side had to sign; empty until it came.
        std::shared_ptr<ws::lib::asio::steady_timer> handshakeTimer;

        void cancelTimer() const
        {
            if (handshakeTimer)
                handshakeTimer->cancel();
        }
    };

    using sessions = std::map<ws::connection_hdl, session, std::owner_less<ws::connection_hdl>>;

    template <typename Endpoint> void setUp(Endpoint& endpoint, boost::asio::io_context& context)
    {
        endpoint.clear_access_channels(ws::log::alevel::all);
        endpoint.clear_error_channels(ws::log::elevel::all);
        endpoint.init_asio(&context);
        endpoint.set_max_message_size(maxPeerMessageBytes);
        endpoint.set_open_handshake_timeout(handshakeTimeoutMs);
        endpoint.set_close_handshake_timeout(closeTimeoutMs);
        endpoint.set_message_handler([this](const ws::connection_hdl& handle, const auto& message) {
            if (message->get_opcode() == ws::frame::opcode::binary)
                receive(handle, message->get_payload());
            else
                end(handle);
        });
        endpoint.set_close_handler([this](const ws::connection_hdl& handle) { forget(handle); });
        endpoint.set_fail_handler([this](const ws::connection_hdl& handle) { forget(handle); });
    }

    template <typename Endpoint> void limitHandshake(Endpoint& endpoint, const ws::connection_hdl& handle)
    {
        ws::lib::error_code code;
        const auto connection = endpoint.get_con_from_hdl(handle, code);
        if (code)
            return;
        const auto held = m_sessions.find(handle);
        if (held == m_sessions.end())
            return;
        held->second.handshakeTimer = connection->set_timer(
            2 * handshakeTimeoutMs, [this, handle](const ws::lib::error_code& cancelled) {
                const auto found = m_sessions.find(handle);
                if (cancelled || found == m_sessions.end() || found->second.isProven)
                    return;
                ++m_refusedCount;
                end(handle);
            });
    }

    void challenge(const ws::connection_hdl& handle)
    {
        const auto strangers = m_sessions.size() - m_handles.size();
        if (strangers >= maxStrangers) {
            ++m_refusedCount;
            shut(false, handle);
            return;
        }
        session added;
        added.nonce = makeNonce();
        m_sessions[handle] = added;
        sendOn(false, handle, encodePeerMessage(peer_challenge { added.nonce }));
        limitHandshake(m_server, handle);
    }

    void receive(const ws::connection_hdl& handle, const std::string& bytes)
    {
        const auto found = m_sessions.find(handle);
        if (found == m_sessions.end())
            return;
        if (found->second.isProven) {
            m_hooks.receive(found->second.link, bytes);
            return;
        }
        const auto message = decodePeerMessage(bytes);
        const bool isGood = message
            && (found->second.isOutgoing ? continueOpening(*found, *message)
                                         : finishAccepting(*found, *message));
        if (isGood)
            return;
        ++m_refusedCount;
        end(handle);
    }

    bool continueOpening(sessions::value_type& opened, const peer_message& message)
    {
        auto& own = opened.second;
        if (const auto* challenge = std::get_if<peer_challenge>(&message)) {
            if (!own.theirNonce.empty())
                return false;
            own.theirNonce = challenge->nonce;
            peer_hello hello { m_instance, m_startNumber, own.nonce, {} };
            hello.signature = m_keys.sign(describeProof(opening, challenge->nonce, own.nonce, hello));
            sendOn(true, opened.first, encodePeerMessage(hello));
            return true;
        }
        const auto* hello = std::get_if<peer_hello>(&message);
        if (!hello || own.theirNonce.empty())
            return false;
        const auto proof = describeProof(accepting, own.nonce, own.theirNonce, *hello);
        if (!m_keys.isValidSignature(proof, hello->signature))
            return false;
        own.isProven = true;
        own.cancelTimer();
        m_hooks.up(own.link, hello->instance, hello->startNumber);
        return true;
    }

    bool finishAccepting(sessions::value_type& accepted, const peer_message& message)
    {
        auto& own = accepted.second;
        const auto* hello = std::get_if<peer_hello>(&message);
        if (!hello || hello->instance.empty())
            return false;
        const auto proof = describeProof(opening, own.nonce, hello->nonce, *hello);
        if (!m_keys.isValidSignature(proof, hello->signature))
            return false;
        const auto link = m_hooks.accept(hello->instance);
        if (!link)
            return false;
        own.link = *link;
        own.isProven = true;
        own.cancelTimer();
        m_handles[*link] = accepted.first;
        peer_hello answer { m_instance, m_startNumber, {}, {} };
        answer.signature = m_keys.sign(describeProof(accepting, hello->nonce, own.nonce, answer));
        sendOn(false, accepted.first, encodePeerMessage(answer));
        m_hooks.up(*link, hello->instance, hello->startNumber);
        return true;
    }

    void sendOn(bool isOutgoing, const ws::connection_hdl& handle, const std::string& bytes)
    {
        const bool isSent
            = isOutgoing ? sendThrough(m_client, handle, bytes) : sendThrough(m_server, handle, bytes);
        if (!isSent)
            shut(isOutgoing, handle);
    }

    template <typename Endpoint>
    bool sendThrough(Endpoint& endpoint, const ws::connection_hdl& handle, const std::string& bytes)
    {
        ws::lib::error_code code;
        const auto connection = endpoint.get_con_from_hdl(handle, code);
        if (code || connection->get_buffered_amount() > maxQueuedBytes)
            return false;
        return !connection->send(bytes, ws::frame::opcode::binary);
    }

    void shut(bool isOutgoing, const ws::connection_hdl& handle)
    {
        if (isOutgoing)
            shutThrough(m_client, handle);
        else
            shutThrough(m_server, handle);
    }

    template <typename Endpoint> void shutThrough(Endpoint& endpoint, const ws::connection_hdl& handle)
    {
        ws::lib::error_code code;
        const auto connection = endpoint.get_con_from_hdl(handle, code);
        if (code)
            return;
        connection->close(ws::close::status::normal, "", code);
        if (code)
            connection->terminate(ws::lib::error_code());
    }

    /// Ends a connection and tells that its link is down.
    void end(const ws::connection_hdl& handle)
    {
        const auto found = m_sessions.find(handle);
        if (found == m_sessions.end())
            return;
        shut(found->second.isOutgoing, handle);
        forget(handle);
    }

    /// Tells that a link is down, later: a send that fails ends its connection while the agent goes through
    /// its links.
    void tellDown(link_id link)
    {
        m_client.get_io_service().post([this, link] { m_hooks.down(link); });
    }

    void forget(const ws::connection_hdl& handle)
    {
        const auto found = m_sessions.find(handle);
        if (found == m_sessions.end())
            return;
        const auto link = found->second.link;
        found->second.cancelTimer();
        m_sessions.erase(found);
        m_handles.erase(link);
        if (link != 0)
            tellDown(link);
    }

    const fleet_keys m_keys;
    const std::string m_instance;
    const std::uint64_t m_startNumber;
    const hooks m_hooks;
    server_endpoint m_server;
    client_endpoint m_client;
    sessions m_sessions;
    std::map<link_id, ws::connection_hdl> m_handles;
    std::uint64_t m_refusedCount = 0;
};

peer_network::peer_network(boost::asio::io_context& context, const fleet_keys& keys,
    const std::string& instance, std::uint64_t startNumber, hooks varying)
    : m_implementation(
        std::make_unique<implementation>(context, keys, instance, startNumber, std::move(varying)))
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
