#pragma once

#include <cstdint>
#include <functional>
#include <map>

namespace fuchsiagauge {

/// Collects the hooks that stop the operations of a call, and calls them when the call is cancelled.
class cancel_scope {
public:
    using hook = std::function<void()>;

    /// Registers a hook. If the scope is already cancelled, calls the hook immediately instead.
    /// @return the id to pass to remove().
    std::uint64_t add(hook onCancel);

    /// Removes a hook; unknown ids are ignored.
    void remove(std::uint64_t id) { m_hooks.erase(id); }

    /// Calls and removes all hooks; later calls have no effect.
    void cancel();

    bool isCancelled() const { return m_isCancelled; }

private:
    std::map<std::uint64_t, hook> m_hooks;
    std::uint64_t m_nextId = 1;
    bool m_isCancelled = false;
};

/// Keeps a hook registered with a scope for the lifetime of the object.
class cancel_registration {
public:
    cancel_registration(cancel_scope& scope, cancel_scope::hook onCancel);
    ~cancel_registration();
    cancel_registration(const cancel_registration&) = delete;
    cancel_registration& operator=(const cancel_registration&) = delete;

private:
    cancel_scope& m_scope;
    std::uint64_t m_id;
};

} // namespace fuchsiagauge
