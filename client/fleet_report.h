#pragma once

#include "core/address.h"
#include "core/node_status.h"

#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// What one node answered.
struct node_status_result {
    address node; ///< Admin address.
    std::optional<node_status> status; ///< Empty: it did not answer, or not in a form that can be read.
    std::string failure; ///< Why there is no status.
};

/// Something that an operator should know.
struct fleet_problem {
    std::string subject; ///< Instance, or address of a node that did not answer.
    std::string sentence;

    friend bool operator==(const fleet_problem& a, const fleet_problem& b)
    {
        return a.subject == b.subject && a.sentence == b.sentence;
    }
    friend bool operator!=(const fleet_problem& a, const fleet_problem& b) { return !(a == b); }
};

/// The answers of many nodes, put together.
struct fleet_report {
    std::uint64_t newestRevision = 0;
    std::string preset; ///< Preset in force at the newest revision.
    std::size_t outdatedCount = 0; ///< Nodes with an older revision.
    std::size_t unreachedCount = 0; ///< Nodes without a status.
    std::vector<node_status_result> results; ///< By region, zone and instance; the unreached last.
    std::vector<fleet_problem> problems;
};

/// Puts the answers together: who is behind, on which side of a cut, and why.
/// @param answers one for each node asked.
fleet_report makeFleetReport(std::vector<node_status_result> results);

/// @return the report for people.
std::string formatFleetReport(const fleet_report& report);

/// @return the report as one JSON object, with every node's status.
std::string formatFleetReportAsJson(const fleet_report& report);

/// Rates between two reports of the same nodes, for a refreshing view.
/// @param before the older report.
/// @param after the newer report.
/// @param elapsed time between them.
/// @return a table of requests a second by service and class.
std::string formatRates(const fleet_report& before, const fleet_report& after, milliseconds elapsed);

/// @return the rates as a JSON list of objects.
std::string formatRatesAsJson(const fleet_report& before, const fleet_report& after, milliseconds elapsed);

} // namespace fuchsiagauge
