/// Driver of DutyServiceState: sends its calls to the platform and its proposals and settlements to the head of the chain, and answers
/// gateways' usage reports. It decides only the order of calls.
///
/// Calls to the platform are sent one at a time, spaced so that all members together stay below the platform's rate limit. Must be called from
/// the event loop's thread only; its callbacks run there too.
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
        double callsPerSecond = 1;    ///< limit for all members together
    };
    using LiveGateways = DutyServiceState::LiveGateways;

    /// All references must outlive it.
    /// @param liveGateways those that hold a lease
    DutyService(asio::io_context& io, const Clock& clock, Logger& logger, ReplicaDriver& driver,
                Settings settings, LiveGateways liveGateways);
    ~DutyService();
    DutyService(const DutyService&) = delete;
    DutyService& operator=(const DutyService&) = delete;

    /// Records the wall-clock time of a gateway that polls.
    void onPoll(const PollRequest& request);
    /// Fills in the fields that describe the duties.
    void completeReply(PollReply& reply) const;
    /// Handles a gateway's usage counts; `reply` is sent at once.
    void onUsage(const UsageMessage& message, rpc::Reply reply);
    /// Handles another member's proposal or settlement at the head; `reply` is sent once it is committed or has failed.
    void onProposal(duties::Proposal proposal, rpc::Reply reply);
    void onSettlement(duties::Settlement settlement, rpc::Reply reply);

    /// To be called every kServiceTick.
    void tick();
    /// The replica's committed table or view changed.
    void onReplicaChanged();
    /// Graceful shutdown: starts no new actions.
    void drain();

    [[nodiscard]] std::vector<DutyStatus> status() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace beechpoint::control
