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
    constexpr char plannedStop[] = "planned-stop";
    constexpr char drain[] = "drain";

    /// Runs that are counted together.
    struct run_key {
        std::string name; ///< The edge node's request id, or the order.
        std::string service;
        int depth = 0; ///< 0 for orders.

        friend bool operator<(const run_key& a, const run_key& b)
        {
            return std::tie(a.name, a.service, a.depth) < std::tie(b.name, b.service, b.depth);
        }
    };

    struct served_count {
        int total = 0;
        int served = 0;

        double getShare() const { return total == 0 ? 0 : static_cast<double>(served) / total; }
    };

    struct shed_window {
        served_count sheddable;
        served_count important;
    };

    struct node_life {
        std::string instance;
        std::uint64_t startNumber;

        friend bool operator<(const node_life& a, const node_life& b)
        {
            return std::tie(a.instance, a.startNumber) < std::tie(b.instance, b.startNumber);
        }
    };

    /// A run with its end, as one target's journal has them.
    struct target_run {
        const journal_event* begin;
        const journal_event* end; ///< A null pointer when the journal has no end.
    };

    bool isRun(const journal_event& event) { return event.event == "run"; }

    bool isShed(const caller_record& record)
    {
        return record.error == getErrorResponse(error_kind::Shed).name
            || record.error == getErrorResponse(error_kind::QueueTimeout).name;
    }

    /// Tells whether the caller or a deadline ended the request.
    bool isGivenUp(const caller_record& record)
    {
        constexpr char ownTimeout[] = "timeout";
        return record.error == ownTimeout || record.error == getErrorResponse(error_kind::AnswerTimeout).name
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
            countAll();
            checkRetries();
            checkShedOrder();
            checkAnswers();
            checkNotRun();
            checkOrders();
            checkLeaving();
            checkPlannedStops();
            checkRevisions();
            return m_report;
        }

    private:
        void report(invariant broken, const std::string& subject, const std::string& detail)
        {
            m_report.violations.push_back({ broken, subject, detail });
        }

        void countAll()
        {
            std::set<std::string> orders;
            for (const auto& record : m_records.callers) {
                ++m_report.requests;
                m_report.whole += record.isWhole ? 1 : 0;
                m_report.answered += record.outcome == run_outcome::Answered ? 1 : 0;
                m_report.notRun += record.outcome == run_outcome::NotRun ? 1 : 0;
                m_report.unknown += record.outcome == run_outcome::Unknown ? 1 : 0;
                if (!record.order.empty())
                    orders.insert(record.order);
            }
            m_report.orders = static_cast<int>(orders.size());
            m_report.runs
                = static_cast<int>(std::count_if(m_records.journal.begin(), m_records.journal.end(), isRun));
            for (const auto& fault : m_records.faults)
                ++m_report.faultsByKind[fault.kind];
        }

        void checkRetries()
        {
            std::map<run_key, int> attempts;
            for (const auto& event : m_records.journal) {
                if (isRun(event) && !event.contextId.empty())
                    ++attempts[{ event.contextId, event.service, event.depth }];
            }
            for (const auto& [key, count] : attempts) {
                m_report.mostAttempts = std::max(m_report.mostAttempts, count);
                if (count > 1 + m_bounds.retriesPerRequest)
                    report(invariant::RetriesWithinBound, key.name,
                        std::to_string(count) + " runs at " + key.service);
            }
        }

        void checkShedOrder()
        {
            std::map<long long, shed_window> windows;
            for (const auto& record : m_records.callers) {
                auto& window = windows[std::llround(std::floor(record.arrivalMs / m_bounds.shedWindowMs))];
                const bool isSheddable = record.group == m_bounds.sheddableGroup;
                auto& count = isSheddable ? window.sheddable : window.important;
                const bool isServed = isSheddable ? record.isWhole : !isShed(record);
                ++count.total;
                count.served += isServed ? 1 : 0;
            }
            for (const auto& [number, window] : windows)
                checkShedWindow(number, window);
        }

        void checkShedWindow(long long number, const shed_window& window)
        {
            const auto fewest = std::min(window.sheddable.total, window.important.total);
            if (fewest < m_bounds.shedWindowRequests)
                return;
            const auto served = window.sheddable.getShare();
            const auto importantServed = window.important.getShare();
            if (served <= importantServed + m_bounds.shedShareSlack)
                return;
            report(invariant::CatalogueShedFirst, "window " + std::to_string(number),
                "answered share " + std::to_string(served) + ", share of others not shed "
                    + std::to_string(importantServed));
        }

        void checkAnswers()
        {
            for (const auto& record : m_records.callers) {
                if (!record.answerFault.empty())
                    report(invariant::WholeOwnAnswer, record.request, record.answerFault);
            }
        }

        void checkNotRun()
        {
            std::map<std::string, const journal_event*> runs;
            for (const auto& event : m_records.journal) {
                if (isRun(event) && !event.request.empty())
                    runs.emplace(event.request, &event);
            }
            for (const auto& record : m_records.callers) {
                const auto run = runs.find(record.request);
                if (record.outcome == run_outcome::NotRun && run != runs.end())
                    report(invariant::NotRunWasNotRun, record.request, "ran at " + run->second->instance);
            }
        }

        void checkOrders()
        {
            std::map<run_key, int> runs;
            for (const auto& event : m_records.journal) {
                if (isRun(event) && !event.order.empty())
                    ++runs[{ event.order, event.service, 0 }];
            }
            for (const auto& [key, count] : runs) {
                if (count > 1)
                    report(invariant::OrderRunsAtMostOnce, key.name,
                        "ran " + std::to_string(count) + " times at " + key.service);
            }
        }

        void checkLeaving()
        {
            for (const auto& fault : m_records.faults) {
                if (fault.kind == plannedStop || fault.kind == drain)
                    checkLeaving(fault);
            }
        }

        void checkLeaving(const fault_record& leaving)
        {
            const auto closedAtMs = leaving.startMs + m_bounds.leavingGraceMs;
            for (const auto& event : m_records.journal) {
                const bool isLate
                    = event.timeMs > closedAtMs && (leaving.endMs == 0 || event.timeMs < leaving.endMs);
                if (isRun(event) && event.instance == leaving.instance && isLate)
                    report(invariant::NoNewWorkWhileLeaving, event.instance,
                        event.request + " ran " + std::to_string(event.timeMs - leaving.startMs)
                            + " ms after it began to leave");
            }
        }

        void checkPlannedStops()
        {
            for (const auto& fault : m_records.faults) {
                if (fault.kind != plannedStop)
                    continue;
                for (const auto& run : findRunsInFlight(fault))
                    checkRunInFlight(fault, run);
            }
        }

        std::vector<target_run> findRunsInFlight(const fault_record& stop) const
        {
            std::map<std::string, std::vector<target_run>> runs;
            for (const auto& event : m_records.journal) {
                if (event.instance != stop.instance)
                    continue;
                auto& ofRequest = runs[event.request + ' ' + event.contextId];
                if (isRun(event))
                    ofRequest.push_back({ &event, nullptr });
                else if (!ofRequest.empty() && !ofRequest.back().end)
                    ofRequest.back().end = &event;
            }
            std::vector<target_run> inFlight;
            for (const auto& [request, ofRequest] : runs) {
                for (const auto& run : ofRequest) {
                    const bool hasEnded = run.end && run.end->timeMs < stop.startMs;
                    if (run.begin->timeMs <= stop.startMs && !hasEnded)
                        inFlight.push_back(run);
                }
            }
            return inFlight;
        }

        void checkRunInFlight(const fault_record& stop, const target_run& run)
        {
            const auto* record = findRecord(run.begin->request);
            if (isDisturbed(stop, run.begin->timeMs) || (record && isGivenUp(*record)))
                return;
            const bool isEnded = run.end && run.end->event != "cancelled";
            const bool isUnknown = record && record->outcome == run_outcome::Unknown;
            if (!isEnded || isUnknown)
                report(invariant::PlannedStopCutsNothing, run.begin->request,
                    "was in flight at " + stop.instance + " and was cut off");
        }

        const caller_record* findRecord(const std::string& request)
        {
            if (m_recordsByRequest.empty()) {
                for (const auto& record : m_records.callers)
                    m_recordsByRequest[record.request] = &record;
            }
            const auto found = m_recordsByRequest.find(request);
            return found == m_recordsByRequest.end() ? nullptr : found->second;
        }

        /// Tells whether another fault could have cut a request off around a planned stop.
        bool isDisturbed(const fault_record& stop, double fromMs) const
        {
            const auto toMs = stop.endMs == 0 ? stop.startMs + m_bounds.leavingGraceMs : stop.endMs;
            const auto disturbs = [&](const fault_record& fault) {
                return fault.kind != plannedStop && isActive(fault, fromMs, toMs);
            };
            return std::any_of(m_records.faults.begin(), m_records.faults.end(), disturbs);
        }

        void checkRevisions()
        {
            std::map<node_life, std::map<std::uint64_t, std::uint64_t>> lives;
            for (const auto& record : m_records.revisions)
                lives[{ record.instance, record.startNumber }][record.sequence] = record.revision;
            for (const auto& [life, revisions] : lives) {
                std::uint64_t highest = 0;
                for (const auto& [sequence, revision] : revisions) {
                    if (revision < highest)
                        report(invariant::ConfigurationNeverReverts, life.instance,
                            "from revision " + std::to_string(highest) + " to " + std::to_string(revision));
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

const char* getInvariantName(invariant checked)
{
    return invariantNames.at(static_cast<std::size_t>(checked));
}

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

int run_report::count(invariant checked) const
{
    return static_cast<int>(std::count_if(violations.begin(), violations.end(),
        [checked](const violation& found) { return found.broken == checked; }));
}

run_report checkRun(const run_records& records, const run_bounds& bounds)
{
    return run_checker(records, bounds).check();
}

} // namespace fuchsiagauge::bench
