#include "bench/request_record.h"

#include <map>
#include <nlohmann/json.hpp>

namespace fuchsiagauge::bench {

const char* getVerdictName(request_verdict verdict)
{
    switch (verdict) {
    case request_verdict::Succeeded:
        return "whole";
    case request_verdict::Late:
        return "late";
    case request_verdict::Wrong:
        return "wrong";
    case request_verdict::Failed:
        break;
    }
    return "failed";
}

std::string formatRecord(const request_record& record)
{
    auto sends = nlohmann::json::array();
    for (const auto& send : record.sends) {
        sends.push_back({ { "edge", send.edge }, { "ticket", send.ticket }, { "start_ms", send.startMs },
            { "end_ms", send.endMs }, { "status", send.status }, { "error", send.error },
            { "outcome", getOutcomeName(send.outcome) } });
    }
    const nlohmann::json line {
        { "id", record.id },
        { "order", record.orderId },
        { "group", record.group },
        { "path", record.path },
        { "arrival_ms", record.arrivalMs },
        { "end_ms", record.endMs },
        { "sends", sends },
        { "verdict", getVerdictName(record.verdict) },
        { "outcome", getOutcomeName(record.outcome) },
        { "fault", record.mismatch },
        { "fault_detail", record.mismatchDetail },
        { "instance", record.instance },
        { "ticket_state", record.ticketState },
        { "node_request_id", record.nodeRequestId },
        { "bytes", record.bodyBytes },
    };
    return line.dump();
}

run_outcome combineOutcomes(const std::vector<send_record>& sends)
{
    std::map<std::string, run_outcome> outcomeByTicket; // Sends without a ticket share the empty key.
    for (const auto& send : sends) {
        auto& outcome = outcomeByTicket.try_emplace(send.ticket, run_outcome::NotRun).first->second;
        const bool isSettled
            = !send.ticket.empty() && send.status != 0 && send.outcome == run_outcome::NotRun;
        if (outcome == run_outcome::Answered || send.outcome == run_outcome::Answered)
            outcome = run_outcome::Answered;
        else if (isSettled)
            outcome = run_outcome::NotRun;
        else if (send.outcome == run_outcome::Unknown)
            outcome = run_outcome::Unknown;
    }
    auto result = run_outcome::NotRun;
    for (const auto& [ticket, outcome] : outcomeByTicket) {
        if (outcome == run_outcome::Answered)
            return outcome;
        if (outcome == run_outcome::Unknown)
            result = outcome;
    }
    return result;
}

} // namespace fuchsiagauge::bench
