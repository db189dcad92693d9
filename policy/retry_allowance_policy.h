#pragma once

#include "policy/retry_policy.h"

#include <functional>
#include <unordered_map>

namespace fuchsiagauge {

/// Splits each request's retry allowance among its attempts.
///
/// An allowance is split and never copied: what is handed down is taken from the entry, and comes back only
/// with an answer. So the retries over a whole call tree never exceed what the edge granted.
class retry_allowance_policy : public retry_policy {
public:
    /// Share of the remaining allowance to hand down with an attempt; the result is cut to [0, remaining].
    using grant_hook = std::function<int(int remaining)>;

    /// @param getGrant hand-down rule.
    explicit retry_allowance_policy(grant_hook getGrant = grantHalf);

    /// @return half of the remaining allowance, rounded up, so that the last unit travels to the bottom.
    static int grantHalf(int remaining);

    /// A second registration under the same id is ignored.
    void open(const std::string& attemptId, int allowance) override;

    /// Unknown work gets first attempts with nothing to hand down, and no retries.
    std::optional<int> beginAttempt(const std::string& attemptId, bool isRetry) override;

    /// Credits at most what is still outstanding; a lost answer credits nothing.
    void endAttempt(const std::string& attemptId, int grantedRetries, std::optional<int> unspent) override;

    int close(const std::string& attemptId) override;

    /// @return the number of registered entries.
    std::size_t getSize() const { return m_entries.size(); }

private:
    struct entry {
        int remaining = 0;
        int outstanding = 0; ///< Handed down with attempts that are not settled.
    };

    grant_hook m_getGrant;
    std::unordered_map<std::string, entry> m_entries;
};

} // namespace fuchsiagauge
