#include "node/cancel_scope.h"

#include <utility>

namespace fuchsiagauge {

std::uint64_t cancel_scope::add(hook onCancel)
{
    const auto id = m_nextId++;
    if (m_isCancelled)
        onCancel();
    else
        m_hooks.emplace(id, std::move(onCancel));
    return id;
}

void cancel_scope::cancel()
{
    if (m_isCancelled)
        return;
    m_isCancelled = true;
    const auto hooks = std::move(m_hooks);
    m_hooks.clear();
    for (const auto& [id, onCancel] : hooks)
        onCancel();
}

cancel_registration::cancel_registration(cancel_scope& scope, cancel_scope::hook onCancel)
    : m_scope(scope)
    , m_id(scope.add(std::move(onCancel)))
{
}

cancel_registration::~cancel_registration() { m_scope.remove(m_id); }

} // namespace fuchsiagauge
