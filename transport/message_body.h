#pragma once

#include <memory>
#include <string>
#include <utility>

namespace fuchsiagauge {

/// The body of a request. Copies share the bytes, so that a request which is kept for a retry, queued and
/// being sent takes the memory of one.
class message_body {
public:
    message_body() = default;
    message_body(std::string text)
        : m_text(text.empty() ? nullptr : std::make_shared<const std::string>(std::move(text)))
    {
    }
    message_body(const char* text)
        : message_body(std::string(text))
    {
    }

    operator const std::string&() const { return getText(); }
    const std::string& getText() const
    {
        static const std::string empty;
        return m_text ? *m_text : empty;
    }
    const char* data() const { return getText().data(); }
    std::size_t size() const { return getText().size(); }
    bool empty() const { return getText().empty(); }

private:
    std::shared_ptr<const std::string> m_text;
};

} // namespace fuchsiagauge
