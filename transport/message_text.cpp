#include "transport/message_text.h"

#include <boost/beast/http/status.hpp>
#include <ostream>

namespace fuchsiagauge {
namespace {

    constexpr int noContentStatus = 204;
    constexpr int notModifiedStatus = 304;
    constexpr std::size_t typicalHeadBytes = 512;

    void appendFields(std::string& text, const header_fields& fields)
    {
        for (const auto& field : fields.getAll()) {
            text += field.name;
            text += ": ";
            text += field.value;
            text += "\r\n";
        }
    }

    void appendLength(std::string& text, std::uint64_t length)
    {
        text += "Content-Length: ";
        text += std::to_string(length);
        text += "\r\n";
    }

    bool isBodyExpected(const std::string& method)
    {
        return method != "GET" && method != "HEAD" && method != "DELETE" && method != "OPTIONS";
    }

} // namespace

std::string formatRequestHead(const call_request& request, std::size_t followingBytes)
{
    std::string text;
    text.reserve(typicalHeadBytes + followingBytes);
    text += request.method;
    text += ' ';
    text += request.target;
    text += " HTTP/1.1\r\n";
    appendFields(text, request.fields);
    if (!request.body.empty() || isBodyExpected(request.method))
        appendLength(text, request.body.size());
    text += "\r\n";
    return text;
}

std::string formatResponse(const response_head& head, const std::string& body, response_framing framing)
{
    std::string text;
    text.reserve(typicalHeadBytes + body.size());
    text += "HTTP/1.1 ";
    text += std::to_string(head.status);
    text += ' ';
    const auto reason = boost::beast::http::obsolete_reason(
        boost::beast::http::int_to_status(static_cast<unsigned>(head.status)));
    text.append(reason.data(), reason.size());
    text += "\r\n";
    appendFields(text, head.fields);
    const bool isBodyless
        = framing.isHeadRequest || head.status == noContentStatus || head.status == notModifiedStatus;
    if (!isBodyless)
        appendLength(text, body.size());
    else if (head.contentLength && framing.isHeadRequest)
        appendLength(text, *head.contentLength);
    if (framing.closesConnection)
        text += "Connection: close\r\n";
    text += "\r\n";
    if (!isBodyless)
        text += body;
    return text;
}

} // namespace fuchsiagauge
