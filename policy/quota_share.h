#pragma once

#include "core/organisation.h"
#include "policy/lease_record.h"
#include "policy/quota_report.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace fuchsiagauge {

/// The shares of the organisations' limits that one node may use.
///
/// Each organisation has a bucket whose rate and burst are the node's share of the limit: its own share
/// without what it has lent, and what it has borrowed. A bucket never holds more than its share of the burst,
/// so the tokens of all nodes together never exceed the burst. Organisations are named by their index in the
/// limits.
class quota_share {
public:
    /// Adopts limits; organisations that were known before keep their shares.
    /// @param limits organisations with a limit, sorted by name.
    void setLimits(milliseconds now, const std::vector<organisation>& limits);

    /// Sets the node's own share of each limit, in millionths; 0 while it must not be used.
    void setOwnShare(milliseconds now, std::uint32_t share);

    /// Discards all tokens, after a time in which the process did not run.
    void discardTokens(milliseconds now);

    /// Counts a request, whether or not it is admitted.
    void countDemand(milliseconds now, std::size_t organisation);

    /// Takes a token for a request.
    /// @return whether there was one.
    bool tryTake(milliseconds now, std::size_t organisation);

    /// Returns the token of a request that has not run. What exceeds the bucket is kept for the coordinator.
    void giveBack(milliseconds now, std::size_t organisation);

    /// @param ahead number of requests that are to be admitted before.
    /// @return the time until a request is admitted if no other one arrives; a very long time if the share is
    /// too small for a whole request.
    milliseconds getWait(milliseconds now, std::size_t organisation, std::size_t ahead);

    /// Describes what the node needs of an organisation's limit and lends what it doesn't need. A regular
    /// report without demand gives up what was granted, and the tokens go back with it.
    /// @param number number of the report, which rises.
    /// @param lendUntil the end of loans; null: nothing is lent.
    /// @return loan, credit and demand; the loan is locked until its end.
    quota_need report(milliseconds now, std::size_t organisation, std::uint64_t number, bool isRegular,
        const milliseconds* lendUntil);

    /// @return whether the node needs more than its own share of an organisation's limit.
    bool needsMore(milliseconds now, std::size_t organisation);

    /// Uses a granted share instead of the one granted before, unless it was given up since.
    /// @param number number of the report that the grant answers.
    void applyGrant(milliseconds now, const quota_grant& grant, std::uint64_t number, milliseconds until);

    /// Accounts for shares that have ended. Must be called every 100 ms or more often.
    void tick(milliseconds now);

    std::size_t getCount() const { return m_buckets.size(); }
    double getUsableShare(milliseconds now, std::size_t organisation) const; ///< In whole limits.
    double getLentShare(milliseconds now) const; ///< Sum over the organisations, in whole limits.
    double getBorrowedShare(milliseconds now) const; ///< Sum over the organisations, in whole limits.

private:
    struct bucket {
        organisation limit;
        double tokens = 0;
        double returned = 0; ///< Tokens given back that the bucket could not hold.
        milliseconds settledAt;
        std::uint32_t share = 0; ///< In use when last settled.
        std::uint32_t granted = 0;
        milliseconds grantedUntil { -1 };
        std::uint64_t grantsFrom = 0; ///< Grants that answer earlier reports have been given up.
        lease_record lent;
        bool hasLeases = false; ///< Something is lent or granted, so the share can change with time.
        double demand = 0; ///< Requests per second when last counted.
        milliseconds demandAt;

        double getCapacity() const;
    };

    std::uint32_t getKept(milliseconds now, const bucket& owner) const;
    std::uint32_t getShare(milliseconds now, const bucket& owner) const;
    std::uint32_t getNeededShare(milliseconds now, const bucket& owner) const;
    void settle(milliseconds now, bucket& owner);
    static double getDemand(milliseconds now, const bucket& owner);
    double getUnmetDemand(milliseconds now, const bucket& owner) const;

    std::uint32_t m_ownShare = 0;
    std::vector<bucket> m_buckets;
};

} // namespace fuchsiagauge
