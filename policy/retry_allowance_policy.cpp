#include "policy/retry_allowance_policy.h"

#include <algorithm>
#include <utility>

namespace fuchsiagauge {

retry_allowance_policy::retry_allowance_policy(grant_hook getGrant)
    : m_getGrant(std::move(getGrant))
{
}

int retry_allowance_policy::grantHalf(int remaining) { return (remaining + 1) / 2; }

void retry_allowance_policy::open(const std::string& attemptId, int allowance)
{
    m_entries.emplace(attemptId, entry { std::max(0, allowance), 0 });
}

std::optional<int> retry_allowance_policy::beginAttempt(const std::string& attemptId, bool isRetry)
{
    const auto found = m_entries.find(attemptId);
    if (found == m_entries.end())
        return isRetry ? std::nullopt : std::optional<int>(0);
    auto& requestEntry = found->second;
    if (isRetry && requestEntry.remaining == 0)
        return std::nullopt;
    if (isRetry)
        --requestEntry.remaining;
    const int grantedRetries = std::clamp(m_getGrant(requestEntry.remaining), 0, requestEntry.remaining);
    requestEntry.remaining -= grantedRetries;
    requestEntry.outstanding += grantedRetries;
    return grantedRetries;
}

void retry_allowance_policy::endAttempt(
    const std::string& attemptId, int grantedRetries, std::optional<int> unspent)
{
    const auto found = m_entries.find(attemptId);
    if (found == m_entries.end())
        return;
    auto& requestEntry = found->second;
    const int returned = std::clamp(grantedRetries, 0, requestEntry.outstanding);
    requestEntry.outstanding -= returned;
    requestEntry.remaining += std::clamp(unspent.value_or(0), 0, returned);
}

int retry_allowance_policy::close(const std::string& attemptId)
{
    const auto found = m_entries.find(attemptId);
    if (found == m_entries.end())
        return 0;
    const int unspent = found->second.remaining;
    m_entries.erase(found);
    return unspent;
}

} // namespace fuchsiagauge
