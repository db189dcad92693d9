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

/// Direction of bytes through a link.
enum class link_direction {
    Forward, ///< From the side that connects, unless the route is reversed.
    Back,
};

/// How a link behaves; the same for every route of that name.
struct link_conditions {
    bool isCut = false; ///< Closes connections and refuses new ones.
    bool isBlackhole = false; ///< Keeps connections and passes nothing on.
    double delayMs = 0; ///< Each way.
    double bytesPerSecond = 0; ///< Each way, over all connections; 0: no bound.
};

/// Books the instant at which bytes may leave a link with a byte rate.
class link_pacer {
public:
    /// @param bytes bytes to send.
    /// @param bytesPerSecond 0: no bound.
    /// @param nowMs the present instant.
    /// @return the instant at which the last of them has left.
    double scheduleSend(std::size_t bytes, double bytesPerSecond, double nowMs);

private:
    double m_freeAtMs = 0;
};

/// A named link: rules, byte counts and open connections of all routes of that name.
class relay_link {
public:
    struct connection;

    const link_conditions& getConditions() const { return m_conditions; }

    /// Sets the rules; a cut closes the open connections and the listeners until it ends.
    void setConditions(const link_conditions& conditions);

    /// Waits for the link to pass bytes on again, then books their way.
    /// @return the instant at which they arrive.
    double scheduleDelivery(link_direction direction, std::size_t bytes, double nowMs);

    /// Registers a hook that opens or closes a listener of this link.
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

/// Reads the keys that are present and keeps the others.
/// @return the new rules.
link_conditions readLinkConditions(document_reader& reader, const link_conditions& previous);

/// One way over a link.
struct relay_route {
    address listen; ///< Where callers connect.
    address to; ///< Where they are led.
    bool isReversed = false; ///< Whether callers stand at the link's far end, so that they send back.
};

/// Listens and passes connections on over a link.
/// @param context runs the connections.
/// @param route the way.
/// @param link must outlive the context's run.
void serveRoute(boost::asio::io_context& context, const relay_route& route, relay_link& link);

} // namespace fuchsiagauge::stand_in
