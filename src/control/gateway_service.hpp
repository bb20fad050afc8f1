// What gateways get from a control member: answers to their polls, by which they hold their leases, and the platform's host list.
// Members tell each other their grants and the list (Share). GatewayServiceState decides; this sends its answers and shares, and reads
// the platform's list while it says so.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "control/gateway_service_state.hpp"
#include "control/messages.hpp"
#include "control/status.hpp"
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
        std::uint64_t seed = 0;  // differs at each start
    };

    // All references must outlive it. `onGateways` is called when a lease is granted or heard of.
    GatewayService(asio::io_context& io, const Clock& clock, Logger& logger, ReplicaDriver& driver,
                   rpc::Client& client, Settings settings, std::function<void()> onGateways);
    ~GatewayService();
    GatewayService(const GatewayService&) = delete;
    GatewayService& operator=(const GatewayService&) = delete;

    void onPoll(PollRequest request, rpc::Reply reply);
    void onPeerUpdate(const PeerUpdate& peerUpdate, rpc::Reply reply);
    void onTableMoved();
    void onView();
    void tick();
    // Every waiting poll is answered, and later ones at once, with notFresh: gateways go elsewhere.
    void drain();

    std::vector<leases::Gateway> liveGateways() const;
    // A poll waits until this member can vouch for its table: tick() is wanted often.
    bool waitsForFreshness() const;
    bool readsHosts() const;  // holds the duty
    std::size_t pendingLongPolls() const;
    // Its part of what the member says of itself: leases, list of hosts, polls.
    void describe(MemberStatus& status) const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace beechpoint::control
