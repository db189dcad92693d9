#include "tests/stand_ins/downstream_calls.h"

#include "core/call_context.h"

#include <boost/asio/steady_timer.hpp>
#include <set>
#include <sstream>

namespace fuchsiagauge::stand_in {
namespace {

    constexpr std::size_t maxConnections = 4000;

    std::vector<std::string> split(const std::string& text, char separator)
    {
        std::vector<std::string> parts;
        std::istringstream stream(text);
        for (std::string part; std::getline(stream, part, separator);)
            parts.push_back(part);
        return parts;
    }

    bench::http_request makeDownstreamRequest(const std::string& service, const bench::http_request& incoming)
    {
        bench::http_request request;
        request.path = "/" + service + "/for-request";
        request.fields.add(header::service, service);
        for (const char* name : { header::context, "caller-request-id" }) {
            if (incoming.fields.has(name))
                request.fields.add(name, incoming.fields.get(name));
        }
        return request;
    }

    int getFailureStatus(bench::exchange_failure failure)
    {
        return failure == bench::exchange_failure::Timeout ? 504 : 502;
    }

} // namespace

/// State of a group of parallel calls.
struct downstream_calls::call_group {
    std::set<bench::http_connection*> connections;
    std::size_t pendingCalls = 0;
    bool isCancelled = false;
    boost::asio::steady_timer* allEnded = nullptr;
};

downstream_calls::downstream_calls(
    boost::asio::io_context& context, const address& egress, const std::string& calls)
    : m_context(context)
    , m_pool(context, egress, maxConnections)
{
    for (const auto& group : split(calls, ','))
        m_groups.push_back(split(group, '+'));
}

downstream_result downstream_calls::call(const std::string& service, const bench::http_request& incoming,
    double timeoutMs, call_group& group, const boost::asio::yield_context& yield)
{
    auto connection = m_pool.acquire(milliseconds(timeoutMs), yield);
    if (!connection)
        return { 503, "egress-unreachable", service };
    if (group.isCancelled) {
        m_pool.release(std::move(connection), false);
        return { 499, "cancelled", service };
    }
    group.connections.insert(connection.get());
    const auto result = connection->exchange(
        makeDownstreamRequest(service, incoming), milliseconds(timeoutMs), false, yield);
    group.connections.erase(connection.get());
    m_pool.release(std::move(connection), result.isReusable);
    if (result.failure != bench::exchange_failure::None)
        return { getFailureStatus(result.failure), bench::getFailureName(result.failure), service };
    if (result.response.status == 200)
        return {};
    return { result.response.status, result.response.fields.get(header::error), service };
}

downstream_result downstream_calls::runGroup(const std::vector<std::string>& services,
    http_exchange& exchange, double timeoutMs, const boost::asio::yield_context& yield)
{
    call_group group;
    downstream_result result;
    boost::asio::steady_timer allEnded(m_context, boost::asio::steady_timer::time_point::max());
    group.pendingCalls = services.size();
    group.allEnded = &allEnded;
    exchange.setDisconnectHook([&group] {
        group.isCancelled = true;
        for (auto* connection : group.connections)
            connection->close();
    });
    for (const auto& service : services) {
        boost::asio::spawn(m_context, [&, service](const boost::asio::yield_context& callYield) {
            const auto callResult = call(service, exchange.getRequest(), timeoutMs, group, callYield);
            if (result.status == 200)
                result = callResult;
            if (--group.pendingCalls == 0)
                group.allEnded->cancel();
        });
    }
    boost::system::error_code code;
    while (group.pendingCalls > 0)
        allEnded.async_wait(yield[code]);
    exchange.setDisconnectHook({});
    return result;
}

downstream_result downstream_calls::run(
    http_exchange& exchange, double timeoutMs, const boost::asio::yield_context& yield)
{
    for (const auto& group : m_groups) {
        auto result = runGroup(group, exchange, timeoutMs, yield);
        if (result.status != 200 || exchange.isCallerDisconnected())
            return result;
    }
    return {};
}

} // namespace fuchsiagauge::stand_in
