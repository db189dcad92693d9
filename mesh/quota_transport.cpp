#include "mesh/quota_transport.h"

#include "mesh/quota_messages.h"

#include <utility>

namespace fuchsiagauge {
namespace {

    constexpr int okStatus = 200;
    constexpr int badRequestStatus = 400;
    /// Header field that marks these requests; its value is the host of the sender.
    constexpr const char* senderField = "fg-quota";
    constexpr const char* reportPath = "/quota";
    constexpr const char* callPath = "/quota-call";

    outgoing_request makeRequest(const char* path, const std::string& self, const address& peer,
        std::string body, milliseconds expiresAt)
    {
        outgoing_request outgoing;
        outgoing.request.method = "POST";
        outgoing.request.target = path;
        outgoing.request.fields.add("Host", formatAddress(peer));
        outgoing.request.fields.add(senderField, self);
        outgoing.request.body = std::move(body);
        outgoing.expiresAt = expiresAt;
        return outgoing;
    }

} // namespace

bool isQuotaMessage(const call_request& request) { return request.fields.find(senderField) != nullptr; }

void serveQuotaMessage(quota_agent& quota, const clock& time, const std::shared_ptr<incoming_call>& incoming)
{
    const auto& request = incoming->getRequest();
    const auto sender = request.fields.get(senderField);
    response_head head;
    if (request.getPath() == callPath) {
        const auto call = decodeQuotaAnswer(request.body);
        head.status = call ? okStatus : badRequestStatus;
        incoming->respond(head, {});
        if (call)
            quota.handleCall(time.now(), sender, *call);
        return;
    }
    const auto report = decodeQuotaReport(request.body);
    if (!report) {
        head.status = badRequestStatus;
        incoming->respond(head, "the report is not valid\n");
        return;
    }
    incoming->respond(head, encodeQuotaAnswer(quota.handleReport(time.now(), sender, *report)));
}

void sendQuotaReport(peer_pools& pools, const clock& time, const std::string& self, const address& peer,
    const quota_report& report, milliseconds timeout, quota_agent::answer_hook onAnswer)
{
    pools.get(peer).send(makeRequest(reportPath, self, peer, encodeQuotaReport(report), time.now() + timeout),
        [time, onAnswer = std::move(onAnswer)](const outgoing_result& result) {
            const bool isAnswered = result.isAnswered && result.head.status == okStatus;
            onAnswer(time.now(), isAnswered ? decodeQuotaAnswer(result.body) : std::nullopt);
        });
}

void sendQuotaCall(peer_pools& pools, const clock& time, const std::string& self, const address& peer,
    const quota_answer& call, milliseconds timeout)
{
    pools.get(peer).send(makeRequest(callPath, self, peer, encodeQuotaAnswer(call), time.now() + timeout),
        [](const outgoing_result&) {});
}

} // namespace fuchsiagauge
