#include "client/node_commands.h"

#include "client/audit_merger.h"
#include "client/exit_code.h"
#include "client/fleet_report.h"
#include "client/ticket_report.h"
#include "core/explanation.h"

#include <algorithm>

namespace fuchsiagauge {
namespace {

    constexpr int httpOk = 200;
    constexpr char clearScreen[] = "\x1b[H\x1b[2J";

    std::vector<fetch_result> fetchFromAllNodes(
        const client_environment& environment, const client_options& options, const std::string& path)
    {
        std::vector<fetch_request> requests;
        requests.reserve(options.nodes.size());
        for (const auto& node : options.nodes)
            requests.push_back({ node, path });
        return environment.fetch(requests, options.timeout);
    }

    /// @return why the request failed, or an empty string if the node answered with status 200.
    std::string describeFailure(const fetch_result& result)
    {
        if (!result.hasResponse)
            return result.reason.detail;
        return result.status == httpOk ? std::string() : "HTTP status " + std::to_string(result.status);
    }

    /// Keeps the highest of several exit codes: a higher code is a more severe failure.
    class exit_code_tracker {
    public:
        /// Records the exit code of a failed request and prints why it failed.
        /// @return whether the node answered with status 200.
        bool checkResult(const client_environment& environment, const fetch_result& result)
        {
            const auto failure = describeFailure(result);
            if (failure.empty())
                return true;
            environment.err << formatAddress(result.node) << ": " << failure << '\n';
            addCode(result.hasResponse ? ExitBadResponse : ExitUnreachable);
            return false;
        }

        void addCode(int code) { m_worstCode = std::max(m_worstCode, code); }
        int getWorstCode() const { return m_worstCode; }

    private:
        int m_worstCode = ExitSuccess;
    };

    fleet_report fetchFleetReport(const client_environment& environment, const client_options& options)
    {
        std::vector<node_status_result> statusResults;
        for (const auto& result : fetchFromAllNodes(environment, options, "/status")) {
            node_status_result statusResult { result.node, std::nullopt, describeFailure(result) };
            if (statusResult.failure.empty()) {
                statusResult.status = parseNodeStatus(result.body);
                statusResult.failure = statusResult.status ? "" : getLastError().detail;
            }
            statusResults.push_back(std::move(statusResult));
        }
        return makeFleetReport(std::move(statusResults));
    }

    int getReportExitCode(const fleet_report& report)
    {
        if (report.unreachedCount > 0)
            return ExitUnreachable;
        return report.problems.empty() ? ExitSuccess : ExitProblemFound;
    }

    bool isLastRefresh(const refresh_options& refresh, int refreshIndex)
    {
        return refresh.count != 0 && refreshIndex + 1 >= refresh.count;
    }

    void printTop(const client_environment& environment, const client_options& options,
        const fleet_report& before, const fleet_report& after, milliseconds elapsed)
    {
        if (options.isJson)
            environment.out << "{\"rates\":" << formatRatesAsJson(before, after, elapsed)
                            << ",\"fleet\":" << formatFleetReportAsJson(after) << "}\n";
        else
            environment.out << clearScreen << formatFleetReport(after) << '\n'
                            << formatRates(before, after, elapsed);
        environment.out.flush();
    }

    void printExplanation(
        const client_environment& environment, const client_options& options, const explanation& answer)
    {
        if (options.isJson) {
            environment.out << formatExplanation(answer) << '\n';
            return;
        }
        environment.out << answer.instance << ":\n";
        for (const auto& sentence : answer.sentences)
            environment.out << "  " << sentence << '\n';
    }

    /// Fetches the new audit entries of every node, and the whole audit trail of nodes that have restarted.
    void fetchAuditEntries(const client_environment& environment, const client_options& options,
        audit_merger& merger, exit_code_tracker& exitCodes)
    {
        std::vector<fetch_request> requests;
        for (const auto& node : options.nodes)
            requests.push_back(
                { node, "/audit?after=" + std::to_string(merger.getLastSequence(formatAddress(node))) });
        std::vector<fetch_request> restartRequests;
        const auto addResult = [&](const fetch_result& result) {
            if (!exitCodes.checkResult(environment, result))
                return;
            const auto page = parseAuditPage(result.body);
            if (!page) {
                environment.err << formatAddress(result.node) << ": " << getLastError().detail << '\n';
                exitCodes.addCode(ExitBadResponse);
            } else if (!merger.add(formatAddress(result.node), *page)) {
                restartRequests.push_back({ result.node, "/audit?after=0" });
            }
        };
        for (const auto& result : environment.fetch(requests, options.timeout))
            addResult(result);
        if (restartRequests.empty())
            return;
        for (const auto& result :
            environment.fetch(std::vector<fetch_request>(restartRequests), options.timeout))
            addResult(result);
    }

} // namespace

int runStatus(const client_environment& environment, const client_options& options)
{
    const auto report = fetchFleetReport(environment, options);
    if (options.isJson)
        environment.out << formatFleetReportAsJson(report) << '\n';
    else
        environment.out << formatFleetReport(report);
    return getReportExitCode(report);
}

int runTop(
    const client_environment& environment, const client_options& options, const refresh_options& refresh)
{
    auto before = fetchFleetReport(environment, options);
    auto fetchedAt = environment.now();
    for (int refreshIndex = 0;; ++refreshIndex) {
        environment.sleep(refresh.interval);
        auto after = fetchFleetReport(environment, options);
        const auto now = environment.now();
        printTop(environment, options, before, after, now - fetchedAt);
        if (isLastRefresh(refresh, refreshIndex))
            return getReportExitCode(after);
        before = std::move(after);
        fetchedAt = now;
    }
}

int runWhy(const client_environment& environment, const client_options& options, const std::string& name)
{
    exit_code_tracker exitCodes;
    bool isNameKnown = false;
    for (const auto& result : fetchFromAllNodes(environment, options, "/why/" + encodePathSegment(name))) {
        if (!exitCodes.checkResult(environment, result))
            continue;
        const auto answer = parseExplanation(result.body);
        if (!answer) {
            environment.err << formatAddress(result.node) << ": " << getLastError().detail << '\n';
            exitCodes.addCode(ExitBadResponse);
            continue;
        }
        isNameKnown |= answer->kind != explanation_kind::Nothing;
        printExplanation(environment, options, *answer);
    }
    if (!isNameKnown)
        exitCodes.addCode(ExitProblemFound);
    return exitCodes.getWorstCode();
}

int runAudit(const client_environment& environment, const client_options& options, bool shouldFollow,
    const refresh_options& refresh)
{
    audit_merger merger;
    for (int refreshIndex = 0;; ++refreshIndex) {
        exit_code_tracker exitCodes;
        fetchAuditEntries(environment, options, merger, exitCodes);
        for (const auto& entry : merger.takeEntries())
            environment.out << (options.isJson ? formatAuditEntry(entry) : formatTimestampedAuditLine(entry))
                            << '\n';
        environment.out.flush();
        if (!shouldFollow || isLastRefresh(refresh, refreshIndex))
            return exitCodes.getWorstCode();
        environment.sleep(refresh.interval);
    }
}

int runTicket(const client_environment& environment, const client_options& options, const std::string& ticket)
{
    exit_code_tracker exitCodes;
    const auto path = "/fuchsiagauge/tickets/" + encodePathSegment(ticket);
    for (const auto& node : options.nodes) {
        const auto results = environment.fetch({ { node, path } }, options.timeout);
        if (results.empty() || !exitCodes.checkResult(environment, results.front()))
            continue;
        const auto report = parseTicketReport(results.front().body);
        if (!report) {
            environment.err << formatAddress(node) << ": " << getLastError().detail << '\n';
            exitCodes.addCode(ExitBadResponse);
            continue;
        }
        environment.out << (options.isJson ? formatTicketReportAsJson(*report)
                                           : report->state + ": " + report->sentence)
                        << '\n';
        return report->isCertain ? ExitSuccess : ExitProblemFound;
    }
    return exitCodes.getWorstCode();
}

} // namespace fuchsiagauge
