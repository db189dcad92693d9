#pragma once

// Include only from source files of the HTTP layer, since Beast is slow to compile.

#include "core/http_status.h"
#include "transport/call.h"
#include "transport/receive_limits.h"

#include <algorithm>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <utility>

namespace fuchsiagauge {

/// Parses one complete HTTP message into its public members.
///
/// Beast's parser delivers header fields and body directly into the types of this code base, without an
/// intermediate Beast message.
template <bool isRequest> class message_parser : public boost::beast::http::basic_parser<isRequest> {
public:
    using error_code = boost::beast::error_code;
    using string_view = boost::beast::string_view;

    /// @param headerBytes largest header section that is accepted.
    /// @param bodyBytes largest body that is accepted.
    message_parser(std::size_t headerBytes, std::size_t bodyBytes)
    {
        this->header_limit(static_cast<std::uint32_t>(headerBytes));
        this->body_limit(bodyBytes);
        this->eager(true);
    }

    std::string method; ///< Requests only.
    std::string target; ///< Path and query. Requests only.
    int status = 0; ///< Responses only.
    header_fields fields; ///< Without hop-by-hop fields and Content-Length.
    std::string body;
    int keepAliveSeconds = -1; ///< Value of `Keep-Alive: timeout`; -1 if it is missing.
    bool expectsContinue = false; ///< The sender waits for `100 Continue` before it sends the body.
    /// A status line stands within the head: an unfinished head goes on with another response. Parsing ends
    /// with an error.
    bool hasSecondStatusLine = false;
    receive_limits limits; ///< Requests only.
    const char* exceededLimit = nullptr; ///< Which of `limits` has ended parsing; null if none has.

    /// @return the memory that the message takes. Pages of a large body that have not been written don't
    /// count.
    std::size_t getMemory() const
    {
        constexpr std::size_t smallBytes = 131072;
        return method.size() + target.size() + fields.getMemory()
            + std::min(body.capacity(), std::max(body.size(), smallBytes));
    }

    /// @return whether the body is not a small one by its length, or by what has arrived if it has none.
    bool isLargeBody() const
    {
        constexpr std::size_t smallBytes = 65536;
        constexpr std::size_t smallUnknownBytes = 16384;
        if (!this->is_header_done())
            return false;
        if (const auto length = this->content_length())
            return *length > smallBytes;
        return body.size() > smallUnknownBytes;
    }

private:
    void on_request_impl(boost::beast::http::verb /*verb*/, string_view methodText, string_view targetText,
        int /*version*/, error_code& /*code*/) override
    {
        method.assign(methodText.data(), methodText.size());
        target.assign(targetText.data(), targetText.size());
    }

    void on_response_impl(int statusCode, string_view reason, int /*version*/, error_code& code) override
    {
        status = statusCode;
        if (!isHttpStatus(status))
            code = boost::beast::http::error::bad_status;
        if (containsStatusLine(reason))
            rejectSecondStatusLine(code);
    }

    void on_field_impl(
        boost::beast::http::field name, string_view nameText, string_view value, error_code& code) override
    {
        if (this->is_header_done()) { // A trailer can't change what the head has told.
            m_trailerBytes += nameText.size() + value.size();
            if (isRequest && m_trailerBytes > limits.trailerBytes)
                rejectBeyond("trailer", code);
            return;
        }
        if (!isRequest && containsStatusLine(value)) {
            rejectSecondStatusLine(code);
            return;
        }
        if (name == boost::beast::http::field::keep_alive)
            readKeepAlive(std::string(value));
        if (name == boost::beast::http::field::expect)
            expectsContinue = true;
        std::string text(nameText);
        if (!isHopByHopField(text))
            fields.add(std::move(text), std::string(value));
    }

    void on_header_impl(error_code& /*code*/) override { }

    void on_body_init_impl(const boost::optional<std::uint64_t>& contentLength, error_code& /*code*/) override
    {
        // A large Content-Length does not allocate memory before the body arrives.
        constexpr std::uint64_t maxReservedBytes = 65536;
        if (contentLength)
            body.reserve(static_cast<std::size_t>(std::min(*contentLength, maxReservedBytes)));
    }

    std::size_t on_body_impl(string_view chunk, error_code& /*code*/) override
    {
        body.append(chunk.data(), chunk.size());
        return chunk.size();
    }

    void on_chunk_header_impl(std::uint64_t size, string_view extensions, error_code& code) override
    {
        ++m_chunkCount;
        if (!isRequest)
            return;
        if (extensions.size() > limits.chunkExtensionBytes)
            rejectBeyond("chunk-extension", code);
        else if (!limits.mayHaveChunks(m_chunkCount, body.size() + size))
            rejectBeyond("chunks", code);
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, string_view chunk, error_code& code) override
    {
        return on_body_impl(chunk, code);
    }

    void on_finish_impl(error_code& /*code*/) override { }

    /// @return whether a text contains the beginning of a status line, such as `HTTP/1.1 200`.
    static bool containsStatusLine(string_view text)
    {
        constexpr std::size_t versionBytes = 8;
        constexpr std::size_t statusDigits = 3;
        for (auto start = text.find("HTTP/1."); start != string_view::npos;
             start = text.find("HTTP/1.", start + 1)) {
            const auto rest = text.substr(start);
            if (rest.size() <= versionBytes + statusDigits || rest[versionBytes] != ' ')
                continue;
            const auto digits = rest.substr(versionBytes + 1, statusDigits);
            if (std::all_of(
                    digits.begin(), digits.end(), [](char digit) { return digit >= '0' && digit <= '9'; }))
                return true;
        }
        return false;
    }

    void rejectSecondStatusLine(error_code& code)
    {
        hasSecondStatusLine = true;
        code = boost::beast::http::error::bad_value;
    }

    void rejectBeyond(const char* limit, error_code& code)
    {
        exceededLimit = limit;
        code = boost::beast::http::error::bad_chunk;
    }

    void readKeepAlive(const std::string& value)
    {
        const std::string key = "timeout=";
        const auto position = value.find(key);
        if (position != std::string::npos)
            keepAliveSeconds = std::atoi(value.c_str() + position + key.size());
    }

    std::size_t m_trailerBytes = 0;
    std::uint64_t m_chunkCount = 0;
};

} // namespace fuchsiagauge
