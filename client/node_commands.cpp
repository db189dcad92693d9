#include "client/node_commands.h"

#include "client/audit_merge.h"
#include "client/exit_code.h"
#include "client/fleet_report.h"
#include "client/ticket_report.h"
#include "core/explanation.h"

#include <algorithm>

namespace fuchsiagauge {
namespace {

    constexpr int httpOk = 200;
    constexpr char clearScreen[] = "\x1b[H\x1b[2J";

    std::vector<fetch_result> fetchFromEach(
        const client_environment& world, const client_options& options, const std::string& path)
    {
        std::vector<fetch_request> requests;
        requests.reserve(options.nodes.size());
        for (const auto& node : options.nodes)
            requests.push_back({ node, path });
        return world.fetch(requests, options.timeout);
    }

    /// @return why a result is of no use, or nothing when it is a good answer.
    std::string describeFailure(const fetch_result& result)
    {
        if (!result.isReached)
            return result.reason.detail;
        return result.status == httpOk ? std::string() : "HTTP status " + std::to_string(result.status);
    }

    /// Keeps the exit code of the worst that was seen.
    class exit_verdict {
    public:
        /// Notes a result and prints why it is of no use.
        /// @return whether the result is a good answer.
        bool accept(const client_environment& world, const fetch_result& result)
        {
            const auto failure = describeFailure(result);
            if (failure.empty())
                return true;
            world.err << formatAddress(result.node) << ": " << failure << '\n';
            note(result.isReached ? ExitBadAnswer : ExitUnreachable);
            return false;
        }

        void note(int code) { m_code = std::max(m_code, code); }
        int getCode() const { return m_code; }

    private:
        int m_code = ExitGood;
    };

    fleet_report readFleet(const client_environment& world, const client_options& options)
    {
        std::vector<node_answer> answers;
        for (const auto& result : fetchFromEach(world, options, "/status")) {
            node_answer answer { result.node, std::nullopt, describeFailure(result) };
            if (answer.failure.empty()) {
                answer.status = parseNodeStatus(result.body);
                answer.failure = answer.status ? "" : getLastError().detail;
            }
            answers.push_back(std::move(answer));
        }
        return makeFleetReport(std::move(answers));
    }

    int getReportCode(const fleet_report& report)
    {
        if (report.unreached > 0)
            return ExitUnreachable;
        return report.problems.empty() ? ExitGood : ExitProblemFound;
    }

    bool isLast(const refresh_options& refresh, int round)
    {
        return refresh.count != 0 && round + 1 >= refresh.count;
    }

    void printTop(const client_environment& world, const client_options& options, const fleet_report& before,
        const fleet_report& after, milliseconds elapsed)
    {
        if (options.isJson)
            world.out << "{\"rates\":" << formatRatesAsJson(before, after, elapsed)
                      << ",\"fleet\":" << formatFleetReportAsJson(after) << "}\n";
        else
            world.out << clearScreen << formatFleetReport(after) << '\n'
                      << formatRates(before, after, elapsed);
        world.out.flush();
    }

    void printExplanation(
        const client_environment& world, const client_options& options, const explanation& answer)
    {
        if (options.isJson) {
            world.out << formatExplanation(answer) << '\n';
            return;
        }
        world.out << answer.instance << ":\n";
        for (const auto& sentence : answer.sentences)
            world.out << "  " << sentence << '\n';
    }

    /// Reads the new entries of every node, and a restarted node's whole trail.
    void readAudit(const client_environment& world, const client_options& options, audit_merge& merge,
        exit_verdict& verdict)
    {
        std::vector<fetch_request> requests;
        for (const auto& node : options.nodes)
            requests.push_back(
                { node, "/audit?after=" + std::to_string(merge.getLastSequence(formatAddress(node))) });
        std::vector<fetch_request> again;
        const auto take = [&](const fetch_result& result) {
            if (!verdict.accept(world, result))
                return;
            const auto page = parseAuditPage(result.body);
            if (!page) {
                world.err << formatAddress(result.node) << ": " << getLastError().detail << '\n';
                verdict.note(ExitBadAnswer);
            } else if (!merge.add(formatAddress(result.node), *page)) {
                again.push_back({ result.node, "/audit?after=0" });
            }
        };
        for (const auto& result : world.fetch(requests, options.timeout))
            take(result);
        if (again.empty())
            return;
        for (const auto& result : world.fetch(std::vector<fetch_request>(again), options.timeout))
            take(result);
    }

} // namespace

int runStatus(const client_environment& world, const client_options& options)
{
    const auto report = readFleet(world, options);
    if (options.isJson)
        world.out << formatFleetReportAsJson(report) << '\n';
    else
        world.out << formatFleetReport(report);
    return getReportCode(report);
}

int runTop(const client_environment& world, const client_options& options, const refresh_options& refresh)
{
    auto before = readFleet(world, options);
    auto readAt = world.now();
    for (int round = 0;; ++round) {
        world.sleep(refresh.interval);
        auto after = readFleet(world, options);
        const auto now = world.now();
        printTop(world, options, before, after, now - readAt);
        if (isLast(refresh, round))
            return getReportCode(after);
        before = std::move(after);
        readAt = now;
    }
}

int runWhy(const client_environment& world, const client_options& options, const std::string& name)
{
    exit_verdict verdict;
    bool isKnown = false;
    for (const auto& result : fetchFromEach(world, options, "/why/" + encodePathPart(name))) {
        if (!verdict.accept(world, result))
            continue;
        const auto answer = parseExplanation(result.body);
        if (!answer) {
            world.err << formatAddress(result.node) << ": " << getLastError().detail << '\n';
            verdict.note(ExitBadAnswer);
            continue;
        }
        isKnown |= answer->kind != explanation_kind::Nothing;
        printExplanation(world, options, *answer);
    }
    if (!isKnown)
        verdict.note(ExitProblemFound);
    return verdict.getCode();
}

int runAudit(const client_environment& world, const client_options& options, bool isFollow,
    const refresh_options& refresh)
{
    audit_merge merge;
    for (int round = 0;; ++round) {
        exit_verdict verdict;
        readAudit(world, options, merge, verdict);
        for (const auto& entry : merge.takeEntries())
            world.out << (options.isJson ? formatAuditEntry(entry) : formatMergedLine(entry)) << '\n';
        world.out.flush();
        if (!isFollow || isLast(refresh, round))
            return verdict.getCode();
        world.sleep(refresh.interval);
    }
}

int runTicket(const client_environment& world, const client_options& options, const std::string& ticket)
{
    exit_verdict verdict;
    const auto path = "/fuchsiagauge/tickets/" + encodePathPart(ticket);
    for (const auto& node : options.nodes) {
        const auto results = world.fetch({ { node, path } }, options.timeout);
        if (results.empty() || !verdict.accept(world, results.front()))
            continue;
        const auto report = parseTicketReport(results.front().body);
        if (!report) {
            world.err << formatAddress(node) << ": " << getLastError().detail << '\n';
            verdict.note(ExitBadAnswer);
            continue;
        }
        world.out << (options.isJson ? formatTicketReportAsJson(*report)
                                     : report->state + ": " + report->sentence)
                  << '\n';
        return report->isCertain ? ExitGood : ExitProblemFound;
    }
    return verdict.getCode();
}

} // namespace fuchsiagauge
