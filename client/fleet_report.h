#pragma once

#include "core/address.h"
#include "core/node_status.h"

#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// Result of fetching the status of one node.
struct node_status_result {
    address node; ///< Admin address.
    std::optional<node_status> status; ///< Empty if the node did not answer or its response can't be parsed.
    std::string failure; ///< Why there is no status; empty if there is one.
};

/// A problem that an operator should know about.
struct fleet_problem {
    std::string subject; ///< Instance, address of a node without a status, or `fleet`.
    std::string sentence; ///< Description of the problem.

    friend bool operator==(const fleet_problem& a, const fleet_problem& b)
    {
        return a.subject == b.subject && a.sentence == b.sentence;
    }
    friend bool operator!=(const fleet_problem& a, const fleet_problem& b) { return !(a == b); }
};

/// Combined status of the queried nodes.
struct fleet_report {
    std::uint64_t newestRevision = 0;
    std::string preset; ///< Name of the preset in force at the newest revision.
    std::size_t outdatedCount = 0; ///< Nodes with an older revision.
    std::size_t unreachedCount = 0; ///< Nodes without a status.
    /// Sorted by region, zone and instance; nodes without a status last.
    std::vector<node_status_result> results;
    std::vector<fleet_problem> problems;
};

/// Builds the report: finds nodes with an older revision, network partitions and other problems.
/// @param results one for each queried node.
fleet_report makeFleetReport(std::vector<node_status_result> results);

/// @return the report as human-readable text.
std::string formatFleetReport(const fleet_report& report);

/// @return the report as one JSON object that includes the status of every node.
std::string formatFleetReportAsJson(const fleet_report& report);

/// Computes request rates from two reports of the same nodes.
/// @param before the older report.
/// @param after the newer report.
/// @param elapsed time between them.
/// @return a text table with the requests per second of each service and class.
std::string formatRates(const fleet_report& before, const fleet_report& after, milliseconds elapsed);

/// @return the rates of formatRates() as a JSON array of objects.
std::string formatRatesAsJson(const fleet_report& before, const fleet_report& after, milliseconds elapsed);

} // namespace fuchsiagauge
