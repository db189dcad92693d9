#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace fuchsiagauge::bench {

/// One header field.
struct http_field {
    std::string name;
    std::string value;
};

/// The header fields of a message, in the order in which they were added.
class http_fields {
public:
    http_fields() = default;
    http_fields(std::initializer_list<http_field> fields)
        : m_fields(fields)
    {
    }

    void add(std::string name, std::string value)
    {
        m_fields.push_back({ std::move(name), std::move(value) });
    }

    /// @return the value of the first field with this name, ignoring case; empty if there is none.
    std::string get(const std::string& name) const;

    /// @return whether there is a field with this name, ignoring case.
    bool has(const std::string& name) const;

    std::vector<http_field>::const_iterator begin() const { return m_fields.begin(); }
    std::vector<http_field>::const_iterator end() const { return m_fields.end(); }

private:
    std::vector<http_field> m_fields;
};

/// An HTTP request with its body in memory.
struct http_request {
    std::string method = "GET";
    std::string path = "/"; ///< Includes the query.
    http_fields fields;
    std::string body;
};

/// An HTTP response with its body in memory.
struct http_response {
    int status = 200;
    http_fields fields;
    std::string body;
};

/// @return the value of a query parameter of a path; empty if the path doesn't have it.
std::string getQueryValue(const std::string& path, const std::string& key);

} // namespace fuchsiagauge::bench
