#include "bench/run_record.h"

#include <functional>
#include <nlohmann/json.hpp>

namespace fuchsiagauge::bench {
namespace {

    using json = nlohmann::json;

    /// Calls `parseRecord` for each line. A line that can't be parsed is counted as unreadable, unless it is
    /// a last line without a line break: a process that was killed while writing leaves such a line.
    void readLines(
        std::istream& in, run_records& records, const std::function<void(const json&)>& parseRecord)
    {
        for (std::string line; std::getline(in, line);) {
            const bool isTruncated = in.eof();
            if (line.empty())
                continue;
            try {
                parseRecord(json::parse(line));
            } catch (const json::exception&) {
                records.unreadableLines += isTruncated ? 0 : 1;
            }
        }
    }

    run_outcome parseOutcome(const json& line)
    {
        return findOutcome(line.at("outcome").get<std::string>()).value_or(run_outcome::Unknown);
    }

    std::string getText(const json& line, const char* key) { return line.value(key, std::string()); }

} // namespace

void readCallerRecords(std::istream& in, run_records& records)
{
    readLines(in, records, [&records](const json& line) {
        caller_record record;
        record.request = line.at("id").get<std::string>();
        record.order = getText(line, "order");
        record.group = line.at("group").get<std::string>();
        record.arrivalMs = line.at("arrival_ms").get<double>();
        record.outcome = parseOutcome(line);
        record.error = line.at("sends").empty() ? "" : getText(line.at("sends").back(), "error");
        const auto verdict = line.at("verdict").get<std::string>();
        record.isResponseValid = verdict == "whole" || verdict == "late";
        record.responseMismatch = getText(line, "fault");
        records.callerRecords.push_back(record);
    });
}

void readJournal(std::istream& in, run_records& records)
{
    readLines(in, records, [&records](const json& line) {
        journal_event event;
        event.timeMs = line.at("time_ms").get<double>();
        event.event = line.at("event").get<std::string>();
        event.order = getText(line, "order");
        event.request = getText(line, "request");
        event.contextId = getText(line, "context");
        event.depth = line.at("depth").get<int>();
        event.instance = line.at("instance").get<std::string>();
        event.service = line.at("service").get<std::string>();
        records.journal.push_back(event);
    });
}

void readFaults(std::istream& in, run_records& records)
{
    readLines(in, records, [&records](const json& line) {
        records.faults.push_back({ line.at("start_ms").get<double>(), line.value("end_ms", 0.0),
            line.at("kind").get<std::string>(), getText(line, "instance") });
    });
}

void readAudit(std::istream& in, run_records& records)
{
    readLines(in, records, [&records](const json& line) {
        const auto instance = line.at("instance").get<std::string>();
        const auto startNumber = line.at("start_number").get<std::uint64_t>();
        for (const auto& entry : line.at("entries")) {
            records.revisions.push_back({ instance, startNumber, entry.at("sequence").get<std::uint64_t>(),
                entry.at("revision").get<std::uint64_t>() });
        }
    });
}

} // namespace fuchsiagauge::bench
