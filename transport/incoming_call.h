#pragma once

#include "core/clock.h"
#include "transport/call.h"

#include <functional>
#include <memory>
#include <string>

namespace fuchsiagauge {

/// One request that came in on a connection, to be answered once.
///
/// Answers of one connection leave in the order of its requests, whatever the order in which they are given.
class incoming_call {
public:
    /// Tells the connection that the answer is ready.
    using ready_hook = std::function<void()>;

    incoming_call(call_request received, milliseconds arrivedAt, ready_hook onReady);

    /// @return the request with its whole body.
    call_request& getRequest() { return m_request; }

    /// @return when the request had been read whole.
    milliseconds getArrivalTime() const { return m_arrivedAt; }

    /// Gives the answer. Only the first call of respond() or drop() has an effect.
    void respond(const response_head& head, const std::string& body);

    /// Closes the connection in place of an answer.
    void drop();

    /// Sets the hook that is called once when the other side leaves before the answer is given.
    void setDisconnectHook(std::function<void()> hook) { m_onDisconnect = std::move(hook); }

    /// @return whether an answer was given or the other side has left.
    bool isEnded() const { return m_isEnded; }

    /// Takes in that the other side has left; called by the connection.
    void handleDisconnect();

    /// @return whether the connection can go on with this call's answer; called by the connection.
    bool isReady() const { return m_isReady; }

    /// @return whether the connection ends in place of the answer.
    bool isDropped() const { return m_isDropped; }

    const response_head& getResponseHead() const { return m_head; }
    const std::string& getResponseBody() const { return m_body; }

private:
    call_request m_request;
    milliseconds m_arrivedAt;
    ready_hook m_onReady;
    std::function<void()> m_onDisconnect;
    response_head m_head;
    std::string m_body;
    bool m_isEnded = false;
    bool m_isReady = false;
    bool m_isDropped = false;
};

} // namespace fuchsiagauge
