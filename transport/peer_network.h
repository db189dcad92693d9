#pragma once

#include "core/address.h"
#include "core/fleet_keys.h"
#include "policy/gossip.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace fuchsiagauge {

/// Manages the node's peer links: WebSocket connections that carry CBOR messages and are opened by either
/// side.
///
/// Before any other message, each side proves that it knows a key of the fleet: the accepting side sends a
/// challenge, and both sides sign a nonce of the other one. The class must only be used from the thread that
/// runs its io_context, and must be destroyed only after the io_context has stopped running.
class peer_network {
public:
    /// Callbacks into the owner.
    struct hooks {
        /// Called when a peer has opened a link and has been authenticated. If the link is accepted,
        /// onLinkUp() follows.
        /// @return the link's id, or nothing to refuse the link.
        std::function<std::optional<link_id>(const std::string& peer)> acceptLink;
        /// Called when the peer on a link has been authenticated; messages may be sent from now on.
        std::function<void(link_id, const std::string& peer, std::uint64_t startNumber)> onLinkUp;
        /// Called when a link failed to open, failed later or was closed by the peer. Not called for close().
        std::function<void(link_id)> onLinkDown;
        /// Called for each message that is received on a link.
        std::function<void(link_id, const std::string& bytes)> onMessage;
    };

    /// Creates a network without links.
    /// @param io runs the connections.
    /// @param keys the fleet's keys.
    /// @param instance name of this instance.
    /// @param startNumber start number of this node.
    /// @param callbacks hooks; all are required.
    peer_network(boost::asio::io_context& io, const fleet_keys& keys, const std::string& instance,
        std::uint64_t startNumber, hooks callbacks);
    ~peer_network();
    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;

    /// Starts accepting links from peers.
    /// @param local address to listen on.
    /// @return whether it is listening; if not, getLastError() gives the reason with error_kind::BadSettings.
    bool listen(const address& local);

    /// Opens a link. onLinkUp() or onLinkDown() follows.
    /// @param link id of the new link.
    /// @param peerAddress address on which the peer accepts links, as `host:port`.
    void dial(link_id link, const std::string& peerAddress);

    /// Sends a message. It is discarded if the link is not up.
    void send(link_id link, const std::string& bytes);

    /// Closes a link. onLinkDown() is not called for it.
    void close(link_id link);

    /// Stops listening and closes all links.
    void stop();

    /// @return the number of connections that were refused: the other side was not authenticated in time, its
    /// handshake was invalid, its link was not accepted, or too many connections were unauthenticated.
    std::uint64_t getRefusedCount() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace fuchsiagauge
