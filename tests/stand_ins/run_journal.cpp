#include "tests/stand_ins/run_journal.h"

#include "core/call_context.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <vector>

namespace fuchsiagauge::stand_in {

unverified_context readUnverifiedContext(const std::string& value)
{
    std::vector<std::string> fields;
    std::istringstream text(value);
    for (std::string field; std::getline(text, field, ';');)
        fields.push_back(field);
    constexpr std::size_t fieldCount = 9;
    if (fields.size() != fieldCount)
        return {};
    return { fields[1], std::strtod(fields[4].c_str(), nullptr), std::atoi(fields[7].c_str()) };
}

run_journal::run_journal(
    const std::string& fileName, std::string instance, std::string service, bool isRecordingAll)
    : m_instance(std::move(instance))
    , m_service(std::move(service))
    , m_isRecordingAll(isRecordingAll)
{
    if (fileName.empty())
        return;
    m_file.open(fileName, std::ios::app);
    if (!m_file)
        throw std::runtime_error("can't write " + fileName);
}

void run_journal::write(const char* event, const bench::http_request& request, int status)
{
    const auto order = request.fields.get("order-id");
    if (!m_file.is_open() || (order.empty() && !m_isRecordingAll))
        return;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto context = readUnverifiedContext(request.fields.get(header::context));
    const nlohmann::json line {
        { "time_ms", std::chrono::duration<double, std::milli>(now).count() },
        { "event", event },
        { "order", order },
        { "request", request.fields.get("caller-request-id") },
        { "context", context.requestId },
        { "depth", context.depth },
        { "instance", m_instance },
        { "service", m_service },
        { "path", request.path },
        { "status", status },
    };
    m_file << line.dump() << '\n' << std::flush;
}

} // namespace fuchsiagauge::stand_in
