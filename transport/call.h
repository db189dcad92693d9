#pragma once

#include "transport/message_body.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fuchsiagauge {

/// One header field of a request or a response.
struct header_field {
    std::string name;
    std::string value;
};

/// The header fields of a request or a response, in order. Names are compared case-insensitively.
class header_fields {
public:
    /// Appends a field.
    void add(std::string name, std::string value)
    {
        m_fields.push_back({ std::move(name), std::move(value) });
    }

    /// Replaces all fields with this name by a single one.
    void set(const std::string& name, std::string value);

    /// Removes all fields with this name.
    void erase(const std::string& name);

    /// Removes all fields whose name begins with `prefix`.
    void erasePrefix(const std::string& prefix);

    /// Removes all fields for whose name `isUnwanted` returns true.
    void eraseIf(const std::function<bool(const std::string& name)>& isUnwanted);

    /// @return the value of the first field with this name, or null.
    const std::string* find(const std::string& name) const;

    /// @return the value of the first field with this name, or an empty string.
    std::string get(const std::string& name) const;

    const std::vector<header_field>& getAll() const { return m_fields; }

    /// @return the bytes of memory that the fields take.
    std::size_t getMemory() const;

private:
    std::vector<header_field> m_fields;
};

/// An HTTP request with its complete body.
struct call_request {
    std::string method;
    std::string target; ///< Path and query.
    header_fields fields; ///< Without hop-by-hop fields and Content-Length.
    message_body body;

    /// @return the path without the query.
    std::string getPath() const { return target.substr(0, target.find('?')); }
};

/// Status and header fields of an HTTP response.
struct response_head {
    int status = 200;
    header_fields fields; ///< Without hop-by-hop fields and Content-Length.
    std::optional<std::uint64_t> contentLength; ///< Empty: the length is not known in advance.
};

/// Whether a response belongs to a request.
enum class response_match {
    Matches,
    OtherRequest,
    Unidentified ///< The response names no request.
};

/// @return whether two field names are equal, ignoring case.
bool equalsIgnoringCase(const std::string& name, const char* expected);

/// @return whether a field name begins with `prefix`, ignoring case.
bool startsWithIgnoringCase(const std::string& name, const char* prefix);

/// @return whether a field applies to a single connection or message framing only, such as Connection or
/// Content-Length, and is therefore not passed on.
bool isHopByHopField(const std::string& name);

} // namespace fuchsiagauge
