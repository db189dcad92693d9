#pragma once

#include "core/fleet_view.h"
#include "core/preset.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace fuchsiagauge {

/// A value with a single writer and any number of readers, which notifies observers of changes.
template <typename Value> class observable_value {
public:
    using observer = std::function<void(const Value&)>;

    /// @return the current value.
    const Value& get() const { return *m_value; }

    /// @return the current value, which stays valid for as long as the returned pointer is held.
    std::shared_ptr<const Value> getShared() const { return m_value; }

    /// Replaces the value and notifies the observers.
    void set(Value value)
    {
        m_value = std::make_shared<const Value>(std::move(value));
        for (const auto& observe : m_observers)
            observe(*m_value);
    }

    /// Registers a callback that is called after each call of set().
    void addObserver(observer observe) { m_observers.push_back(std::move(observe)); }

private:
    std::shared_ptr<const Value> m_value = std::make_shared<const Value>();
    std::vector<observer> m_observers;
};

/// The configuration that the node currently applies.
struct active_configuration {
    std::uint64_t revision = 0; ///< 0: built-in defaults.
    std::string digest; ///< Digest of the document bytes.
    preset_document document { "default", { { "default", preset { "default", {}, {}, {}, {} } } } };

    /// @return the active preset.
    const preset& getPreset() const { return document.getActivePreset(); }
};

/// State of the node's own target as last observed.
struct target_status {
    bool isLeaving = false; ///< The target is draining or the node is leaving; no new requests.
    bool isHealthy = true; ///< As reported by the target's health endpoint; only a hint.
    bool isReachable = true; ///< Whether the last connection attempt succeeded.
    int publishedSlots = 0; ///< Number of requests that the target runs at once; 0: not published.
    int publishedQueue = 0; ///< Queue length that the target publishes.
};

/// Share of the inter-region link bandwidth that this node may use.
struct link_share {
    double bytesPerSecond = 0;
    double demandBytesPerSecond = 0; ///< Rate at which this node has data to send.
};

/// State shared between the controllers of a node. Each controller reads all entries and writes only its own.
struct shared_state {
    observable_value<active_configuration> configuration; ///< Written by the configuration controller.
    observable_value<fleet_view> fleet; ///< Written by the membership controller.
    observable_value<target_status> target; ///< Written by the target controller.
    observable_value<link_share> link; ///< Written by the link controller.
};

} // namespace fuchsiagauge
