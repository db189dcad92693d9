#include "core/json_text.h"

#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

namespace fuchsiagauge {
namespace {

    using json = nlohmann::json;

    constexpr std::size_t maxDescriptionBytes = 60;
    constexpr std::size_t maxParserMessageBytes = 300;

    /// Thrown out of the parser when a document exceeds maxJsonDepth.
    class nesting_depth_error : public std::runtime_error {
    public:
        nesting_depth_error()
            : std::runtime_error("nested too deeply")
        {
        }
    };

    /// SAX handler that reports duplicate keys and throws nesting_depth_error on too deep nesting.
    ///
    /// Runs as a separate pass before the document is parsed, because the callback that the parser offers for
    /// this takes time quadratic in the number of keys of an object.
    class json_structure_checker : public nlohmann::json_sax<json> {
    public:
        explicit json_structure_checker(document_findings& findings)
            : m_findings(findings)
        {
        }

        bool null() override { return checkDepth(); }
        bool boolean(bool) override { return checkDepth(); }
        bool number_integer(number_integer_t) override { return checkDepth(); }
        bool number_unsigned(number_unsigned_t) override { return checkDepth(); }
        bool number_float(number_float_t, const string_t&) override { return checkDepth(); }
        bool string(string_t&) override { return checkDepth(); }
        bool binary(binary_t&) override { return checkDepth(); }

        bool start_object(std::size_t) override
        {
            checkDepth();
            ++m_depth;
            m_openObjects.push_back({ {}, {} });
            return true;
        }

        bool end_object() override
        {
            --m_depth;
            m_openObjects.pop_back();
            return true;
        }

        bool start_array(std::size_t) override
        {
            checkDepth();
            ++m_depth;
            return true;
        }

        bool end_array() override
        {
            --m_depth;
            return true;
        }

        bool key(string_t& name) override
        {
            addKey(name);
            return checkDepth();
        }

        bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override
        {
            return false;
        }

    private:
        /// An object whose end has not been reached yet.
        struct open_object {
            std::set<std::string> keys;
            std::string lastKey;
        };

        /// @return true, so that the handlers can return the result.
        bool checkDepth() const
        {
            if (m_depth > maxJsonDepth)
                throw nesting_depth_error();
            return true;
        }

        void addKey(const std::string& key)
        {
            auto& object = m_openObjects.back();
            object.lastKey = key;
            if (!object.keys.insert(key).second)
                m_findings.push_back(
                    { finding_severity::Fault, getPath(), "the key is there twice", "each key once" });
        }

        /// @return the dotted path of the last key read; arrays add nothing to it.
        std::string getPath() const
        {
            std::string path;
            for (const auto& object : m_openObjects)
                path += (path.empty() ? "" : ".") + object.lastKey;
            return path;
        }

        document_findings& m_findings;
        std::vector<open_object> m_openObjects;
        int m_depth = 0;
    };

    /// @return the parser's message without the exception name in brackets, truncated and in valid UTF-8.
    std::string shortenParserMessage(const std::string& message)
    {
        const auto end = message.find("] ");
        auto text = end == std::string::npos ? message : message.substr(end + 2);
        if (text.size() > maxParserMessageBytes)
            text = text.substr(0, maxParserMessageBytes) + "...";
        const json value = text;
        const auto quoted = value.dump(-1, ' ', false, json::error_handler_t::replace);
        return json::parse(quoted).get<std::string>();
    }

    /// Records a fault of the document as a whole.
    void addFault(document_findings& findings, const std::string& found, const std::string& expected)
    {
        findings.push_back({ finding_severity::Fault, "", found, expected });
    }

} // namespace

std::optional<json> parseJsonText(const std::string& text, document_findings& findings)
{
    json_structure_checker structureChecker(findings);
    const auto findingCountBefore = findings.size();
    try {
        json::sax_parse(text, &structureChecker, json::input_format_t::json, true, true);
        auto value = json::parse(text, nullptr, true, true);
        if (findings.size() == findingCountBefore)
            return value;
    } catch (const json::exception& exception) {
        addFault(findings, "not JSON: " + shortenParserMessage(exception.what()),
            "JSON, with or without comments");
    } catch (const nesting_depth_error&) {
        addFault(findings, "objects or lists nested too deeply",
            "at most " + std::to_string(maxJsonDepth) + " levels");
    }
    return std::nullopt;
}

bool isNestedTooDeeply(const std::string& text)
{
    int depth = 0;
    bool isInString = false;
    for (std::size_t position = 0; position < text.size(); ++position) {
        const char character = text[position];
        if (isInString) {
            if (character == '\\')
                ++position;
            isInString = character != '"';
        } else if (character == '"') {
            isInString = true;
        } else if (character == '[' || character == '{') {
            if (++depth > maxJsonDepth)
                return true;
        } else if (character == ']' || character == '}') {
            --depth;
        }
    }
    return false;
}

std::string describeJson(const json& value)
{
    if (value.is_object())
        return "an object";
    if (value.is_array())
        return "a list";
    auto text = value.dump(-1, ' ', false, json::error_handler_t::replace);
    if (text.size() <= maxDescriptionBytes)
        return text;
    // Moves back to the first byte of a UTF-8 sequence so as not to cut it in two.
    auto end = maxDescriptionBytes;
    while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0U) == 0x80U)
        --end;
    return text.substr(0, end) + "...";
}

} // namespace fuchsiagauge
