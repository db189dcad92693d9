#pragma once

#include "bench/connection_pool.h"
#include "bench/experiment.h"
#include "bench/request_record.h"

#include <memory>
#include <random>
#include <vector>

namespace fuchsiagauge::bench {

/// Sends the requests of one caller group and handles retries and tickets as a real caller does.
class group_caller {
public:
    /// @param context I/O context that runs the requests; must outlive this object.
    /// @param group describes the requests; must outlive this object.
    /// @param seed seed for the choice of edges and the backoff jitter; also part of the request IDs.
    /// @param runClock clock for the times in the records; 0 is the start of the run.
    group_caller(
        boost::asio::io_context& context, const caller_group& group, std::uint64_t seed, clock runClock);

    /// Sends one request and retries it until a response with status 200 arrives, the deadline has passed or
    /// no retry is allowed.
    /// @param index number of the request within its group.
    /// @param arrivalMs scheduled arrival time, in ms since the start of the run.
    /// @return the record of the request from the caller's point of view.
    request_record run(std::uint64_t index, double arrivalMs, const boost::asio::yield_context& yield);

    const caller_group& getGroup() const { return m_group; }

private:
    struct request_state;

    /// @return ms since the start of the run.
    double now() const { return m_clock.now().getCount(); }
    http_request makeRequest(const request_record& record, const std::string& ticket) const;
    void send(request_state& request, const boost::asio::yield_context& yield);
    void handleResponse(request_state& request, const http_request& sent, const exchange_result& result);
    bool shouldSendAgain(request_state& request) const;
    void discardInvalidatedTicket(request_state& request) const;
    void queryTicketState(request_state& request, const boost::asio::yield_context& yield);
    void waitForBackoff(const boost::asio::yield_context& yield);

    boost::asio::io_context& m_context;
    const caller_group& m_group;
    clock m_clock;
    std::string m_path;
    std::string m_idPrefix;
    std::vector<std::unique_ptr<connection_pool>> m_pools;
    std::mt19937_64 m_random;
};

} // namespace fuchsiagauge::bench
