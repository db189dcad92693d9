#include "mesh/replica_transport.h"

#include "mesh/replica_messages.h"

#include <utility>

namespace fuchsiagauge {
namespace {

    constexpr int okStatus = 200;
    constexpr int badRequestStatus = 400;

} // namespace

bool isReplicaPoll(const call_request& request) { return request.fields.find(replicaPollField) != nullptr; }

void serveReplicaPoll(replica_exchange& exchange, const std::shared_ptr<incoming_call>& incoming)
{
    const auto poll = parseReplicaPoll(incoming->getRequest().fields.get(replicaPollField));
    response_head head;
    if (!poll) {
        head.status = badRequestStatus;
        incoming->respond(head, "the poll is not valid\n");
        return;
    }
    exchange.answer(*poll, [incoming](const replica_answer& answer) {
        response_head answerHead;
        answerHead.fields.add("Content-Type", "application/cbor");
        incoming->respond(answerHead, encodeReplicaAnswer(answer));
    });
}

void sendReplicaPoll(peer_pools& pools, const address& peer, const replica_poll& poll, milliseconds expiresAt,
    replica_exchange::answer_hook onAnswer)
{
    outgoing_request outgoing;
    outgoing.request.method = "GET";
    outgoing.request.target = "/items";
    outgoing.request.fields.add("Host", formatAddress(peer));
    outgoing.request.fields.add(replicaPollField, formatReplicaPoll(poll));
    outgoing.expiresAt = expiresAt;
    pools.get(peer).send(
        std::move(outgoing), [onAnswer = std::move(onAnswer)](const outgoing_result& result) {
            const bool isAnswered = result.isAnswered && result.head.status == okStatus;
            onAnswer(isAnswered ? decodeReplicaAnswer(result.body) : std::nullopt);
        });
}

} // namespace fuchsiagauge
