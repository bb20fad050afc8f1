/// The control side of one run: members with their disks, gateways, two operators and a reader on one virtual network. World owns all
/// of them and checks the invariants after every step (world_checks.cpp). One thread; everything is drawn from the seed.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "control_process.hpp"
#include "gateway_process.hpp"
#include "observed_state.hpp"
#include "operator_process.hpp"
#include "virtual_disk.hpp"
#include "virtual_network.hpp"

namespace beechpoint::simulation {

inline constexpr std::size_t kOperators = 3;  // the last of them only reads
// Machines by number: operators, then members (replacements get new numbers), then gateways.
inline constexpr Machine kFirstMember = 10;
inline constexpr Machine kFirstGateway = 200;

struct WorldOptions {
    std::uint64_t seed = 1;
    std::size_t members = 3;
    std::size_t seeds = 3;
    std::size_t zones = 3;
    std::size_t gateways = 4;
};

// How often a fault coincided with a state of the system.
struct FaultCoincidences {
    std::uint64_t faults = 0, vote = 0, viewChange = 0, write = 0, stateTransfer = 0;
};

struct WorldCounters {
    OperatorCounters operators;
    std::map<std::string, FaultCoincidences> faults;  // by kind
    std::uint64_t views = 0, polls = 0, rejectedPolls = 0, lostAnswers = 0, propagations = 0;
    Millis slowestPropagation =
        0;  // of an acknowledged table to a gateway that could reach a majority, at the checks
    Millis slowestFirstTable = 0;  // from a gateway's start, through whatever faults
    Millis slowestRecovery = 0;    // from the end of a fault until all members are in the view and fresh
    Millis slowestNextAcknowledgement = 0;  // from a fault to the next acknowledged change
};

class World : public Transport {
public:
    explicit World(WorldOptions options);
    ~World() override;

    VirtualNetwork& network() { return network_; }
    Millis now() const { return network_.now(); }
    const WorldOptions& options() const { return options_; }

    // ---- Members. A retired member never comes back.
    std::size_t members() const { return members_.size(); }
    bool up(std::size_t member) const { return members_[member]->process != nullptr; }
    bool retired(std::size_t member) const { return members_[member]->retired; }
    Machine machineOf(std::size_t member) const { return kFirstMember + member; }
    const replica::Replica& replica(std::size_t member) const { return members_[member]->process->replica(); }
    void start(std::size_t member, bool bootstrap = false);
    void kill(std::size_t member);       // the machine stays up and refuses connections
    void losePower(std::size_t member);  // the machine is unresponsive
    void eraseDisk(std::size_t member);  // loses power and its disk
    void freeze(std::size_t member);
    void thaw(std::size_t member);
    void retire(std::size_t member);  // for good
    std::size_t addMember(const std::string& zone);
    const std::string& zoneOf(std::size_t member) const { return members_[member]->self.zone; }
    std::vector<std::size_t> present() const;  // not gone
    std::optional<std::size_t> head() const;

    // ---- Gateways and operators
    std::size_t gateways() const { return gateways_.size(); }
    Machine gatewayMachine(std::size_t gateway) const { return kFirstGateway + gateway; }
    void restartGateway(std::size_t gateway);
    void stopGateway(std::size_t gateway);  // it keeps nothing
    void startOperators();
    void stopOperators();
    bool operatorsIdle() const;

    // ---- States
    // Every member that is not retired is up, listed in one view of just these, and fresh.
    bool allMembersFresh() const;
    std::uint64_t acknowledged() const { return counters_.operators.acknowledged; }
    void countFault(const std::string& kind);  // counts a fault and what it coincides with
    void onNextAcknowledgement(std::function<void()> action) { afterAcknowledgement_ = std::move(action); }
    void onNextWrite(std::function<void()> action) { afterWrite_ = std::move(action); }
    void onNextView(std::function<void()> action) { afterView_ = std::move(action); }
    void onNextVote(std::function<void()> action) { afterVote_ = std::move(action); }

    // ---- Findings
    WorldCounters& counters() { return counters_; }
    bool failed() const { return !failure_.empty(); }
    const std::string& failure() const { return failure_; }
    void fail(const std::string& text);
    void traceEvent(const std::string& text);
    std::string trace() const;
    // At the end, with all healed and the operators idle: the history, and what is durable.
    void checkAtEnd();
    const History& history() const { return history_; }

private:
    using DiskId = std::pair<std::string, std::uint64_t>;  // name and incarnation of a member
    // Whether two processes can reach each other; since when not any more.
    struct Contact {
        bool isHeld = false;
        Millis lostAt = 0;
    };
    struct Member {
        explicit Member(VirtualNetwork& network) : disk(network) {}
        replica::Member self;
        Machine machine = 0;
        VirtualDisk disk;
        std::shared_ptr<ControlProcess> process;
        bool powered = true;
        bool retired = false;
        Position shown;                      // last seen of this process
        std::map<DiskId, Contact> contacts;  // with the processes on these disks
    };
    struct Gateway {
        std::shared_ptr<GatewayProcess> process;
        Position shown;
        std::set<std::string> seeds;  // internal addresses that it was started with
        Millis startedAt = 0;
        Millis reachesSince = 0;  // a majority of fresh members
    };
    struct Acknowledged {
        Millis at;
        Position position;
    };
    struct CommittedState {
        Position position;
        ObservedState state;
    };

    // ---- Transport
    void sendReplicaMessage(const Process& from, const std::string& address,
                            const replica::Message& message) override;
    void call(Process& from, const std::string& address, std::string bytes, Millis timeout,
              std::function<void(Bytes)> done) override;
    void callOperators(Process& from, const std::string& address, OperatorRequest request, Millis timeout,
                       std::function<void(std::optional<OperatorAnswer>, bool)> done) override;
    using EndOperatorCall = std::function<void(const std::optional<OperatorAnswer>&, bool sent)>;
    void closeOperatorConnection(Machine client, Member& member, std::uint64_t id);
    void deliverOperatorCall(Member& member, Machine client, std::uint64_t id, const OperatorRequest& request,
                             const EndOperatorCall& end);
    void sendOperatorAnswer(Machine server, Machine client, const OperatorAnswer& answer,
                            const EndOperatorCall& end);
    Member* memberAt(const std::string& address);

    void endProcess(std::size_t member);
    std::vector<std::string> seeds() const;
    std::vector<std::string> internalSeeds() const;
    void makeHooks();
    void onVote();

    // ---- Checks
    void onStep(ControlProcess& process);
    void checkState(const std::string& who, Position position, const ObservedState& state);
    Member& memberOf(const ControlProcess& process);
    bool reachEachOther(const Member& one, const Member& other) const;
    void noteContact(Member& member);
    void noteContacts();  // after a change that may not last until the next check
    Millis contactAge(const Member& member) const;
    void checkContact(Member& member);
    void checkFresh(const Member& member);
    void onPollAnswer(ControlProcess& process, const std::string& bytes);
    void onGatewayTableChanged(GatewayProcess& gateway);
    void onAnswered(const StoreCall& call, const StoreAnswer& answer, Position shown);
    void checkPeriodically();
    void checkPropagation(Gateway& gateway);
    bool reachesMajority(const Gateway& gateway) const;
    void checkHistory();
    void checkRefusedAreAbsent();
    void checkFinalState();

    WorldOptions options_;
    VirtualNetwork network_;
    ControlProcess::Hooks hooks_;
    std::vector<std::unique_ptr<Member>> members_;
    std::vector<Gateway> gateways_;
    std::vector<std::shared_ptr<OperatorProcess>> operators_;
    History history_;
    WorldCounters counters_;
    std::uint64_t callId_ = 0;

    std::map<std::uint64_t, CommittedState> committed_;  // by sequence: the one history
    std::deque<Acknowledged> acknowledged_;
    Position newestAcknowledged_;
    Millis lastVoteAt_ = 0, lastPrepareAt_ = 0, lastViewAt_ = 0;
    std::function<void()> afterAcknowledgement_, afterWrite_, afterView_, afterVote_;
    std::string failure_;
    std::deque<std::string> trace_;
};

}  // namespace beechpoint::simulation
