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

/// One entry of the blackboard: a value with one writer and any number of readers.
template <typename Value> class board_entry {
public:
    using observer = std::function<void(const Value&)>;

    /// @return the value written last.
    const Value& get() const { return *m_value; }

    /// @return the value written last, kept alive for as long as the caller holds it.
    std::shared_ptr<const Value> share() const { return m_value; }

    /// Writes a value and tells the observers.
    void set(Value value)
    {
        m_value = std::make_shared<const Value>(std::move(value));
        for (const auto& observe : m_observers)
            observe(*m_value);
    }

    /// Registers a hook that is called after each write.
    void addObserver(observer observe) { m_observers.push_back(std::move(observe)); }

private:
    std::shared_ptr<const Value> m_value = std::make_shared<const Value>();
    std::vector<observer> m_observers;
};

/// The configuration that the node acts on.
struct configuration_in_force {
    std::uint64_t revision = 0; ///< 0: the node's own defaults.
    std::string digest; ///< Digest of the document's bytes.
    preset_document document { "default", { { "default", preset { "default", {}, {}, {}, {} } } } };

    /// @return the rules in force.
    const preset& getPreset() const { return document.getActivePreset(); }
};

/// What the node knows of its own target.
struct target_status {
    bool isLeaving = false; ///< Takes no new work.
    bool isHealthy = true; ///< As its health endpoint says; a hint only.
    bool isReachable = true; ///< Whether the last connection attempt succeeded.
    int publishedSlots = 0; ///< 0: not published.
    int publishedQueue = 0;
};

/// Share of the link between regions that this node may use.
struct link_share {
    double bytesPerSecond = 0;
    double demandBytesPerSecond = 0; ///< What this node wants to send.
};

/// The node's shared state: controllers read it and write their own entry.
struct blackboard {
    board_entry<configuration_in_force> configuration; ///< Written by the configuration controller.
    board_entry<fleet_view> fleet; ///< Written by the membership controller.
    board_entry<target_status> target; ///< Written by the target controller.
    board_entry<link_share> link; ///< Written by the link controller.
};

} // namespace fuchsiagauge
