#pragma once

#include "core/clock.h"

#include <cstdint>
#include <vector>

namespace fuchsiagauge {

/// Amounts that have been lent to one borrower, each until its own end.
///
/// The lender can't know which of its messages has arrived, so overlapping leases count by the largest.
class lease_record {
public:
    /// Records a lease.
    /// @param amount what is lent, in millionths.
    /// @param until end of the lease.
    void add(std::uint32_t amount, milliseconds until)
    {
        while (!m_leases.empty() && m_leases.back().amount <= amount && m_leases.back().until <= until)
            m_leases.pop_back();
        if (amount > 0)
            m_leases.push_back({ amount, until });
    }

    /// @return the largest amount of the leases that have not ended, in millionths.
    std::uint32_t getAmount(milliseconds now) const
    {
        std::uint32_t largest = 0;
        for (const auto& lease : m_leases) {
            if (lease.until > now && lease.amount > largest)
                largest = lease.amount;
        }
        return largest;
    }

    /// Forgets all leases: the borrower has given them up.
    void clear() { m_leases.clear(); }

    /// Forgets leases that have ended.
    /// @return whether none is left.
    bool prune(milliseconds now)
    {
        std::size_t kept = 0;
        for (const auto& lease : m_leases) {
            if (lease.until > now)
                m_leases[kept++] = lease;
        }
        m_leases.resize(kept);
        return m_leases.empty();
    }

private:
    struct lease {
        std::uint32_t amount = 0;
        milliseconds until;
    };
    std::vector<lease> m_leases; ///< A handful: leases are short and renewed twice or thrice.
};

} // namespace fuchsiagauge
