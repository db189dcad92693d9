#include "node/paced_writer.h"

#include "transport/coroutine.h"

namespace fuchsiagauge {
namespace {

    constexpr std::size_t estimatedResponseHeadBytes = 400;
    constexpr milliseconds budgetRetryInterval { 100 }; ///< Wait after the link budget refused a reservation.

} // namespace

paced_writer::paced_writer(response_writer& inner, node_context& nodeContext, std::string className)
    : m_inner(inner)
    , m_nodeContext(nodeContext)
    , m_className(std::move(className))
{
}

bool paced_writer::sendComplete(
    const response_head& head, const std::string& body, boost::asio::yield_context yield)
{
    m_isLarge = body.size() > static_cast<std::size_t>(m_nodeContext.getPreset().link.smallAnswerBytes);
    pace(estimatedResponseHeadBytes + body.size(), yield);
    return m_inner.sendComplete(head, body, yield);
}

bool paced_writer::start(const response_head& head, boost::asio::yield_context yield)
{
    m_isLarge = true;
    pace(estimatedResponseHeadBytes, yield);
    return m_inner.start(head, yield);
}

bool paced_writer::write(const char* data, std::size_t size, boost::asio::yield_context yield)
{
    pace(size, yield);
    return m_inner.write(data, size, yield);
}

void paced_writer::pace(std::size_t bytes, boost::asio::yield_context yield)
{
    m_nodeContext.counters.getClass(m_className).linkBytes.add(bytes);
    auto delay = m_nodeContext.link.reserve(m_nodeContext.now(), static_cast<double>(bytes), m_isLarge);
    while (!delay) {
        sleepFor(m_nodeContext.io, budgetRetryInterval, yield);
        if (m_inner.isClosed())
            return;
        delay = m_nodeContext.link.reserve(m_nodeContext.now(), static_cast<double>(bytes), m_isLarge);
    }
    if (*delay > milliseconds(0))
        sleepFor(m_nodeContext.io, *delay, yield);
}

} // namespace fuchsiagauge
