#pragma once

#include "policy/retry_policy.h"

#include <functional>
#include <unordered_map>

namespace fuchsiagauge {

/// Splits each request's retry allowance among its outgoing attempts.
///
/// An allowance is split and never copied: retries granted to an attempt are subtracted from the entry of the
/// request, and the unspent ones return only with the response. The retries in a whole call tree therefore
/// never exceed the allowance granted at the edge.
class retry_allowance_policy : public retry_policy {
public:
    /// Returns the part of the remaining allowance to grant to an attempt; the result is clamped to the
    /// range from 0 to `remaining`.
    using grant_hook = std::function<int(int remaining)>;

    /// @param getGrant decides how many retries to grant to an attempt.
    explicit retry_allowance_policy(grant_hook getGrant = grantHalf);

    /// @return half of the remaining allowance, rounded up so that the last retry reaches the deepest level.
    static int grantHalf(int remaining);

    /// Registers a request; a second registration with the same id is ignored.
    void open(const std::string& attemptId, int allowance) override;

    /// For an id that is not registered, allows first attempts with no retries granted, and refuses retries.
    std::optional<int> beginAttempt(const std::string& attemptId, bool isRetry) override;

    /// Returns at most the outstanding retries to the allowance; a lost response returns none.
    void endAttempt(const std::string& attemptId, int grantedRetries, std::optional<int> unspent) override;

    int close(const std::string& attemptId) override;

    /// @return the number of registered requests.
    std::size_t getSize() const { return m_entries.size(); }

private:
    struct entry {
        int remaining = 0;
        int outstanding = 0; ///< Granted to attempts that have not ended.
    };

    grant_hook m_getGrant;
    std::unordered_map<std::string, entry> m_entries;
};

} // namespace fuchsiagauge
