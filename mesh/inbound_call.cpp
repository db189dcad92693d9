#include "mesh/inbound_call.h"

#include "core/peer_envelope.h"
#include "mesh/pace_header.h"

#include <utility>

namespace fuchsiagauge {
namespace {

    constexpr int badRequestStatus = 400;
    constexpr int unavailableStatus = 503;
    constexpr int badGatewayStatus = 502;
    constexpr double minReportedShare = 0.01; ///< Smaller shares of rejections are not worth their bytes.

    bool isGateRefusal(attempt_outcome outcome)
    {
        return outcome == attempt_outcome::NoRoom || outcome == attempt_outcome::Shed
            || outcome == attempt_outcome::Leaving;
    }

    /// Responds to the other node, with the instance's response if there is one and with an error otherwise.
    void respondToPeer(
        mesh_context& context, incoming_call& incoming, const peer_call& call, attempt_result result)
    {
        peer_reply reply;
        reply.outcome = result.outcome;
        reply.busy = result.load.busy;
        reply.waiting = result.load.waiting;
        reply.slots = result.load.slots;
        reply.serviceTime = result.load.serviceTime;
        reply.downstreamFailure = result.downstreamFailure;
        const bool hasResponse = result.outcome == attempt_outcome::Answered;
        if (!hasResponse) {
            const bool isRefusal = isGateRefusal(result.outcome);
            context.counters.gateRefusals.add(isRefusal ? 1 : 0);
            if (!result.bottleneck.empty())
                context.counters.countTreeShed(result.bottleneck);
            context.log.write(isRefusal ? event_kind::GateRefused : event_kind::InstanceFailed,
                call.requestId,
                { { "outcome", std::string(getAttemptOutcomeName(result.outcome)) },
                    { "detail", result.detail }, { "busy", static_cast<double>(reply.busy) },
                    { "waiting", static_cast<double>(reply.waiting) },
                    { "slots", static_cast<double>(reply.slots) },
                    { "fill", std::string(getFillStateName(context.target.getFillState())) },
                    { "service_ms", reply.serviceTime.getCount() },
                    { "limit_per_s", result.load.rateLimit.value_or(0) },
                    { "start_within_ms", call.startWithin.getCount() },
                    { "priority", static_cast<double>(call.priority) },
                    { "organisation", call.organisation } });
            result.head = {};
            result.head.status = hasNotRun(result.outcome) ? unavailableStatus : badGatewayStatus;
            result.body = std::move(result.detail);
        }
        result.head.fields.add(peer_header::reply, formatPeerReply(reply));
        if (result.load.rejectedShare >= minReportedShare)
            result.head.fields.add(
                peer_header::rejectedShare, formatRejectedShare(result.load.rejectedShare));
        if (result.load.rateLimit)
            result.head.fields.add(peer_header::rateLimit, formatRateLimit(*result.load.rateLimit));
        if (result.load.pace.slowdown != 1)
            result.head.fields.add(peer_header::pace, formatPace(result.load.pace));
        if (result.load.isFilling())
            result.head.fields.add(fullSlotsHeader, std::to_string(result.load.fullSlots));
        if (!result.capacities.empty())
            result.head.fields.add(peer_header::capacity, formatCapacities(result.capacities));
        if (result.isInstanceLeaving)
            result.head.fields.add(peer_header::leaving, "1");
        incoming.respond(result.head, std::move(result.body));
    }

} // namespace

void serveInboundCall(mesh_context& context, const std::shared_ptr<incoming_call>& incoming)
{
    auto& request = incoming->getRequest();
    const auto* value = request.fields.find(peer_header::call);
    auto call = value ? parsePeerCall(*value) : std::nullopt;
    if (!call) {
        response_head head;
        head.status = badRequestStatus;
        incoming->respond(head, "a call envelope is missing or not valid\n");
        return;
    }
    call->rateLimit = parseRateLimit(request.fields.find(peer_header::rateLimit));
    request.fields.erase(peer_header::call);
    request.fields.erase(peer_header::rateLimit);
    call->fillHint = parseFillHint(request.fields.find(fillHintHeader));
    request.fields.erase(fillHintHeader);
    parsePeerOrganisation(request.fields.find(peer_header::organisation), *call);
    request.fields.erase(peer_header::organisation);
    if (context.usesKeys())
        context.protocol.removeOrganisationFields(request.fields);
    if (context.config.usesCallTrees) {
        const auto host = context.protocol.parseClientFields(request.fields).host;
        if (const auto* route = context.rules->findRoute(host, request.getPath()))
            call->route = route->name;
    }
    // The other node can still send a request that must run once elsewhere, but no longer once it is cut off.
    const bool mayBeCutOff
        = context.endsAt && !call->isIdempotent && context.time.now() + call->timeLeft > *context.endsAt;
    if (mayBeCutOff) {
        attempt_result leaving;
        leaving.outcome = attempt_outcome::Leaving;
        leaving.detail = "this node may stop before the request ends";
        leaving.load = context.target.getLoad();
        respondToPeer(context, *incoming, *call, std::move(leaving));
        return;
    }
    const auto runId
        = context.target.run(request, *call, [&context, incoming, call = *call](attempt_result result) {
              respondToPeer(context, *incoming, call, std::move(result));
          });
    incoming->setDisconnectHook([&context, runId] { context.target.cancel(runId); });
    incoming->setCutOffHook([&context, runId, weak = std::weak_ptr(incoming), call = *call] {
        const auto open = weak.lock();
        if (!open)
            return;
        const bool mayHaveRun = context.target.cancel(runId);
        attempt_result result;
        result.outcome = mayHaveRun ? attempt_outcome::Lost : attempt_outcome::Leaving;
        result.detail = "this node stops before the request ends";
        result.load = context.target.getLoad();
        respondToPeer(context, *open, call, std::move(result));
    });
}

} // namespace fuchsiagauge
