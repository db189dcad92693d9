#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fuchsiagauge {

/// One header field of a call or an answer.
struct header_field {
    std::string name;
    std::string value;
};

/// The header fields of a call or an answer; names compare without case.
class header_fields {
public:
    /// Adds a field behind those that exist.
    void add(std::string name, std::string value)
    {
        m_fields.push_back({ std::move(name), std::move(value) });
    }

    /// Replaces every field of that name by one.
    void set(const std::string& name, std::string value);

    /// Removes every field of that name.
    void erase(const std::string& name);

    /// Removes every field whose name begins with `prefix`.
    void erasePrefix(const std::string& prefix);

    /// Removes every field whose name satisfies the condition.
    void eraseIf(const std::function<bool(const std::string& name)>& isUnwanted);

    /// @return the first value of that name, or null.
    const std::string* find(const std::string& name) const;

    /// @return the first value of that name, or an empty text.
    std::string get(const std::string& name) const;

    const std::vector<header_field>& getAll() const { return m_fields; }

private:
    std::vector<header_field> m_fields;
};

/// A request with its whole body.
struct call_request {
    std::string method;
    std::string target; ///< Path and query.
    header_fields fields; ///< Without hop-by-hop fields and length.
    std::string body;

    /// @return the path without the query.
    std::string getPath() const { return target.substr(0, target.find('?')); }
};

/// The head of an answer.
struct response_head {
    int status = 200;
    header_fields fields; ///< Without hop-by-hop fields and length.
    std::optional<std::uint64_t> contentLength; ///< Nothing: the length is not known beforehand.
};

/// @return whether both are one field name; case doesn't count.
bool equalsIgnoringCase(const std::string& name, const char* expected);

/// @return whether the field name begins with `prefix`; case doesn't count.
bool startsWithIgnoringCase(const std::string& name, const char* prefix);

/// @return whether the field concerns one connection only and is not passed on.
bool isHopByHopField(const std::string& name);

} // namespace fuchsiagauge
