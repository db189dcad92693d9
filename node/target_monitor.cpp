#include "node/target_monitor.h"

#include "core/log.h"
#include "transport/coroutine.h"
#include "transport/exchange.h"

#include <nlohmann/json.hpp>

namespace fuchsiagauge {
namespace {

    constexpr milliseconds readTimeout { 1000 };
    constexpr std::size_t maxEndpointBodyBytes = 65536;
    constexpr int okStatus = 200;

    /// @return the count stored under a key; 0 if it is missing, not an integer or out of range.
    int getCount(const nlohmann::json& document, const char* key)
    {
        constexpr long long maxCount = 1000000;
        const auto found = document.find(key);
        if (found == document.end() || !found->is_number_integer())
            return 0;
        const auto count = found->get<long long>();
        return count < 0 || count > maxCount ? 0 : static_cast<int>(count);
    }

} // namespace

target_monitor::target_monitor(node_context& nodeContext)
    : m_nodeContext(nodeContext)
{
}

void target_monitor::start()
{
    startCoroutine(m_nodeContext.io, [this](boost::asio::yield_context yield) { run(yield); });
}

void target_monitor::setNodeLeaving()
{
    m_isNodeLeaving = true;
    auto status = m_nodeContext.sharedState.target.get();
    status.isLeaving = true;
    m_nodeContext.sharedState.target.set(status);
}

void target_monitor::run(boost::asio::yield_context yield)
{
    const milliseconds pollInterval(static_cast<double>(m_nodeContext.config.getInteger("target.poll_ms")));
    while (!m_isStopping) {
        auto status = m_nodeContext.sharedState.target.get();
        readHealth(status, yield);
        readLoad(status, yield);
        status.isLeaving = status.isLeaving || m_isNodeLeaving;
        m_nodeContext.sharedState.target.set(status);
        sleepFor(m_nodeContext.io, pollInterval, yield);
    }
}

void target_monitor::readHealth(target_status& status, boost::asio::yield_context yield)
{
    int statusCode = 0;
    const auto body = fetch(m_nodeContext.config.getText("target.health_path"), statusCode, yield);
    status.isReachable = body.has_value() || getLastError().kind != error_kind::TargetUnreachable;
    if (!body)
        return;
    status.isHealthy = statusCode == okStatus;
    const auto document = nlohmann::json::parse(*body, nullptr, false);
    const bool hasState = document.is_object() && document.contains("state") && document["state"].is_string();
    status.isLeaving = hasState && document["state"].get<std::string>() == "draining";
}

void target_monitor::readLoad(target_status& status, boost::asio::yield_context yield)
{
    int statusCode = 0;
    const auto body = fetch(m_nodeContext.config.getText("target.load_path"), statusCode, yield);
    if (!body || statusCode != okStatus)
        return;
    const auto document = nlohmann::json::parse(*body, nullptr, false);
    if (!document.is_object())
        return;
    status.publishedSlots = getCount(document, "slots");
    status.publishedQueue = getCount(document, "queue");
}

std::optional<std::string> target_monitor::fetch(
    const std::string& path, int& statusCode, boost::asio::yield_context yield)
{
    if (path.empty())
        return fail(error_kind::BadSettings, "the target has no such endpoint");
    exchange call(m_nodeContext.pools.get(*parseAddress(m_nodeContext.config.getText("target.address"))));
    call_request request;
    request.method = "GET";
    request.target = path;
    request.fields.set("host", m_nodeContext.config.getText("target.address"));
    const auto head = call.start(request, readTimeout, readTimeout, yield);
    if (!head)
        return std::nullopt;
    statusCode = head->status;
    std::string body(maxEndpointBodyBytes, '\0');
    std::size_t length = 0;
    while (length < body.size()) {
        const auto count = call.readSome(&body[length], body.size() - length, yield);
        if (!count)
            return std::nullopt;
        if (*count == 0)
            break;
        length += *count;
    }
    body.resize(length);
    return body;
}

} // namespace fuchsiagauge
