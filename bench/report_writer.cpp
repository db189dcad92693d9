#include "bench/report_writer.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace fuchsiagauge::bench {
namespace {

    using json = nlohmann::json;

    constexpr double noOverload = -2; // Result of computeGroupRecoveryS() without a phase of overload.

    json formatLatency(const latency_summary& latency)
    {
        return { { "count", latency.count }, { "p50", latency.p50 }, { "p90", latency.p90 },
            { "p99", latency.p99 }, { "max", latency.max } };
    }

    /// @return the times at which a phase begins or ends, and the start and end of the run, in seconds.
    std::set<double> getPhaseBoundaries(const experiment& plan)
    {
        std::set<double> boundaries { 0, plan.durationS };
        for (const auto& phase : plan.phases) {
            boundaries.insert(std::min(phase.fromS, plan.durationS));
            boundaries.insert(std::min(phase.toS, plan.durationS));
        }
        return boundaries;
    }

    json formatPhases(const experiment& plan, const group_report& group)
    {
        auto phases = json::array();
        const auto boundaries = getPhaseBoundaries(plan);
        for (auto begin = boundaries.begin(); std::next(begin) != boundaries.end(); ++begin) {
            const auto end = *std::next(begin);
            const auto offered = group.getOfferedTimeline().getRate(*begin, end);
            const auto served = group.getServedByArrivalTimeline().getRate(*begin, end);
            phases.push_back({ { "from_s", *begin }, { "to_s", end }, { "offered_per_s", offered },
                { "goodput_per_s", group.getGoodputTimeline().getRate(*begin, end) },
                { "served_share", offered > 0 ? served / offered : 1 } });
        }
        return phases;
    }

    json formatGroup(const experiment& plan, const group_report& group)
    {
        return {
            { "name", group.getName() },
            { "class", group.getClassName() },
            { "offered", group.getOffered() },
            { "sends", group.getSends() },
            { "most_sends", group.getMaxSends() },
            { "whole", group.getCount(request_verdict::Succeeded) },
            { "late", group.getCount(request_verdict::Late) },
            { "wrong", group.getCount(request_verdict::Wrong) },
            { "failed", group.getCount(request_verdict::Failed) },
            { "answered", group.getCount(run_outcome::Answered) },
            { "not_run", group.getCount(run_outcome::NotRun) },
            { "unknown", group.getCount(run_outcome::Unknown) },
            { "errors", group.getErrors() },
            { "send_errors", group.getSendErrors() },
            { "faults", group.getMismatches() },
            { "ticket_states", group.getTicketStates() },
            { "latency_ms", formatLatency(group.getLatency()) },
            { "slot_s", group.getGoodputTimeline().getSlotS() },
            { "offered_timeline", group.getOfferedTimeline().getCounts() },
            { "goodput_timeline", group.getGoodputTimeline().getCounts() },
            { "served_by_arrival_timeline", group.getServedByArrivalTimeline().getCounts() },
            { "phases", formatPhases(plan, group) },
            { "recovery_s", computeGroupRecoveryS(plan, group) },
        };
    }

    std::string formatErrors(const std::map<std::string, std::uint64_t>& errors)
    {
        std::ostringstream out;
        for (const auto& [code, count] : errors)
            out << (out.tellp() > 0 ? ", " : "") << code << ' ' << count;
        return out.str();
    }

    void writeRow(std::ostream& out, const experiment& plan, const group_report& group)
    {
        const auto latency = group.getLatency();
        const auto succeeded = group.getCount(request_verdict::Succeeded);
        out << std::left << std::setw(16) << group.getName() << std::right << std::fixed
            << std::setprecision(1) << std::setw(9) << group.getOffered() << std::setw(9) << succeeded
            << std::setw(7) << group.getCount(request_verdict::Late) << std::setw(7)
            << group.getCount(request_verdict::Wrong) << std::setw(8)
            << group.getCount(request_verdict::Failed) << std::setw(9) << group.getCount(run_outcome::Unknown)
            << std::setw(10) << static_cast<double>(succeeded) / plan.durationS << std::setw(9) << latency.p50
            << std::setw(9) << latency.p99 << std::setw(9) << latency.max;
        const auto recovery = computeGroupRecoveryS(plan, group);
        if (recovery == noOverload)
            out << std::setw(10) << '-';
        else if (recovery < 0)
            out << std::setw(10) << "never";
        else
            out << std::setw(9) << std::setprecision(2) << recovery << 's';
        out << "  " << formatErrors(group.getErrors()) << '\n';
    }

} // namespace

double computeGroupRecoveryS(const experiment& plan, const group_report& group)
{
    recovery_criterion criterion;
    criterion.baselineFromS = plan.warmUpS;
    criterion.baselineToS = plan.durationS;
    criterion.overloadEndS = noOverload;
    criterion.runEndS = plan.durationS;
    for (const auto& phase : plan.phases) {
        if (phase.factor <= 1)
            continue;
        criterion.baselineToS = std::min(criterion.baselineToS, phase.fromS);
        criterion.overloadEndS = std::max(criterion.overloadEndS, phase.toS);
    }
    if (criterion.overloadEndS < 0)
        return noOverload;
    return computeRecoveryS(group.getGoodputTimeline(), criterion);
}

std::string formatReportJson(const experiment_report& report)
{
    auto groups = json::array();
    for (const auto& group : report.groups)
        groups.push_back(formatGroup(report.plan, group));
    const json result { { "seed", report.plan.seed }, { "duration_s", report.plan.durationS },
        { "groups", groups } };
    return result.dump(1) + '\n';
}

std::string formatReportTable(const experiment_report& report)
{
    std::ostringstream out;
    out << "group             offered    whole   late  wrong  failed  unknown whole/s    p50 ms   p99 ms   "
           "max ms  "
           "recovery  errors\n";
    for (const auto& group : report.groups)
        writeRow(out, report.plan, group);
    return out.str();
}

} // namespace fuchsiagauge::bench
