#pragma once

#include "node/node_context.h"
#include "transport/response_writer.h"

namespace fuchsiagauge {

/// Delays the writes of a response to another region so that they stay within the link's byte budget.
class paced_writer : public response_writer {
public:
    /// @param inner writes the response.
    /// @param nodeContext provides the link budget and the counters.
    /// @param className request class that the bytes are counted for.
    paced_writer(response_writer& inner, node_context& nodeContext, std::string className);

    bool sendComplete(
        const response_head& head, const std::string& body, boost::asio::yield_context yield) override;
    bool start(const response_head& head, boost::asio::yield_context yield) override;
    bool write(const char* data, std::size_t size, boost::asio::yield_context yield) override;
    bool finish(boost::asio::yield_context yield) override { return m_inner.finish(yield); }
    void abort() override { m_inner.abort(); }
    bool isStarted() const override { return m_inner.isStarted(); }
    bool isClosed() const override { return m_inner.isClosed(); }
    void setDisconnectHook(std::function<void()> hook) override
    {
        m_inner.setDisconnectHook(std::move(hook));
    }

private:
    void pace(std::size_t bytes, boost::asio::yield_context yield);

    response_writer& m_inner;
    node_context& m_nodeContext;
    std::string m_className;
    bool m_isLarge = false;
};

} // namespace fuchsiagauge
