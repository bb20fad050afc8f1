#include "control/duty_service.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <deque>
#include <utility>
#include <variant>

#include "control/intent_writer.hpp"
#include "control/replica_driver.hpp"
#include "control_messages/codec.hpp"
#include "host_discovery/platform_client.hpp"
#include "replica/replica.hpp"
#include "rpc/client.hpp"
#include "rpc/server.hpp"

namespace beechpoint::control {
namespace {

constexpr Millis kHeadTimeout = 1000;  // of a call to the head of the chain
constexpr Millis kMillisPerSecond = 1000;
constexpr int kNotCalled = 0;

std::string_view targetOf(duties::Duty duty) {
    return duty == duties::Duty::usage ? "/usage-reports" : "/scaling";
}

host_discovery::PlatformRequest requestOf(const duties::CallPlatform& call) {
    host_discovery::PlatformRequest request;
    request.method = "POST";
    request.target = targetOf(call.subject.duty);
    request.headerLines =
        fmt::format("X-Duty-Holder: {}\r\nX-Fence-Token: {}\r\nContent-Type: application/json\r\n",
                    call.holder, call.token);
    request.body = call.body;
    return request;
}

}  // namespace

class DutyService::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(asio::io_context& io, const Clock& clock, Logger& logger, ReplicaDriver& driver, Settings settings,
         LiveGateways liveGateways)
        : clock_(clock),
          logger_(logger),
          driver_(driver),
          client_(io, logger),
          platform_(io, settings.platformAddress),
          callsPerSecond_(settings.callsPerSecond),
          state_(std::move(settings.state)),
          writer_(std::make_shared<IntentWriter>(clock, driver)),
          liveGateways_(std::move(liveGateways)) {}

    void onPoll(const PollRequest& request) {
        state_.onGatewayTime(clock_.now(), request.gateway.name, request.unixTime);
    }

    void completeReply(PollReply& reply) const {
        reply.estimatedUnixTime = state_.estimatedUnixTime(clock_.now(), ownTime());
        if (!driver_.replica()) return;
        const auto holder = state_.usageHolder(driver_.replica()->view());
        if (!holder) return;
        reply.usageAddress = holder->address;
        reply.usageTerm = holder->term;
    }

    void onUsage(const UsageMessage& message, rpc::Reply reply) {
        reply.send(encode(state_.onUsage(clock_.now(), replica(), message)));
    }

    void onProposal(duties::Proposal proposal, rpc::Reply reply) {
        auto shared = std::make_shared<rpc::Reply>(std::move(reply));
        writer_->propose(std::move(proposal),
                         [shared](const ProposalReply& answer) { shared->send(encode(answer)); });
    }

    void onSettlement(duties::Settlement settlement, rpc::Reply reply) {
        auto shared = std::make_shared<rpc::Reply>(std::move(reply));
        writer_->settle(std::move(settlement),
                        [shared](bool recorded) { shared->send(encode(SettlementReply{recorded})); });
    }

    void tick() {
        writer_->proceed();
        perform(state_.step(clock_.now(), ownTime(), replica(), liveGateways_));
        sendNextCall();
    }

    void onReplicaChanged() { writer_->proceed(); }
    void drain() { state_.drain(); }
    std::vector<DutyStatus> status() const { return state_.status(replica()); }

private:
    Millis ownTime() const { return clock_.toUnix(clock_.now()); }

    DutyReplicaState replica() const {
        DutyReplicaState state;
        const replica::Replica* const replica = driver_.replica();
        if (!replica) return state;
        state.fresh = replica->isInView() && replica->isFresh(clock_.now());
        state.view = replica->view();
        state.table = replica->committedSnapshot();
        return state;
    }

    void perform(const std::vector<duties::DutyAction>& actions) {
        for (const duties::DutyAction& action : actions)
            std::visit([this](const auto& one) { carryOut(one); }, action);
    }

    // ---- The head of the chain

    // Empty where this member is the head, or no view is known.
    std::string headAddress() const {
        const replica::Replica* const replica = driver_.replica();
        if (!replica || replica->isHead() || replica->view().members.empty()) return {};
        return replica->view().members.front().internalAddress;
    }

    void carryOut(const duties::ProposeIntent& action) {
        const duties::Proposal& proposal = action.proposal;
        const auto done = [weak = weak_from_this(), subject = proposal.subject,
                           attempt = action.attempt](const ProposalReply& reply) {
            if (const auto self = weak.lock()) self->onProposed(subject, attempt, reply);
        };
        const std::string head = headAddress();
        if (head.empty()) return writer_->propose(proposal, done);
        client_.call(head, encode(proposal), kHeadTimeout, [done](const Result<std::string>& bytes) {
            const auto reply =
                bytes ? decodeProposalReply(bytes.value()) : Result<ProposalReply>{bytes.error()};
            done(reply ? reply.value() : ProposalReply{});
        });
    }

    void carryOut(const duties::SettleIntent& action) {
        const duties::Settlement& settlement = action.settlement;
        const auto done = [weak = weak_from_this(), subject = settlement.subject,
                           attempt = action.attempt](bool recorded) {
            const auto self = weak.lock();
            if (self) self->state_.onSettled(self->clock_.now(), subject, attempt, recorded);
        };
        const std::string head = headAddress();
        if (head.empty()) return writer_->settle(settlement, done);
        client_.call(head, encode(settlement), kHeadTimeout, [done](const Result<std::string>& bytes) {
            const auto reply =
                bytes ? decodeSettlementReply(bytes.value()) : Result<SettlementReply>{bytes.error()};
            done(reply && reply.value().recorded);
        });
    }

    void onProposed(const duties::Subject& subject, std::uint64_t attempt, const ProposalReply& reply) {
        duties::ProposalResult answer;
        if (reply.answered) answer = duties::ProposalDecision{reply.outcome, reply.intent, {}};
        perform(state_.onProposed(clock_.now(), replica(), subject, attempt, answer));
    }

    // ---- The platform

    void carryOut(const duties::CallPlatform& call) {
        calls_.push_back(call);
        sendNextCall();
    }

    Millis callSpacing() const {
        const replica::Replica* const replica = driver_.replica();
        const std::size_t members = replica ? replica->view().members.size() : 1;
        return kMillisPerSecond * static_cast<double>(std::max<std::size_t>(members, 1)) / callsPerSecond_;
    }

    void sendNextCall() {
        const Millis now = clock_.now();
        if (callInFlight_ || calls_.empty() || now < nextCallAt_) return;
        const duties::CallPlatform call = std::move(calls_.front());
        calls_.pop_front();
        // The process may have been suspended since the call was decided.
        if (!state_.isCallAllowed(replica(), call))
            return onCalled(call, kNotCalled, "not fresh, or not the holder");
        callInFlight_ = true;
        nextCallAt_ = now + callSpacing();
        platform_.send(requestOf(call), call.timeout,
                       [weak = weak_from_this(), call](int status, std::string_view body) {
                           const auto self = weak.lock();
                           if (!self) return;
                           self->callInFlight_ = false;
                           self->onCalled(call, status, body);
                           self->sendNextCall();
                       });
    }

    void onCalled(const duties::CallPlatform& call, int status, std::string_view body) {
        if (status < 200 || status >= 300)
            logger_.seldom("duty", "a call of a duty was not taken: {} number {} token {} status {}: {}",
                           field("subject", duties::keyOf(call.subject)), field("number", call.number),
                           field("token", call.token), field("status", status),
                           field("detail", body.substr(0, kMaxLoggedBytes)));
        perform(state_.onCalled(clock_.now(), call.subject, call.attempt, status));
    }

    static constexpr std::size_t kMaxLoggedBytes = 200;

    const Clock& clock_;
    Logger& logger_;
    ReplicaDriver& driver_;
    rpc::Client client_;  // separate: a call that times out closes the connection for all other calls
    host_discovery::PlatformClient platform_;
    double callsPerSecond_;
    DutyServiceState state_;
    std::shared_ptr<IntentWriter> writer_;
    LiveGateways liveGateways_;
    std::deque<duties::CallPlatform> calls_;  // at most one per subject
    bool callInFlight_ = false;
    Millis nextCallAt_ = 0;
};

DutyService::DutyService(asio::io_context& io, const Clock& clock, Logger& logger, ReplicaDriver& driver,
                         Settings settings, LiveGateways liveGateways)
    : impl_(std::make_shared<Impl>(io, clock, logger, driver, std::move(settings), std::move(liveGateways))) {
}

DutyService::~DutyService() = default;

void DutyService::onPoll(const PollRequest& request) { impl_->onPoll(request); }
void DutyService::completeReply(PollReply& reply) const { impl_->completeReply(reply); }
void DutyService::onUsage(const UsageMessage& message, rpc::Reply reply) {
    impl_->onUsage(message, std::move(reply));
}
void DutyService::onProposal(duties::Proposal proposal, rpc::Reply reply) {
    impl_->onProposal(std::move(proposal), std::move(reply));
}
void DutyService::onSettlement(duties::Settlement settlement, rpc::Reply reply) {
    impl_->onSettlement(std::move(settlement), std::move(reply));
}
void DutyService::tick() { impl_->tick(); }
void DutyService::onReplicaChanged() { impl_->onReplicaChanged(); }
void DutyService::drain() { impl_->drain(); }
std::vector<DutyStatus> DutyService::status() const { return impl_->status(); }

}  // namespace beechpoint::control
