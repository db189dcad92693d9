#include "node/answer_relay.h"

#include <vector>

namespace fuchsiagauge {
namespace {

    constexpr std::size_t pieceBytes = 65536;

    /// How the passing on of one part of a body ended.
    enum class relay_end {
        Complete,
        SourceBroke,
        CallerGone,
    };

    relay_end relayBody(exchange& source, response_writer& writer, std::uint64_t& delivered,
        cancel_scope& scope, boost::asio::yield_context yield)
    {
        std::vector<char> piece(pieceBytes);
        const cancel_registration registration(scope, [&source] { source.cancel(); });
        while (true) {
            const auto count = source.readSome(piece.data(), piece.size(), yield);
            if (scope.isCancelled())
                return relay_end::CallerGone;
            if (!count)
                return relay_end::SourceBroke;
            if (*count == 0)
                return relay_end::Complete;
            if (!writer.write(piece.data(), *count, yield))
                return relay_end::CallerGone;
            delivered += *count;
        }
    }

    bool relayStream(attempt_answer& answer, response_writer& writer, const resume_hook& resume,
        cancel_scope& scope, boost::asio::yield_context yield)
    {
        if (!writer.start(answer.getHead(), yield))
            return false;
        std::uint64_t delivered = 0;
        auto end = relayBody(*answer.getRest(), writer, delivered, scope, yield);
        answer.end(end == relay_end::Complete);
        const bool isResumable = resume && answer.getHead().contentLength;
        while (end == relay_end::SourceBroke && isResumable) {
            const auto rest = resume(delivered);
            if (!rest)
                break;
            if (rest->isWhole()) {
                const auto& body = rest->getBody();
                end = writer.write(body.data(), body.size(), yield) ? relay_end::Complete
                                                                    : relay_end::CallerGone;
            } else {
                end = relayBody(*rest->getRest(), writer, delivered, scope, yield);
            }
            rest->end(end == relay_end::Complete);
        }
        if (end == relay_end::Complete)
            return writer.finish(yield);
        writer.abort();
        return false;
    }

} // namespace

bool relayAnswer(attempt_answer& answer, response_writer& writer, const resume_hook& resume,
    cancel_scope& scope, boost::asio::yield_context yield)
{
    if (!answer.isWhole())
        return relayStream(answer, writer, resume, scope, yield);
    const bool isWritten = writer.sendComplete(answer.getHead(), answer.getBody(), yield);
    answer.end(true);
    return isWritten;
}

} // namespace fuchsiagauge
