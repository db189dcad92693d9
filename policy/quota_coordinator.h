#pragma once

#include "core/organisation.h"
#include "policy/lease_record.h"
#include "policy/quota_report.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fuchsiagauge {

/// Lends the shares that nodes have lent to this one to the nodes that need them.
///
/// What it grants is always backed by loans that end later. It counts each loan from its own stamp and each
/// grant from the handling of the report, so that the lender counts later and the borrower earlier.
class quota_coordinator {
public:
    /// @param process random number of this process, not 0.
    explicit quota_coordinator(std::uint32_t process);

    /// Adopts limits; organisations that were known before keep their loans and grants.
    /// @param limits organisations with a limit, sorted by name.
    /// @param table hash of the names.
    void setLimits(milliseconds now, const std::vector<organisation>& limits, std::uint32_t table);

    /// Sets the durations for new grants.
    void setTiming(const quota_timing& timing) { m_timing = timing; }

    /// Handles a report.
    /// @param node the node that has sent it.
    quota_answer handleReport(milliseconds now, const std::string& node, const quota_report& report);

    /// @return the call to nodes that have not reported of late, or nothing while no share is needed.
    std::optional<quota_answer> makeCall(milliseconds now);

    /// @return whether a node has reported within two intervals.
    bool hasHeardOf(milliseconds now, const std::string& node) const;

    /// @return whether an organisation has become active since the last call.
    bool takeActivation() { return std::exchange(m_hasActivation, false); }

    /// Accounts for loans and grants that have ended. Must be called every 100 ms or more often.
    void tick(milliseconds now);

    /// @return the share of all limits that is granted at present, in whole limits.
    double getGrantedShare() const;

private:
    /// What one node lends and borrows of one organisation's limit.
    struct row {
        std::uint32_t loan = 0;
        std::uint32_t demand = 0; ///< As in quota_need.
        lease_record granted;
        std::uint32_t counted = 0; ///< Part of the grants in the sum of the organisation.
        std::uint32_t latestGrant = 0;
        milliseconds latestGrantUntil;
    };

    struct node_state {
        std::uint32_t process = 0;
        std::uint32_t previousProcess = 0;
        std::uint64_t number = 0;
        milliseconds heardAt;
        milliseconds demandAt; ///< Of the last report that was not urgent.
        milliseconds loansUntil; ///< From then on the loans back no new grant.
        std::vector<row> rows;
    };

    /// Shares and tokens of one organisation that are neither granted nor in use.
    struct pool {
        organisation limit;
        std::uint64_t lent = 0; ///< Sum of the loans.
        std::uint64_t granted = 0; ///< Sum of the grants.
        double demand = 0; ///< Sum of the demands, in requests per second.
        double demandRoots = 0; ///< Sum of the square roots of the demands.
        double asked = 0; ///< Requests per second that nodes have asked for singly, when last counted.
        milliseconds askedAt;
        double tokens = 0;
        std::uint64_t freeShare = 0; ///< When last settled.
        milliseconds settledAt;
        std::deque<std::pair<double, milliseconds>> credits; ///< Granted requests that may still run.
        double creditSum = 0;
        std::optional<milliseconds> neededAt; ///< When a node last had demand.

        std::uint64_t getFree() const { return lent > granted ? lent - granted : 0; }
        double getCapacity() const;
        double getAsked(milliseconds now) const;
    };

    bool accept(milliseconds now, node_state& sender, const quota_report& report) const;
    void applyLoans(milliseconds now, node_state& sender, const quota_report& report);
    void setLoan(milliseconds now, pool& owner, row& entry, std::uint32_t loan);
    static void setDemand(pool& owner, row& entry, std::uint32_t demand);
    void updateGranted(milliseconds now, pool& owner, row& entry);
    quota_grant grant(milliseconds now, const quota_need& need, row& entry);
    std::uint32_t findTarget(milliseconds now, const pool& owner, const row& entry) const;
    double grantRequests(milliseconds now, pool& owner, double wanted);
    static void releaseCredits(pool& owner, double count);
    void settle(milliseconds now, pool& owner) const;
    bool isActive(milliseconds now, const pool& owner) const;
    quota_stamp makeStamp(milliseconds now) const;
    std::vector<std::uint32_t> findActive(milliseconds now) const;

    std::uint32_t m_process;
    std::uint32_t m_table = 0;
    quota_timing m_timing;
    std::vector<pool> m_pools;
    std::map<std::string, node_state> m_nodes;
    milliseconds m_tickedAt;
    bool m_hasActivation = false;
};

} // namespace fuchsiagauge
