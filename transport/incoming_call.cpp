#include "transport/incoming_call.h"

namespace fuchsiagauge {

incoming_call::incoming_call(call_request received, milliseconds at, ready_hook onReady)
    : m_request(std::move(received))
    , m_arrivedAt(at)
    , m_onReady(std::move(onReady))
{
}

void incoming_call::answer(const answer_head& head, const std::string& body)
{
    if (m_isEnded)
        return;
    m_isEnded = true;
    m_isReady = true;
    m_head = head;
    m_body = body;
    m_onLeave = nullptr;
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
    m_onLeave = nullptr;
    const auto onReady = std::move(m_onReady);
    onReady();
}

void incoming_call::leave()
{
    if (m_isEnded)
        return;
    m_isEnded = true;
    m_onReady = nullptr;
    const auto onLeave = std::move(m_onLeave);
    if (onLeave)
        onLeave();
}

} // namespace fuchsiagauge
