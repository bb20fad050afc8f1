#include "control/member_requests.hpp"

#include <string_view>
#include <utility>

#include "control/duty_service.hpp"
#include "control/gateway_service.hpp"
#include "control/replica_driver.hpp"
#include "control_messages/codec.hpp"
#include "rpc/server.hpp"

namespace beechpoint::control {

void MemberRequests::handle(const std::string& bytes, rpc::Reply reply) {
    const auto envelope = openEnvelope(bytes);
    if (!envelope) {
        rejectUnreadable(envelope.error(), reply);
        return;
    }
    const std::string_view body = envelope.value().body;
    switch (envelope.value().kind) {
        case RequestKind::replica:
            driver_.onRequest(body, std::move(reply));
            return;
        case RequestKind::poll: {
            auto request = decodePollRequest(body);
            if (!request) return rejectUnreadable(request.error(), reply);
            duties_.onPoll(request.value());
            gateways_.onPoll(std::move(request.value()), std::move(reply));
            return;
        }
        case RequestKind::peerUpdate: {
            const auto peerUpdate = decodePeerUpdate(body);
            if (!peerUpdate) return rejectUnreadable(peerUpdate.error(), reply);
            gateways_.onPeerUpdate(peerUpdate.value(), std::move(reply));
            return;
        }
        case RequestKind::usage: {
            const auto message = decodeUsageMessage(body);
            if (!message) return rejectUnreadable(message.error(), reply);
            duties_.onUsage(message.value(), std::move(reply));
            return;
        }
        case RequestKind::proposal: {
            auto proposal = decodeProposal(body);
            if (!proposal) return rejectUnreadable(proposal.error(), reply);
            duties_.onProposal(std::move(proposal.value()), std::move(reply));
            return;
        }
        case RequestKind::settlement: {
            auto settlement = decodeSettlement(body);
            if (!settlement) return rejectUnreadable(settlement.error(), reply);
            duties_.onSettlement(std::move(settlement.value()), std::move(reply));
            return;
        }
    }
}

// The caller treats an empty answer as a failure; without any answer the call would time out and close its connection.
void MemberRequests::rejectUnreadable(const Error& error, rpc::Reply& reply) {
    logger_.seldom("rpc", "a request can't be read: {}", field("error", error.text()));
    reply.send({});
}

}  // namespace beechpoint::control
