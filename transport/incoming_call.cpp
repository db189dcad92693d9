#include "transport/incoming_call.h"

namespace fuchsiagauge {

incoming_call::incoming_call(call_request received, milliseconds arrivedAt, ready_hook onReady)
    : m_request(std::move(received))
    , m_arrivedAt(arrivedAt)
    , m_onReady(std::move(onReady))
{
}

void incoming_call::respond(const response_head& head, std::string body)
{
    if (m_isEnded)
        return;
    m_isEnded = true;
    m_isReady = true;
    m_head = head;
    m_body = std::move(body);
    m_onDisconnect = nullptr;
    m_onCutOff = nullptr;
    const auto onReady = std::move(m_onReady);
    onReady();
}

void incoming_call::drop()
{
    if (m_isEnded)
        return;
    m_isEnded = true;
    m_isReady = true;
    m_isDropped = true;
    m_onDisconnect = nullptr;
    m_onCutOff = nullptr;
    const auto onReady = std::move(m_onReady);
    onReady();
}

void incoming_call::cutOff()
{
    const auto onCutOff = std::move(m_onCutOff);
    m_onCutOff = nullptr;
    if (!m_isEnded && onCutOff)
        onCutOff();
}

void incoming_call::handleDisconnect()
{
    if (m_isEnded)
        return;
    m_isEnded = true;
    m_onReady = nullptr;
    m_onCutOff = nullptr;
    const auto onDisconnect = std::move(m_onDisconnect);
    if (onDisconnect)
        onDisconnect();
}

} // namespace fuchsiagauge
