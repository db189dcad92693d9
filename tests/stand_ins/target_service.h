#pragma once

#include "bench/generated_body.h"
#include "core/clock.h"
#include "tests/stand_ins/concurrency_limiter.h"
#include "tests/stand_ins/downstream_calls.h"
#include "tests/stand_ins/run_journal.h"
#include "tests/stand_ins/target_faults.h"

#include <cstdint>
#include <random>

namespace fuchsiagauge::stand_in {

/// Options of a target.
struct target_options {
    std::string listen;
    std::string control;
    std::string egress;
    std::string instance = "target";
    std::string service = "service";
    int slots = 10; ///< Maximum number of requests that run concurrently.
    int queue = 20; ///< Maximum number of requests that wait for a slot.
    double serviceMs = 10; ///< Mean service time.
    double spread = 1; ///< 0: fixed service time; 1: exponentially distributed.
    double coldMs = 0; ///< Time after startup during which requests take longer.
    std::string calls; ///< Downstream services to call, see downstream_calls.
    std::uint64_t answerBytes = 1000;
    std::string journalFile;
    bool isRecordingAll = false; ///< Whether requests without an order id are recorded too.
    std::uint64_t seed = 1;
};

/// Counters of a target.
struct target_counters {
    std::uint64_t started = 0;
    std::uint64_t done = 0; ///< Ran and ended with status 200.
    std::uint64_t failed = 0; ///< Ran and ended with another status.
    std::uint64_t cancelled = 0; ///< The caller disconnected while the request was queued.
    std::uint64_t cancelledRunning = 0; ///< The caller disconnected while the request ran.
    std::uint64_t expired = 0; ///< The deadline passed while the request was queued.
    std::uint64_t refused = 0; ///< Rejected because the queue was full.
    std::uint64_t startedWhileDraining = 0;
    double lastStartMs = 0; ///< Time since startup, like drainingSinceMs.
    double drainingSinceMs = 0;
    double busyMs = 0; ///< Total running time of all requests.
    double wastedMs = 0; ///< Part of busyMs for requests that failed or whose caller disconnected.
};

/// An instance of a service, with limited concurrency, a queue, simulated work, downstream calls and faults.
class target_service {
public:
    target_service(boost::asio::io_context& context, const target_options& options);

    /// Serves one request on the listening address.
    void serve(http_exchange& exchange, const boost::asio::yield_context& yield);

    /// Serves one request on the control address.
    void control(http_exchange& exchange, const boost::asio::yield_context& yield);

private:
    double now() const { return (m_clock.now() - m_start).getCount(); }
    double drawUniform();
    double drawServiceMs();
    bool shouldInjectFault(double share) { return share > 0 && drawUniform() < share; }
    void sendHealth(http_exchange& exchange, const boost::asio::yield_context& yield);
    void sendLoad(http_exchange& exchange, const boost::asio::yield_context& yield);
    void sendStats(http_exchange& exchange, const boost::asio::yield_context& yield);
    void setFaults(http_exchange& exchange, const boost::asio::yield_context& yield);
    void refuse(http_exchange& exchange, admission_result result, const boost::asio::yield_context& yield);
    void run(http_exchange& exchange, double deadlineMs, const boost::asio::yield_context& yield);
    int performWork(http_exchange& exchange, double deadlineMs, const boost::asio::yield_context& yield);
    void sleep(http_exchange& exchange, double durationMs, const boost::asio::yield_context& yield);
    void sendResponse(http_exchange& exchange, int status, const boost::asio::yield_context& yield);
    void sendBody(http_exchange& exchange, const boost::asio::yield_context& yield);
    void sendBodyWithFaults(http_exchange& exchange, const bench::http_response& head,
        const bench::generated_body& body, std::uint64_t first, std::uint64_t count,
        const boost::asio::yield_context& yield);

    boost::asio::io_context& m_context;
    target_options m_options;
    fuchsiagauge::clock m_clock = fuchsiagauge::clock::makeSteady();
    milliseconds m_start = m_clock.now();
    concurrency_limiter m_limiter;
    run_journal m_journal;
    downstream_calls m_downstream;
    target_faults m_faults;
    target_counters m_counters;
    std::mt19937_64 m_random;
};

} // namespace fuchsiagauge::stand_in
