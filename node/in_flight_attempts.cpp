#include "node/in_flight_attempts.h"

namespace fuchsiagauge {

void in_flight_attempts::add(const call_context& context, milliseconds expiresAt)
{
    auto entry = std::make_shared<in_flight_attempt>();
    entry->context = context;
    entry->expiresAt = expiresAt;
    m_entries[context.attemptId] = std::move(entry);
}

void in_flight_attempts::remove(const std::string& attemptId)
{
    const auto found = m_entries.find(attemptId);
    if (found == m_entries.end())
        return;
    const auto entry = std::move(found->second);
    m_entries.erase(found);
    entry->outgoingCalls.cancel();
}

std::shared_ptr<in_flight_attempt> in_flight_attempts::find(const std::string& attemptId) const
{
    const auto found = m_entries.find(attemptId);
    return found == m_entries.end() ? nullptr : found->second;
}

} // namespace fuchsiagauge
