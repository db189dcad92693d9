#pragma once

#include "node/node_parts.h"
#include "transport/response_writer.h"

namespace fuchsiagauge {

/// Keeps an answer that crosses the link between regions within the link's byte budget.
class paced_writer : public response_writer {
public:
    /// @param inner writes the answer.
    /// @param parts the node's link budget and counters.
    /// @param className class whose bytes are counted.
    paced_writer(response_writer& inner, node_parts& parts, std::string className);

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
    node_parts& m_parts;
    std::string m_className;
    bool m_isLarge = false;
};

} // namespace fuchsiagauge
