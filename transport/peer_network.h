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

/// The node's peer links: WebSocket connections that carry CBOR messages, opened by either side.
///
/// Both sides prove that they know a key of the fleet before either says anything else; the accepting side
/// goes first with a challenge. Lives on one io_context, used from its thread only, and outlives its run.
class peer_network {
public:
    /// What the network tells.
    struct hooks {
        /// A peer opened a link and proved itself; onLinkUp() follows.
        /// @return the link's id, or nothing to refuse it.
        std::function<std::optional<link_id>(const std::string& peer)> acceptLink;
        /// A link is up.
        std::function<void(link_id, const std::string& peer, std::uint64_t startNumber)> onLinkUp;
        /// A link failed or was ended by the peer or the wire; not told for close().
        std::function<void(link_id)> onLinkDown;
        std::function<void(link_id, const std::string& bytes)> onMessage;
    };

    /// Makes a network without links.
    /// @param context the node's io_context.
    /// @param keys the fleet's keys.
    /// @param instance name of this instance.
    /// @param startNumber start number of this node.
    peer_network(boost::asio::io_context& io, const fleet_keys& keys, const std::string& instance,
        std::uint64_t startNumber, hooks callbacks);
    ~peer_network();
    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;

    /// Listens for links.
    /// @return whether it listens; the reason is left in getLastError().
    bool listen(const address& local);

    /// Opens a link; onLinkUp() or onLinkDown() follows.
    void dial(link_id link, const std::string& peerAddress);

    /// Sends a message; a link that is not up drops it.
    void send(link_id link, const std::string& bytes);

    /// Ends a link; onLinkDown() is not told.
    void close(link_id link);

    /// Stops listening and ends all links.
    void stop();

    /// @return connections refused because they did not prove a key of the fleet in time.
    std::uint64_t getRefusedCount() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace fuchsiagauge
