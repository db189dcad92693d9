#pragma once

#include "core/clock.h"
#include "transport/call.h"
#include "transport/memory_account.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace fuchsiagauge {

/// One request that was received on a connection and gets one response.
///
/// The responses of a connection are sent in the order of its requests, regardless of the order of respond().
class incoming_call {
public:
    /// Notifies the connection that the call was answered or dropped.
    using ready_hook = std::function<void()>;

    incoming_call(call_request received, milliseconds arrivedAt, ready_hook onReady);

    /// @return the request with its complete body.
    call_request& getRequest() { return m_request; }

    /// @return the time at which the request had been read completely.
    milliseconds getArrivalTime() const { return m_arrivedAt; }

    /// Sets the response. Only the first call of respond() or drop() has an effect.
    void respond(const response_head& head, std::string body);

    /// Sets the memory that the request is accounted for, until the end of this object's life.
    void setCharge(memory_charge charge) { m_charge = std::move(charge); }

    /// @return the memory that the request is accounted for.
    std::size_t getChargedBytes() const { return m_charge.getBytes(); }

    /// Closes the connection instead of sending a response.
    void drop();

    /// Sets the hook that is called once if the client disconnects before respond() or drop().
    void setDisconnectHook(std::function<void()> hook) { m_onDisconnect = std::move(hook); }

    /// Sets the hook that is called if the connection can't wait for the response any longer. It must respond
    /// at once.
    void setCutOffHook(std::function<void()> hook) { m_onCutOff = std::move(hook); }

    /// Ends the call by a response that is given at once, if a hook is set. Called by the connection.
    void cutOff();

    /// @return whether the call was answered or dropped, or the client has disconnected.
    bool isEnded() const { return m_isEnded; }

    /// Ends the call because the client has disconnected. Called by the connection.
    void handleDisconnect();

    /// @return whether the call was answered or dropped. Called by the connection.
    bool isReady() const { return m_isReady; }

    /// @return whether the connection is to be closed instead of sending a response.
    bool isDropped() const { return m_isDropped; }

    const response_head& getResponseHead() const { return m_head; }
    const std::string& getResponseBody() const { return m_body; }

private:
    call_request m_request;
    milliseconds m_arrivedAt;
    ready_hook m_onReady;
    std::function<void()> m_onDisconnect;
    std::function<void()> m_onCutOff;
    response_head m_head;
    std::string m_body;
    memory_charge m_charge;
    bool m_isEnded = false;
    bool m_isReady = false;
    bool m_isDropped = false;
};

} // namespace fuchsiagauge
