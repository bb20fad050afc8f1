/// What a control member decides about gateways' polls and the other members' updates: a state machine free of I/O and clock.
///
/// Events come with the time and the replica as it is (null: not open yet); poll answers and peer updates to be sent are returned.
/// gateway_service.hpp drives it, from one thread. It orders the events among its parts, each of which has one job:
///
///   leases::LeaseTable     which gateways hold a lease; renewed by polls, merged from the other members' updates
///   LongPolls              which waiting polls are to be answered
///   PollResponder          what a poll is answered with
///   GatewayCountMonitor    when all are answered at once because there are more gateways
///   HostListDistributor    the platform's host list, and whether this member reads it
///   PeerUpdates            what the other members are sent, and when
///
///   event                  | long polls answered                        | peer updates
///   onPoll                 | the gateway's earlier one, with no update  | soon, where the gateway is new or differs for clients
///   onPeerUpdate           | where it brought another host list         | -
///   onTableChanged         | those of an older position                 | -
///   onHostList (new list)  | those of another list                      | at once, where this member reads the list
///   onViewChanged          | -                                          | at the next tick
///   tick                   | at the end of their wait; count increased  | by the interval, or where requested
///   drain                  | all, with notFresh                         | -
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "control/committed_table_source.hpp"
#include "control/gateway_count_monitor.hpp"
#include "control/host_list_distributor.hpp"
#include "control/long_polls.hpp"
#include "control/peer_updates.hpp"
#include "control/poll_responder.hpp"
#include "control_messages/messages.hpp"
#include "leases/lease_table.hpp"

namespace beechpoint::control {

/// The answer to the poll that came with `ticket`.
struct PollAnswer {
    PollTicket ticket = 0;
    PollReply reply;
};

/// What the caller is to carry out, in this order.
struct ServiceActions {
    std::vector<PollAnswer> answers;
    std::vector<PeerUpdateCall> peerUpdates;
    bool gatewaysChanged = false;  ///< a lease was granted, or other members' leases were received
};

class GatewayServiceState {
public:
    /// @param source must outlive it; what it reads is to be handed to onHostList()
    GatewayServiceState(leases::LeaseTable::Settings settings, Millis now, HostListSource& source);
    // Its parts refer to one another.
    GatewayServiceState(const GatewayServiceState&) = delete;
    GatewayServiceState& operator=(const GatewayServiceState&) = delete;

    /// A gateway polls and thereby renews its lease. The answer with `ticket` comes now or from a later event.
    [[nodiscard]] ServiceActions onPoll(Millis now, const CommittedTableSource* table, PollRequest request,
                                        PollTicket ticket);
    /// Another member's update. `reply` is filled in and is to be sent before the actions.
    [[nodiscard]] ServiceActions onPeerUpdate(Millis now, const CommittedTableSource* table,
                                              const PeerUpdate& peerUpdate, PeerUpdateReply& reply);
    /// The end of a PeerUpdateCall. Nothing: no reply in time, or none that can be read.
    void onPeerUpdateReply(const std::string& member, const std::optional<PeerUpdateReply>& reply);
    /// The committed table has a new position.
    [[nodiscard]] ServiceActions onTableChanged(Millis now, const CommittedTableSource* table);
    /// The replica has another view.
    void onViewChanged(Millis now, const CommittedTableSource* table);
    /// The source has read a list, or confirmed the one it had at `confirmedAt`.
    [[nodiscard]] ServiceActions onHostList(Millis now, const CommittedTableSource* table,
                                            std::shared_ptr<const host_discovery::HostList> list,
                                            Millis confirmedAt);
    /// To be called every kServiceTick.
    [[nodiscard]] ServiceActions tick(Millis now, const CommittedTableSource* table);
    /// Graceful shutdown: all long polls now, and later polls at once, are answered with notFresh, so that gateways ask another member.
    [[nodiscard]] ServiceActions drain();

    [[nodiscard]] const leases::LeaseTable& leases() const { return leases_; }
    [[nodiscard]] const HostListDistributor& hosts() const { return hosts_; }
    [[nodiscard]] std::size_t pendingLongPolls() const { return polls_.size(); }
    /// Whether a poll waits for the table to become fresh: tick() is to be called more often.
    [[nodiscard]] bool waitsForFreshness() const { return polls_.waitsForFreshness(); }
    [[nodiscard]] Millis leaseMs() const { return leaseMs_; }

private:
    enum class Renewal { refused, unchanged, changed };

    [[nodiscard]] Freshness freshness(Millis now, const CommittedTableSource* table) const;
    [[nodiscard]] Renewal renewLease(Millis now, const leases::Gateway& gateway);
    [[nodiscard]] bool hasUpdate(const CommittedTableSource& table, const PollRequest& request);
    void noteTableChanges(const CommittedTableSource& table);

    [[nodiscard]] bool isOfOtherCluster(const CommittedTableSource* table, std::uint64_t clusterId) const;

    // Names the members of the view, where it is known: a gateway that knows no others may ask these.
    void refuse(const CommittedTableSource* table, PollTicket ticket, PollStatus status,
                ServiceActions& actions) const;
    void answerSuperseded(Millis now, const CommittedTableSource* table, const std::string& gateway,
                          ServiceActions& actions);
    void answer(Millis now, const CommittedTableSource* table, const PollRequest& request, PollTicket ticket,
                ServiceActions& actions);
    void answerAll(Millis now, const CommittedTableSource* table, const std::vector<LongPoll>& polls,
                   ServiceActions& actions);
    void answerAnswerable(Millis now, const CommittedTableSource* table, Millis ahead,
                          ServiceActions& actions);
    void updateReaderRole(Millis now, const CommittedTableSource* table);

    Millis leaseMs_;
    leases::LeaseTable leases_;
    HostListDistributor hosts_;
    LongPolls polls_;
    PollResponder responder_;
    GatewayCountMonitor count_;
    PeerUpdates peerUpdates_;
    Position checkedPosition_;  // the committed one when changes were last looked at
    Position updatePosition_;   // the newest at which something changed that gateways need
    bool draining_ = false;
};

}  // namespace beechpoint::control
