// What a control member decides about gateways' polls and the members' shares: a state machine free of I/O and clock. Events come with the
// time and the replica as it is (null: not open yet); answers and shares to be sent come back. gateway_service.hpp drives it.
//
//   leases       renewed by polls; told to the other members by shares: whole where a member does not know them, else as renewals of those
//                granted since the last share that it answered
//   answers      small state (directory sample, counts, members, ages) in each; table and host list where they are newer. Large ones go to
//                TransferSlots::kSlots gateways at a time, the rest are told when to come back; an answer carries at most kAnswerBudget
//                where that holds more than one part, the gateway's next poll says what it lacks still
//   news         a table that moved and another host list are answered at once; a risen count of gateways is gathered over kCountWindow,
//                and wakes the waiting polls only where the budgets move by it (countMatters)
//   shares       each kPeerUpdateInterval, and at once or within kPeerUpdateGatherWindow where something changed that can't wait
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/committed_table_source.hpp"
#include "control/directory_sample.hpp"
#include "control/host_list_distributor.hpp"
#include "control/long_polls.hpp"
#include "control/messages.hpp"
#include "control/transfer_slots.hpp"
#include "leases/lease_table.hpp"

namespace beechpoint::control {

inline constexpr Millis kServiceTick = 100;             // tick() is to be called so often
inline constexpr Millis kPeerUpdateInterval = 500;      // to each other member of the view
inline constexpr Millis kPeerUpdateGatherWindow = 100;  // changes that come together travel together
inline constexpr Millis kPeerUpdateTimeout = 1000;
inline constexpr Millis kCountWindow =
    300;  // rises of the count of gateways that come together wake polls once
inline constexpr Millis kDirectoryRefresh = 100;   // what gateways are told of each other is at most so old
inline constexpr std::size_t kLargeAnswer = 4096;  // bytes of packed state; more needs a slot
inline constexpr std::size_t kAnswerBudget =
    65'536;  // bytes of packed state where the answer has table and host list

struct PollAnswer {
    PollTicket ticket = 0;
    PollReply reply;
};
// A share to be sent; its end is to be told by onPeerUpdateReply().
struct PeerUpdateCall {
    std::string member;
    std::string address;
    PeerUpdate peerUpdate;
};
struct ServiceActions {
    std::vector<PollAnswer> answers;
    std::vector<PeerUpdateCall> peerUpdates;
    bool gatewaysChanged = false;  // a lease was granted or heard of
};

class GatewayServiceState {
public:
    GatewayServiceState(leases::LeaseTable::Settings settings, Millis now, HostListSource& source);

    ServiceActions onPoll(Millis now, const CommittedTableSource* table, PollRequest request,
                          PollTicket ticket);
    ServiceActions onPeerUpdate(Millis now, const CommittedTableSource* table, const PeerUpdate& peerUpdate,
                                PeerUpdateReply& reply);
    // The end of a PeerUpdateCall; nothing: no answer.
    ServiceActions onPeerUpdateReply(Millis now, const CommittedTableSource* table, const std::string& member,
                                     const std::optional<PeerUpdateReply>& reply);
    ServiceActions onTableMoved(Millis now, const CommittedTableSource* table);
    ServiceActions onView(Millis now, const CommittedTableSource* table);
    // What the source has read.
    ServiceActions onHosts(Millis now, const CommittedTableSource* table,
                           std::shared_ptr<const host_discovery::HostList> list, Millis confirmedAt);
    ServiceActions tick(Millis now, const CommittedTableSource* table);
    // Every waiting poll is answered, and later ones at once, with notFresh: gateways go elsewhere.
    ServiceActions drain();

    const leases::LeaseTable& leases() const { return leases_; }
    const HostListDistributor& hosts() const { return hosts_; }
    std::size_t pendingLongPolls() const { return polls_.size(); }
    bool waitsForFreshness() const { return polls_.waitsForFreshness(); }
    Millis leaseMs() const { return leaseMs_; }

private:
    struct Peer {
        host_discovery::HostListVersion hostList;  // that it said it has
        bool asked = false;                        // a share to it is out
        Millis askedAt = 0;
        bool acceptsIncrements = false;
        Millis toldUntil = 0;          // leases granted before were told
        std::set<std::uint64_t> told;  // ids of leases told whole
    };

    bool mayAnswer(Millis now, const CommittedTableSource* table) const;
    bool renewLease(Millis now, const leases::Gateway& gateway, ServiceActions& actions);
    void refuse(PollTicket ticket, PollStatus status, ServiceActions& actions) const;
    void endEarlierPoll(Millis now, const CommittedTableSource* table, const std::string& gateway,
                        ServiceActions& actions);

    bool hasNews(const CommittedTableSource& table, const PollRequest& request) const;
    void answer(Millis now, const CommittedTableSource* table, const PollRequest& request, PollTicket ticket,
                ServiceActions& actions);
    void addSmallState(Millis now, const CommittedTableSource& table, const PollRequest& request,
                       PollReply& reply);
    void addMembers(const CommittedTableSource& table, PollReply& reply) const;
    void limitLargeState(Millis now, const PollRequest& request, PollReply& reply);
    void answerAll(Millis now, const CommittedTableSource* table, std::vector<LongPoll> polls,
                   ServiceActions& actions);
    void answerDue(Millis now, const CommittedTableSource* table, Millis ahead, ServiceActions& actions);
    std::string packedSince(const CommittedTableSource& table, Position held);

    bool countMatters(std::uint32_t largest) const;
    void lookAtCount(Millis now);
    void wakeForCount(Millis now, const CommittedTableSource* table, ServiceActions& actions);

    Peer* peerOf(const CommittedTableSource* table, const std::string& member);
    void forgetPeers(const CommittedTableSource* table);
    void updatePeersSoon(Millis now, const CommittedTableSource* table, ServiceActions& actions);
    void updateAllPeers(Millis now, const CommittedTableSource* table, ServiceActions& actions);
    void updatePeer(Millis now, const replica::Member& member, PeerUpdate peerUpdate,
                    ServiceActions& actions);
    void addLeases(Millis now, Peer& peer, PeerUpdate& peerUpdate);
    void lookAtHosts(Millis now, const CommittedTableSource* table);

    Millis leaseMs_;
    std::size_t maxGateways_;
    leases::LeaseTable leases_;
    HostListDistributor hosts_;
    LongPolls polls_;
    TransferSlots slots_;
    std::map<std::string, Peer> peers_;           // by member's name
    std::map<std::string, std::string> regions_;  // of zones, as gateways say
    std::optional<std::uint32_t> toldCount_;      // when polls were last woken for it
    std::optional<Millis> wakeForCountAt_;
    std::map<Position, std::string> packed_;  // updates to packedAt_, by the position that they start from
    Position packedAt_;
    DirectorySamples directory_;
    std::optional<Millis> directoryAt_;
    Millis sharedAt_ = 0;
    bool updatePeersSoon_ = false, leaving_ = false;
};

}  // namespace beechpoint::control
