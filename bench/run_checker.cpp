#include "bench/run_checker.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>
#include <tuple>

namespace fuchsiagauge::bench {
namespace {

    constexpr std::array<const char*, 8> invariantNames {
        "retries-within-bound",
        "catalogue-shed-first",
        "whole-own-answer",
        "not-run-was-not-run",
        "order-runs-at-most-once",
        "no-new-work-while-leaving",
        "planned-stop-cuts-nothing",
        "configuration-never-reverts",
    };
    constexpr char plannedStopFault[] = "planned-stop";
    constexpr char drainFault[] = "drain";

    /// Identifies executions that count as attempts of the same request or order.
    struct execution_key {
        std::string name; ///< Request id set by the edge node, or order id.
        std::string service;
        int depth = 0; ///< 0 for orders.

        friend bool operator<(const execution_key& a, const execution_key& b)
        {
            return std::tie(a.name, a.service, a.depth) < std::tie(b.name, b.service, b.depth);
        }
    };

    /// Requests of one kind in a window, and how many of them were served.
    struct served_count {
        int total = 0;
        int served = 0;

        double getShare() const { return total == 0 ? 0 : static_cast<double>(served) / total; }
    };

    /// Counts for one window of arrival times.
    struct shed_window {
        served_count sheddable;
        served_count nonSheddable;
    };

    /// One start of a node. The revision in force may be lower after a restart, but not within one start.
    struct node_incarnation {
        std::string instance;
        std::uint64_t startNumber;

        friend bool operator<(const node_incarnation& a, const node_incarnation& b)
        {
            return std::tie(a.instance, a.startNumber) < std::tie(b.instance, b.startNumber);
        }
    };

    /// Start and end of one execution in the journal of a target.
    struct target_execution {
        const journal_event* begin;
        const journal_event* end; ///< Null if the journal has no end event.
    };

    bool isExecution(const journal_event& event) { return event.event == "run"; }

    bool isShed(const caller_record& record)
    {
        return record.error == getErrorResponse(error_kind::Shed).name
            || record.error == getErrorResponse(error_kind::QueueTimeout).name;
    }

    /// @return whether the request was ended by the caller or by a time limit.
    bool isTimedOutOrCancelled(const caller_record& record)
    {
        constexpr char callerTimeout[] = "timeout";
        return record.error == callerTimeout
            || record.error == getErrorResponse(error_kind::AnswerTimeout).name
            || record.error == getErrorResponse(error_kind::DeadlineExceeded).name
            || record.error == getErrorResponse(error_kind::Cancelled).name;
    }

    bool isActive(const fault_record& fault, double fromMs, double toMs)
    {
        return fault.startMs <= toMs && (fault.endMs == 0 || fault.endMs >= fromMs);
    }

    class run_checker {
    public:
        run_checker(const run_records& records, const run_bounds& bounds)
            : m_records(records)
            , m_bounds(bounds)
        {
        }

        run_report check()
        {
            countTotals();
            checkRetries();
            checkShedOrder();
            checkResponses();
            checkNotRun();
            checkOrders();
            checkLeaving();
            checkPlannedStops();
            checkRevisions();
            return m_report;
        }

    private:
        void addViolation(invariant violated, const std::string& subject, const std::string& detail)
        {
            m_report.violations.push_back({ violated, subject, detail });
        }

        void countTotals()
        {
            std::set<std::string> orders;
            for (const auto& record : m_records.callerRecords) {
                ++m_report.requests;
                m_report.validResponses += record.isResponseValid ? 1 : 0;
                m_report.answered += record.outcome == run_outcome::Answered ? 1 : 0;
                m_report.notRun += record.outcome == run_outcome::NotRun ? 1 : 0;
                m_report.unknown += record.outcome == run_outcome::Unknown ? 1 : 0;
                if (!record.order.empty())
                    orders.insert(record.order);
            }
            m_report.orders = static_cast<int>(orders.size());
            m_report.executions = static_cast<int>(
                std::count_if(m_records.journal.begin(), m_records.journal.end(), isExecution));
            for (const auto& fault : m_records.faults)
                ++m_report.faultsByKind[fault.kind];
        }

        void checkRetries()
        {
            std::map<execution_key, int> attempts;
            for (const auto& event : m_records.journal) {
                if (isExecution(event) && !event.contextId.empty())
                    ++attempts[{ event.contextId, event.service, event.depth }];
            }
            for (const auto& [key, count] : attempts) {
                m_report.largestAttemptCount = std::max(m_report.largestAttemptCount, count);
                if (count > 1 + m_bounds.retriesPerRequest)
                    addViolation(invariant::RetriesWithinBound, key.name,
                        std::to_string(count) + " runs at " + key.service);
            }
        }

        void checkShedOrder()
        {
            std::map<long long, shed_window> windows;
            for (const auto& record : m_records.callerRecords) {
                auto& window = windows[std::llround(std::floor(record.arrivalMs / m_bounds.shedWindowMs))];
                const bool isSheddable = record.group == m_bounds.sheddableGroup;
                auto& count = isSheddable ? window.sheddable : window.nonSheddable;
                const bool isServed = isSheddable ? record.isResponseValid : !isShed(record);
                ++count.total;
                count.served += isServed ? 1 : 0;
            }
            for (const auto& [number, window] : windows)
                checkShedWindow(number, window);
        }

        void checkShedWindow(long long number, const shed_window& window)
        {
            const auto smallerTotal = std::min(window.sheddable.total, window.nonSheddable.total);
            if (smallerTotal < m_bounds.shedWindowRequests)
                return;
            const auto served = window.sheddable.getShare();
            const auto nonSheddableServed = window.nonSheddable.getShare();
            if (served <= nonSheddableServed + m_bounds.shedShareTolerance)
                return;
            addViolation(invariant::CatalogueShedFirst, "window " + std::to_string(number),
                "served share of sheddable requests " + std::to_string(served)
                    + ", share of other requests not shed " + std::to_string(nonSheddableServed));
        }

        void checkResponses()
        {
            for (const auto& record : m_records.callerRecords) {
                if (!record.responseMismatch.empty())
                    addViolation(invariant::WholeOwnAnswer, record.request, record.responseMismatch);
            }
        }

        void checkNotRun()
        {
            std::map<std::string, const journal_event*> executions;
            for (const auto& event : m_records.journal) {
                if (isExecution(event) && !event.request.empty())
                    executions.emplace(event.request, &event);
            }
            for (const auto& record : m_records.callerRecords) {
                const auto execution = executions.find(record.request);
                if (record.outcome == run_outcome::NotRun && execution != executions.end())
                    addViolation(
                        invariant::NotRunWasNotRun, record.request, "ran at " + execution->second->instance);
            }
        }

        void checkOrders()
        {
            std::map<execution_key, int> executions;
            for (const auto& event : m_records.journal) {
                if (isExecution(event) && !event.order.empty())
                    ++executions[{ event.order, event.service, 0 }];
            }
            for (const auto& [key, count] : executions) {
                if (count > 1)
                    addViolation(invariant::OrderRunsAtMostOnce, key.name,
                        "ran " + std::to_string(count) + " times at " + key.service);
            }
        }

        void checkLeaving()
        {
            for (const auto& fault : m_records.faults) {
                if (fault.kind == plannedStopFault || fault.kind == drainFault)
                    checkLeavingTarget(fault);
            }
        }

        void checkLeavingTarget(const fault_record& leaving)
        {
            const auto graceEndMs = leaving.startMs + m_bounds.leavingGraceMs;
            for (const auto& event : m_records.journal) {
                const bool isLate
                    = event.timeMs > graceEndMs && (leaving.endMs == 0 || event.timeMs < leaving.endMs);
                if (isExecution(event) && event.instance == leaving.instance && isLate)
                    addViolation(invariant::NoNewWorkWhileLeaving, event.instance,
                        event.request + " ran " + std::to_string(event.timeMs - leaving.startMs)
                            + " ms after it began to leave");
            }
        }

        void checkPlannedStops()
        {
            for (const auto& fault : m_records.faults) {
                if (fault.kind != plannedStopFault)
                    continue;
                for (const auto& execution : findExecutionsInFlight(fault))
                    checkExecutionInFlight(fault, execution);
            }
        }

        std::vector<target_execution> findExecutionsInFlight(const fault_record& stop) const
        {
            std::map<std::string, std::vector<target_execution>> executions;
            for (const auto& event : m_records.journal) {
                if (event.instance != stop.instance)
                    continue;
                auto& requestExecutions = executions[event.request + ' ' + event.contextId];
                if (isExecution(event))
                    requestExecutions.push_back({ &event, nullptr });
                else if (!requestExecutions.empty() && !requestExecutions.back().end)
                    requestExecutions.back().end = &event;
            }
            std::vector<target_execution> inFlight;
            for (const auto& [request, requestExecutions] : executions) {
                for (const auto& execution : requestExecutions) {
                    const bool hasEnded = execution.end && execution.end->timeMs < stop.startMs;
                    if (execution.begin->timeMs <= stop.startMs && !hasEnded)
                        inFlight.push_back(execution);
                }
            }
            return inFlight;
        }

        void checkExecutionInFlight(const fault_record& stop, const target_execution& execution)
        {
            const auto* record = findRecord(execution.begin->request);
            if (hasConcurrentFault(stop, execution.begin->timeMs)
                || (record && isTimedOutOrCancelled(*record)))
                return;
            const bool hasFinished = execution.end && execution.end->event != "cancelled";
            const bool isUnknown = record && record->outcome == run_outcome::Unknown;
            if (!hasFinished || isUnknown)
                addViolation(invariant::PlannedStopCutsNothing, execution.begin->request,
                    "was in flight at " + stop.instance + " and was interrupted");
        }

        const caller_record* findRecord(const std::string& request)
        {
            if (m_recordsByRequest.empty()) {
                for (const auto& record : m_records.callerRecords)
                    m_recordsByRequest[record.request] = &record;
            }
            const auto found = m_recordsByRequest.find(request);
            return found == m_recordsByRequest.end() ? nullptr : found->second;
        }

        /// @return whether another fault that can interrupt a request was active around a planned stop.
        bool hasConcurrentFault(const fault_record& stop, double fromMs) const
        {
            const auto toMs = stop.endMs == 0 ? stop.startMs + m_bounds.leavingGraceMs : stop.endMs;
            const auto isConcurrent = [&](const fault_record& fault) {
                return fault.kind != plannedStopFault && isActive(fault, fromMs, toMs);
            };
            return std::any_of(m_records.faults.begin(), m_records.faults.end(), isConcurrent);
        }

        void checkRevisions()
        {
            std::map<node_incarnation, std::map<std::uint64_t, std::uint64_t>> incarnations;
            for (const auto& record : m_records.revisions)
                incarnations[{ record.instance, record.startNumber }][record.sequence] = record.revision;
            for (const auto& [incarnation, revisions] : incarnations) {
                std::uint64_t highest = 0;
                for (const auto& [sequence, revision] : revisions) {
                    if (revision < highest)
                        addViolation(invariant::ConfigurationNeverReverts, incarnation.instance,
                            "changed from revision " + std::to_string(highest) + " to "
                                + std::to_string(revision));
                    highest = std::max(highest, revision);
                }
            }
        }

        const run_records& m_records;
        run_bounds m_bounds;
        run_report m_report;
        std::map<std::string, const caller_record*> m_recordsByRequest;
    };

} // namespace

const char* getInvariantName(invariant kind) { return invariantNames.at(static_cast<std::size_t>(kind)); }

const std::vector<invariant>& getInvariants()
{
    static const std::vector<invariant> all {
        invariant::RetriesWithinBound,
        invariant::CatalogueShedFirst,
        invariant::WholeOwnAnswer,
        invariant::NotRunWasNotRun,
        invariant::OrderRunsAtMostOnce,
        invariant::NoNewWorkWhileLeaving,
        invariant::PlannedStopCutsNothing,
        invariant::ConfigurationNeverReverts,
    };
    return all;
}

int run_report::count(invariant kind) const
{
    return static_cast<int>(std::count_if(violations.begin(), violations.end(),
        [kind](const violation& found) { return found.violated == kind; }));
}

run_report checkRun(const run_records& records, const run_bounds& bounds)
{
    return run_checker(records, bounds).check();
}

} // namespace fuchsiagauge::bench
