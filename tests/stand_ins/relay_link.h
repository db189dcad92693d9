#pragma once

#include "core/address.h"
#include "core/document_reader.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace fuchsiagauge::stand_in {

/// Direction of traffic on a link.
enum class link_direction {
    Forward, ///< From the connecting side to the destination; the opposite if the route is reversed.
    Back,
};

/// Simulated network conditions of a link; they apply to all routes with the link's name.
struct link_conditions {
    bool isCut = false; ///< Closes open connections and refuses new ones.
    bool isBlackhole = false; ///< Keeps connections open but delivers no bytes.
    double delayMs = 0; ///< Delay in each direction.
    double bytesPerSecond = 0; ///< Limit of each direction, shared by all connections; 0: no limit.
};

/// Computes the send times of bytes on a link with a limited byte rate.
class link_pacer {
public:
    /// @param bytes number of bytes to send.
    /// @param bytesPerSecond byte rate of the link; 0: no limit.
    /// @param nowMs the current time in milliseconds.
    /// @return the time in milliseconds at which the last byte has been sent.
    double scheduleSend(std::size_t bytes, double bytesPerSecond, double nowMs);

private:
    double m_freeAtMs = 0; ///< Time at which all scheduled bytes have been sent.
};

/// A named link: conditions, byte counts and open connections of all routes with that name.
class relay_link {
public:
    struct connection;

    const link_conditions& getConditions() const { return m_conditions; }

    /// Sets the conditions. A cut closes the open connections, and the listeners until it ends.
    void setConditions(const link_conditions& conditions);

    /// Counts bytes and schedules their delivery by the link's byte rate and delay.
    /// @param direction direction of the bytes.
    /// @param bytes number of bytes.
    /// @param nowMs the current time in milliseconds.
    /// @return the time in milliseconds at which the bytes are due.
    double scheduleDelivery(link_direction direction, std::size_t bytes, double nowMs);

    /// Registers a function that opens or closes a listener; called whenever a cut starts or ends.
    void addListener(std::function<void(bool isOpen)> listener)
    {
        m_listeners.push_back(std::move(listener));
    }

    void addConnection(const std::shared_ptr<connection>& opened) { m_connections.insert(opened); }
    void removeConnection(const std::shared_ptr<connection>& closed) { m_connections.erase(closed); }
    std::size_t getConnectionCount() const { return m_connections.size(); }

    std::uint64_t getBytes(link_direction direction) const
    {
        return m_bytes[static_cast<std::size_t>(direction)];
    }

private:
    link_conditions m_conditions;
    link_pacer m_pacers[2];
    std::uint64_t m_bytes[2] = { 0, 0 };
    std::set<std::shared_ptr<connection>> m_connections;
    std::vector<std::function<void(bool isOpen)>> m_listeners;
};

/// Reads the keys that are present; conditions without a key keep their previous values.
/// @return the new conditions.
link_conditions readLinkConditions(document_reader& reader, const link_conditions& previous);

/// A listening address and the destination to which its connections are relayed.
struct relay_route {
    address listen; ///< Address to which callers connect.
    address to; ///< Address of the destination.
    /// Whether callers are at the far end of the link, so that their bytes travel in direction Back.
    bool isReversed = false;
};

/// Listens on the address of a route and relays its connections over a link.
/// @param context I/O context that runs the connections.
/// @param route the route.
/// @param link the link; must exist for as long as the context runs.
void serveRoute(boost::asio::io_context& context, const relay_route& route, relay_link& link);

} // namespace fuchsiagauge::stand_in
