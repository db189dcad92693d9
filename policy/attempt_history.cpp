#include "policy/attempt_history.h"

#include <algorithm>

namespace fuchsiagauge {
namespace {

    /// Includes attempts that were refused before they reached an instance.
    constexpr std::size_t attemptLimit = 4;

} // namespace

bool isReceivedByInstance(attempt_outcome outcome)
{
    switch (outcome) {
    case attempt_outcome::NoRoom:
    case attempt_outcome::Shed:
    case attempt_outcome::OverBudget:
    case attempt_outcome::Leaving:
    case attempt_outcome::Unreachable:
        return false;
    case attempt_outcome::Answered:
    case attempt_outcome::Rejected:
    case attempt_outcome::Misdirected:
    case attempt_outcome::Lost:
    case attempt_outcome::TimedOut:
        break;
    }
    return true;
}

attempt_history::attempt_history(int maxInstances, bool isIdempotent)
    : m_maxInstances(maxInstances)
    , m_isIdempotent(isIdempotent)
{
}

void attempt_history::onSend(const std::string& instance) { m_triedInstances.push_back(instance); }

void attempt_history::onEnd(attempt_outcome outcome)
{
    if (m_triedInstances.empty() || !isReceivedByInstance(outcome))
        return;
    const auto& instance = m_triedInstances.back();
    if (std::find(m_receivedBy.begin(), m_receivedBy.end(), instance) == m_receivedBy.end())
        m_receivedBy.push_back(instance);
    m_mayHaveRun = m_mayHaveRun || !hasNotRun(outcome);
}

bool attempt_history::mayRetry(attempt_outcome outcome, downstream_failure downstreamFailure) const
{
    if (m_triedInstances.size() >= attemptLimit)
        return false;
    // The downstream services are overloaded or the service's retry budget is used up, so another instance
    // would refuse the request too.
    if (outcome == attempt_outcome::Shed || outcome == attempt_outcome::OverBudget)
        return false;
    const bool mayRetryAtLimit = outcome == attempt_outcome::Rejected && m_isIdempotent;
    if (isInstanceLimitReached() && !mayRetryAtLimit)
        return false;
    // When a downstream call failed, only that call is worth retrying. A retry at this level would repeat all
    // calls made for the request.
    if (downstreamFailure != downstream_failure::None)
        return false;
    return m_isIdempotent || hasNotRun(outcome);
}

std::string attempt_history::getRequiredInstance() const
{
    return m_isIdempotent && isInstanceLimitReached() && !m_mayHaveRun ? m_receivedBy.back() : std::string();
}

bool attempt_history::isInstanceLimitReached() const
{
    return static_cast<int>(m_receivedBy.size()) >= m_maxInstances;
}

} // namespace fuchsiagauge
