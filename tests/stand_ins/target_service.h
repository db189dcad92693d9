#pragma once

#include "bench/generated_body.h"
#include "core/clock.h"
#include "tests/stand_ins/downstream_calls.h"
#include "tests/stand_ins/run_journal.h"
#include "tests/stand_ins/target_faults.h"
#include "tests/stand_ins/work_gate.h"

#include <cstdint>
#include <random>

namespace fuchsiagauge::stand_in {

/// How a target is set up.
struct target_options {
    std::string listen;
    std::string control;
    std::string egress;
    std::string instance = "target";
    std::string service = "service";
    int slots = 10;
    int queue = 20;
    double serviceMs = 10;
    double spread = 1; ///< 0: fixed service time; 1: exponential.
    double coldMs = 0; ///< Time after the start in which it is slower.
    std::string calls;
    std::uint64_t answerBytes = 1000;
    std::string journalFile;
    bool isJournalForAll = false;
    std::uint64_t seed = 1;
};

/// What a target counts.
struct target_counters {
    std::uint64_t started = 0;
    std::uint64_t done = 0; ///< Answered 200 in whole.
    std::uint64_t failed = 0; ///< Ran and answered otherwise.
    std::uint64_t cancelled = 0; ///< Given up by the caller while queued.
    std::uint64_t cancelledRunning = 0; ///< Given up by the caller while it ran.
    std::uint64_t expired = 0; ///< The deadline passed in the queue.
    std::uint64_t refused = 0; ///< The queue was full.
    std::uint64_t startedWhileDraining = 0;
    double lastStartMs = 0; ///< Since the process's start.
    double drainingSinceMs = 0;
    double busyMs = 0; ///< Time of work.
    double wastedMs = 0; ///< The part of it for requests that failed or were given up.
};

/// A service's instance: slots, a queue, work, calls downstream and faults.
class target_service {
public:
    target_service(boost::asio::io_context& context, const target_options& options);

    /// Serves one request on the work address.
    void serve(http_exchange& exchange, const boost::asio::yield_context& yield);

    /// Serves one request on the control address.
    void control(http_exchange& exchange, const boost::asio::yield_context& yield);

private:
    double now() const { return (m_clock.now() - m_start).getCount(); }
    double drawUnit();
    double drawServiceMs();
    bool isChosen(double share) { return share > 0 && drawUnit() < share; }
    void sendHealth(http_exchange& exchange, const boost::asio::yield_context& yield);
    void sendLoad(http_exchange& exchange, const boost::asio::yield_context& yield);
    void sendStats(http_exchange& exchange, const boost::asio::yield_context& yield);
    void setFaults(http_exchange& exchange, const boost::asio::yield_context& yield);
    void refuse(http_exchange& exchange, gate_result result, const boost::asio::yield_context& yield);
    void run(http_exchange& exchange, double deadlineMs, const boost::asio::yield_context& yield);
    int work(http_exchange& exchange, double deadlineMs, const boost::asio::yield_context& yield);
    void sleep(http_exchange& exchange, double spanMs, const boost::asio::yield_context& yield);
    void answer(http_exchange& exchange, int status, const boost::asio::yield_context& yield);
    void answerBody(http_exchange& exchange, const boost::asio::yield_context& yield);
    void sendFaulty(http_exchange& exchange, const bench::http_response& head,
        const bench::generated_body& body, std::uint64_t first, std::uint64_t count,
        const boost::asio::yield_context& yield);

    boost::asio::io_context& m_context;
    target_options m_options;
    fuchsiagauge::clock m_clock = fuchsiagauge::clock::makeSteady();
    milliseconds m_start = m_clock.now();
    work_gate m_gate;
    run_journal m_journal;
    downstream_calls m_downstream;
    target_faults m_faults;
    target_counters m_counters;
    std::mt19937_64 m_random;
};

} // namespace fuchsiagauge::stand_in
