/// Serves gateways at a control member: answers the polls that renew their leases, exchanges updates with the other members, and reads the
/// platform's host list if this member has the reader role.
///
/// GatewayServiceState makes all decisions; this class supplies the time, the replica and the requests, sends the answers and updates, and runs
/// the poller. It owns these and the pending replies; ReplicaDriver owns the replica. Must be called from the event loop's thread only; its
/// callbacks run there too.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "control/gateway_service_state.hpp"
#include "control/status.hpp"
#include "control_messages/messages.hpp"
#include "core/logger.hpp"
#include "host_discovery/poller.hpp"
#include "leases/lease_table.hpp"

namespace asio {
class io_context;
}
namespace beechpoint::rpc {
class Client;
class Reply;
}  // namespace beechpoint::rpc

namespace beechpoint::control {

class ReplicaDriver;

class GatewayService {
public:
    struct Settings {
        leases::LeaseTable::Settings leases;
        host_discovery::Poller::Settings poller;
        std::uint64_t seed = 0;  ///< differs at each start of the process
    };

    /// All references must outlive it.
    /// @param onGateways called when a lease was granted or other members' leases were received
    /// @param completeReply fills in the fields of a poll's answer that other components supply
    GatewayService(asio::io_context& io, const Clock& clock, Logger& logger, ReplicaDriver& driver,
                   rpc::Client& client, Settings settings, std::function<void()> onGateways,
                   std::function<void(PollReply&)> completeReply);
    ~GatewayService();
    GatewayService(const GatewayService&) = delete;
    GatewayService& operator=(const GatewayService&) = delete;

    /// Handles a gateway's poll. `reply` is sent when the poll is answered, at most kMaxPollWait later.
    void onPoll(PollRequest request, rpc::Reply reply);
    /// Handles another member's update; `reply` is sent at once.
    void onPeerUpdate(const PeerUpdate& peerUpdate, rpc::Reply reply);
    /// The replica's committed table has a new position.
    void onTableChanged();
    /// The replica has another view.
    void onViewChanged();
    /// To be called every kServiceTick, more often while waitsForFreshness().
    void tick();
    /// Graceful shutdown: answers all long polls, and every later poll at once, with notFresh, so that gateways switch to another member.
    void drain();

    /// Gateways with a lease, by name.
    [[nodiscard]] std::vector<leases::Gateway> liveGateways() const;
    /// Whether a poll waits for the table to become fresh.
    [[nodiscard]] bool waitsForFreshness() const;
    /// Whether this member has the role of reading the host list.
    [[nodiscard]] bool readsHostList() const;
    [[nodiscard]] std::size_t pendingLongPolls() const;
    /// Fills in the status of leases, host list and long polls.
    void describe(MemberStatus& status) const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace beechpoint::control
