/// The singleton duties of a control member: drives DutyServiceState, sends its calls to the platform, its proposals and settlements to the head
/// of the chain, and answers gateways' usage reports. It decides nothing but the order of calls.
///
/// Calls to the platform go one at a time, spaced so that all members together stay below what the platform accepts. To be called from the event
/// loop's thread only, where its own callbacks run too.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "control/duty_service_state.hpp"
#include "control_messages/messages.hpp"
#include "core/logger.hpp"

namespace asio {
class io_context;
}
namespace beechpoint::rpc {
class Reply;
}  // namespace beechpoint::rpc

namespace beechpoint::control {

class ReplicaDriver;

class DutyService {
public:
    struct Settings {
        DutyServiceState::Settings state;
        std::string platformAddress;  ///< IP:PORT
        double callsPerSecond = 1;    ///< of all members together
    };
    using LiveGateways = DutyServiceState::LiveGateways;

    /// All references must outlive it.
    /// @param liveGateways those that hold a lease
    DutyService(asio::io_context& io, const Clock& clock, Logger& logger, ReplicaDriver& driver,
                Settings settings, LiveGateways liveGateways);
    ~DutyService();
    DutyService(const DutyService&) = delete;
    DutyService& operator=(const DutyService&) = delete;

    /// A gateway has polled: its time of day counts.
    void onPoll(const PollRequest& request);
    /// Adds what gateways need to know of the duties.
    void completeReply(PollReply& reply) const;
    /// A gateway's counts; `reply` is sent at once.
    void onUsage(const UsageMessage& message, rpc::Reply reply);
    /// Another member's proposal or settlement, for the head; `reply` is sent when it is committed or won't be.
    void onProposal(duties::Proposal proposal, rpc::Reply reply);
    void onSettlement(duties::Settlement settlement, rpc::Reply reply);

    /// To be called every kServiceTick.
    void tick();
    /// The replica has another committed table or view.
    void onReplicaChanged();
    /// Graceful shutdown: nothing new is begun.
    void drain();

    [[nodiscard]] std::vector<DutyStatus> status() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace beechpoint::control
