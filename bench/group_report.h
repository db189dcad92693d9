#pragma once

#include "bench/experiment.h"
#include "bench/request_record.h"
#include "bench/statistics.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace fuchsiagauge::bench {

/// Statistics of the requests of one caller group, or of all groups together.
class group_report {
public:
    explicit group_report(std::string name, std::string className);

    /// Counts a request that has ended.
    void add(const request_record& record);

    /// Counts a request at its arrival time, in ms since the start of the run.
    void addOffered(double arrivalMs);

    const std::string& getName() const { return m_name; }
    const std::string& getClassName() const { return m_className; }
    std::uint64_t getOffered() const { return m_offered; }
    std::uint64_t getSends() const { return m_sends; }
    std::uint64_t getMaxSends() const { return m_maxSends; }
    std::uint64_t getCount(request_verdict verdict) const;
    std::uint64_t getCount(run_outcome outcome) const;
    const std::map<std::string, std::uint64_t>& getErrors() const { return m_errors; }
    const std::map<std::string, std::uint64_t>& getSendErrors() const { return m_sendErrors; }
    const std::map<std::string, std::uint64_t>& getMismatches() const { return m_mismatches; }
    const std::map<std::string, std::uint64_t>& getTicketStates() const { return m_ticketStates; }
    latency_summary getLatency() const { return summarize(m_latenciesMs); }
    const timeline& getOfferedTimeline() const { return m_offeredTimeline; }
    const timeline& getGoodputTimeline() const { return m_goodputTimeline; }
    const timeline& getServedByArrivalTimeline() const { return m_servedByArrivalTimeline; }

private:
    std::string m_name;
    std::string m_className;
    std::uint64_t m_offered = 0;
    std::uint64_t m_sends = 0;
    std::uint64_t m_maxSends = 0;
    std::array<std::uint64_t, 4> m_verdicts {};
    std::array<std::uint64_t, 3> m_outcomes {};
    std::map<std::string, std::uint64_t> m_errors; ///< Failed requests by error of the last send.
    std::map<std::string, std::uint64_t> m_sendErrors; ///< Failed sends by error.
    std::map<std::string, std::uint64_t> m_mismatches; ///< Wrong responses by kind of mismatch.
    std::map<std::string, std::uint64_t> m_ticketStates; ///< Requests of unknown outcome by ticket state.
    std::vector<double> m_latenciesMs; ///< Of succeeded requests, from arrival to end.
    timeline m_offeredTimeline;
    timeline m_goodputTimeline; ///< Succeeded requests by end time.
    timeline m_servedByArrivalTimeline; ///< Succeeded requests by arrival time.
};

} // namespace fuchsiagauge::bench
