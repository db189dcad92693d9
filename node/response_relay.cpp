#include "node/response_relay.h"

#include <vector>

namespace fuchsiagauge {
namespace {

    constexpr std::size_t relayBufferBytes = 65536;

    /// How forwarding the body of one attempt's response ended.
    enum class relay_result {
        Complete,
        SourceFailed, ///< The connection that the body comes from broke.
        CallerGone, ///< The caller disconnected or the call was cancelled.
    };

    relay_result relayBody(exchange& source, response_writer& writer, std::uint64_t& deliveredBytes,
        cancel_scope& scope, boost::asio::yield_context yield)
    {
        std::vector<char> buffer(relayBufferBytes);
        const cancel_registration registration(scope, [&source] { source.cancel(); });
        while (true) {
            const auto count = source.readSome(buffer.data(), buffer.size(), yield);
            if (scope.isCancelled())
                return relay_result::CallerGone;
            if (!count)
                return relay_result::SourceFailed;
            if (*count == 0)
                return relay_result::Complete;
            if (!writer.write(buffer.data(), *count, yield))
                return relay_result::CallerGone;
            deliveredBytes += *count;
        }
    }

    bool relayStream(attempt_response& response, response_writer& writer, const resume_hook& resume,
        cancel_scope& scope, boost::asio::yield_context yield)
    {
        if (!writer.start(response.getHead(), yield))
            return false;
        std::uint64_t deliveredBytes = 0;
        auto result = relayBody(*response.getBodyStream(), writer, deliveredBytes, scope, yield);
        response.finish(result == relay_result::Complete);
        const bool isResumable = resume && response.getHead().contentLength;
        while (result == relay_result::SourceFailed && isResumable) {
            const auto remainder = resume(deliveredBytes);
            if (!remainder)
                break;
            if (remainder->isBuffered()) {
                const auto& body = remainder->getBody();
                result = writer.write(body.data(), body.size(), yield) ? relay_result::Complete
                                                                       : relay_result::CallerGone;
            } else {
                result = relayBody(*remainder->getBodyStream(), writer, deliveredBytes, scope, yield);
            }
            remainder->finish(result == relay_result::Complete);
        }
        if (result == relay_result::Complete)
            return writer.finish(yield);
        writer.abort();
        return false;
    }

} // namespace

bool relayResponse(attempt_response& response, response_writer& writer, const resume_hook& resume,
    cancel_scope& scope, boost::asio::yield_context yield)
{
    if (!response.isBuffered())
        return relayStream(response, writer, resume, scope, yield);
    const bool isWritten = writer.sendComplete(response.getHead(), response.getBody(), yield);
    response.finish(true);
    return isWritten;
}

} // namespace fuchsiagauge
