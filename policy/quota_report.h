#pragma once

#include "core/clock.h"

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <vector>

namespace fuchsiagauge {

/// Shares of limits are counted in whole millionths, so that sender and receiver count the same.
constexpr std::uint32_t wholeShare = 1000000;
/// Requests are counted in thousandths in messages.
constexpr double creditUnit = 1000;

/// Durations of the exchange of shares for a number of nodes.
struct quota_timing {
    milliseconds renewal { 480 }; ///< Interval of the reports of a node.
    milliseconds grant { 600 }; ///< How long a share granted by the coordinator may be used.
    milliseconds loan { 1700 }; ///< How long a share is lent to the coordinator: the longest lease.

    /// @return the durations for a fleet; above 150 nodes they grow, so that one coordinator suffices.
    static quota_timing make(double nodeCount)
    {
        constexpr double largestUnstretched = 150;
        const double stretch = std::max(1.0, nodeCount / largestUnstretched);
        quota_timing timing;
        timing.renewal = timing.renewal * stretch;
        timing.grant = timing.grant * stretch;
        timing.loan = timing.loan * stretch;
        return timing;
    }
};

/// A point in time of a coordinator's process, which lenders return with their loans.
struct quota_stamp {
    std::uint32_t process = 0; ///< Random number of the process; 0: no stamp.
    std::uint64_t sentAtMs = 0; ///< Time of that process' clock, in milliseconds.

    friend bool operator==(const quota_stamp& a, const quota_stamp& b)
    {
        return std::tie(a.process, a.sentAtMs) == std::tie(b.process, b.sentAtMs);
    }
    friend bool operator!=(const quota_stamp& a, const quota_stamp& b) { return !(a == b); }
};

/// What a node lends and needs of one organisation's limit.
struct quota_need {
    std::uint32_t organisation = 0; ///< Index among the sorted organisations with a limit.
    std::uint32_t loan = 0; ///< Share lent, in millionths.
    std::uint32_t credit = 0; ///< Requests that the lender no longer admits, in thousandths.
    std::uint32_t demand = 0; ///< Requests per second beyond the share kept, in hundredths.
    std::uint32_t waiting = 0; ///< Requests that wait for an answer.

    friend bool operator==(const quota_need& a, const quota_need& b)
    {
        return std::tie(a.organisation, a.loan, a.credit, a.demand, a.waiting)
            == std::tie(b.organisation, b.loan, b.credit, b.demand, b.waiting);
    }
    friend bool operator!=(const quota_need& a, const quota_need& b) { return !(a == b); }
};

/// A node's report to the coordinator.
struct quota_report {
    std::uint32_t table = 0; ///< Hash of the names that the indices stand for.
    std::uint32_t process = 0; ///< Random number of the sender's process.
    std::uint64_t number = 0; ///< Rises with each report of a process.
    quota_stamp stamp; ///< The latest of the coordinator.
    std::uint32_t loanMs = 0; ///< Length of the loans from the stamp on.
    bool isUrgent = false; ///< Contains only organisations whose requests wait, and no loans.
    std::vector<quota_need> needs;

    friend bool operator==(const quota_report& a, const quota_report& b)
    {
        return std::tie(a.table, a.process, a.number, a.stamp, a.loanMs, a.isUrgent, a.needs)
            == std::tie(b.table, b.process, b.number, b.stamp, b.loanMs, b.isUrgent, b.needs);
    }
    friend bool operator!=(const quota_report& a, const quota_report& b) { return !(a == b); }
};

/// What a coordinator grants of one organisation's limit.
struct quota_grant {
    std::uint32_t organisation = 0; ///< As in quota_need.
    std::uint32_t share = 0; ///< In millionths.
    std::uint32_t credit = 0; ///< Requests that come with the share, in thousandths.
    std::uint32_t requests = 0; ///< Waiting requests that may run now, in addition.
    std::uint32_t waitMs = 0; ///< When requests that got nothing could be granted.

    friend bool operator==(const quota_grant& a, const quota_grant& b)
    {
        return std::tie(a.organisation, a.share, a.credit, a.requests, a.waitMs)
            == std::tie(b.organisation, b.share, b.credit, b.requests, b.waitMs);
    }
    friend bool operator!=(const quota_grant& a, const quota_grant& b) { return !(a == b); }
};

/// A coordinator's answer to a report, or its call for reports, which has no grants.
struct quota_answer {
    std::uint32_t table = 0; ///< As in quota_report.
    quota_stamp stamp;
    std::uint32_t grantMs = 0; ///< Length of the grants from the sending of the report on.
    std::vector<std::uint32_t> active; ///< Sorted indices of the organisations whose shares are needed.
    std::vector<quota_grant> grants;

    friend bool operator==(const quota_answer& a, const quota_answer& b)
    {
        return std::tie(a.table, a.stamp, a.grantMs, a.active, a.grants)
            == std::tie(b.table, b.stamp, b.grantMs, b.active, b.grants);
    }
    friend bool operator!=(const quota_answer& a, const quota_answer& b) { return !(a == b); }
};

} // namespace fuchsiagauge
