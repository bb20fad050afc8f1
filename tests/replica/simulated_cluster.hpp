// Replicas in virtual time with seeded faults of messages, disks and processes, a client that writes and reads, and checks of the
// control state's invariants after every step.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/splitmix.hpp"
#include "replica/replica.hpp"

namespace beechpoint::replica::simulation {

struct ClusterOptions {
    std::uint64_t seed = 1;
    std::size_t nodes = 3;
    std::size_t seeds = 3;
    std::size_t zones = 3;
    Tolerance tolerance;
    Millis startSpread = 300;         // maximum difference between the processes' start times
    std::set<std::size_t> uncounted;  // nodes with countsAsLoss unset
    Millis writeEvery = 60;           // mean interval of the client
    Millis fullTableDelay = 0;        // additional delay of a message with a full table
};

// Current faults of the network.
struct NetworkFaults {
    double loss = 0;
    double duplicate = 0;
    Millis extraDelay = 0;  // maximum, random per message
    double late = 0;        // share of messages delayed by up to 3 s
};

// Current faults of all disks.
struct DiskFaults {
    Millis slowest = 4;        // maximum duration of a forced write; the minimum is 1 ms
    double failure = 0;        // share of the writes that fail
    double failedThere = 0.1;  // share of failed writes that still took effect
};

struct Counters {
    std::uint64_t writesOffered = 0;
    std::uint64_t writesAcknowledged = 0;
    std::uint64_t readsDone = 0;
    std::uint64_t faults = 0;
    std::uint64_t faultsWithWriteInFlight = 0;
    std::uint64_t viewChanges = 0;
    std::uint64_t wipes = 0;
    Millis slowestWrite = 0;    // from the end of faults to an acknowledgement
    Millis slowestReturn = 0;   // from the end of faults until all are in the view again
    Millis longestSilence = 0;  // without an acknowledgement although a majority could acknowledge
};

class Cluster {
public:
    explicit Cluster(ClusterOptions options);
    ~Cluster();

    // ---- Time
    Millis now() const { return now_; }
    void runFor(Millis span);
    // Runs until the condition holds; returns false if it does not within the span.
    bool runUntil(Millis span, const std::function<bool()>& condition);
    void at(Millis time, std::function<void()> action);

    // ---- Faults. Nodes are numbered from 0; a replacement gets a new number.
    std::size_t nodes() const { return nodes_.size(); }
    std::size_t drawNode();  // one that is not permanently gone
    void start(std::size_t node, bool bootstrap = false);
    void kill(std::size_t node);
    void losePower(std::size_t node);
    // Models SIGTERM: requests a view without the node, which exits once it has left or after the time limit.
    void leave(std::size_t node, Millis most = 3'000);
    bool leaving(std::size_t node) const { return nodes_[node].leaving; }
    std::uint64_t leftByAgreement() const { return leftByAgreement_; }
    void wipe(std::size_t node);  // only while it is down
    std::size_t addReplacement(std::size_t node, bool sameName);
    void freeze(std::size_t node);
    void thaw(std::size_t node);
    void stallDisk(std::size_t node, Millis until);
    void failDisk(std::size_t node, bool failing);
    void endDiskFaults(std::size_t node);
    void partition(std::size_t from, std::size_t to, bool cut);
    void healPartitions();  // removes all partitions
    NetworkFaults& network() { return network_; }
    DiskFaults& disks() { return disks_; }
    // Called for each message as it is sent.
    void onSend(std::function<void(std::size_t from, const Body& body)> action) {
        onSend_ = std::move(action);
    }
    // Additional delay of each message, decided as it is sent.
    void delayMessages(std::function<Millis(std::size_t from, const Body& body)> delay) {
        messageDelay_ = std::move(delay);
    }
    // Ends all faults except machines that are permanently down.
    void heal();
    bool up(std::size_t node) const { return nodes_[node].replica != nullptr; }
    bool frozen(std::size_t node) const { return nodes_[node].frozen; }
    bool gone(std::size_t node) const { return nodes_[node].gone; }
    void setGone(std::size_t node) { nodes_[node].gone = true; }
    Replica& replica(std::size_t node) { return *nodes_[node].replica; }
    const DurableState& disk(std::size_t node) const { return nodes_[node].written; }

    // ---- Client
    void startClient();
    void stopClient() { clientRuns_ = false; }
    void write();
    bool writeInFlight() const;
    // Runs the action once, directly after the next acknowledgement or shortly after the next write was accepted.
    void onNextAcknowledgement(std::function<void()> action) { afterAcknowledgement_ = std::move(action); }
    void onNextWrite(std::function<void()> action) { afterWrite_ = std::move(action); }
    // The same, when a process next installs a decided view.
    void onNextView(std::function<void()> action) { afterView_ = std::move(action); }
    std::uint64_t acknowledged() const { return counters_.writesAcknowledged; }
    Position lastAcknowledged() const { return acknowledged_; }
    // Whether every node that is not permanently gone runs, is listed in a view of all nodes and is fresh.
    bool isComplete() const;
    // Whether processes with working disks that all reach each other meet the tolerance, hold a majority of the votes of the newest
    // view, and include a member of its chain that has its starting state.
    bool canAcknowledge() const;

    Counters& counters() { return counters_; }
    void countFault();

    // ---- Findings
    bool failed() const { return !failure_.empty(); }
    const std::string& failure() const { return failure_; }
    void fail(const std::string& text);
    std::string trace() const;
    std::string describe() const;

    SplitMix& random() { return random_; }
    double draw(double low, double high) { return low + (high - low) * random_(); }

private:
    struct QueuedPersist {
        std::uint64_t token;
        DurableUpdate update;
    };
    struct Node {
        Member member;
        std::vector<std::string> seeds;
        std::unique_ptr<Replica> replica;
        std::uint64_t session = 0;  // of the process; events of an earlier session are ignored
        bool frozen = false;
        bool gone = false;          // permanently
        bool leaving = false;       // was asked to leave and is still running
        std::deque<Event> waiting;  // while frozen
        DurableState written;       // state known to the operating system
        DurableState synced;        // state that survives a power loss
        std::deque<QueuedPersist> persists;
        bool diskBusy = false;
        std::uint64_t diskOrder = 0;  // completions with an earlier number are ignored
        Millis diskStalledUntil = 0;
        bool diskFails = false;
        Millis timer = 0;
        Position lastShown;  // committed position last seen in this session
    };
    struct Step {
        Millis time;
        std::uint64_t order;
        std::function<void()> action;
        bool operator>(const Step& other) const {
            return time != other.time ? time > other.time : order > other.order;
        }
    };
    struct OpenWrite {
        std::size_t node;
        std::uint64_t session;
        std::string key;
        std::string value;
    };
    struct OpenRead {
        std::size_t node;
        std::uint64_t session;
        Position floor;  // position acknowledged when the read began
    };
    struct CommittedState {
        Position position;
        Table table;
    };

    void deliver(std::size_t node, Event event);
    void carryOut(std::size_t node, const std::vector<Action>& actions);
    void send(std::size_t from, const Send& send);
    Millis transferTime(const Message& message) const;
    void armTimer(std::size_t node, Millis at);
    void startPersist(std::size_t node);
    void finishPersist(std::size_t node);
    void endProcess(std::size_t node);
    void readOnce();
    void clientStep();
    void checkNode(std::size_t node);
    void checkLeft(std::size_t node);
    void checkState(std::size_t node);
    void checkDisk(std::size_t node);
    void checkAvailability();
    void resetAvailability() { silentSince_ = now_; }
    const View& newestView() const;
    bool isWorking(std::size_t node) const;
    bool reachEachOther(const std::vector<std::size_t>& group) const;
    bool isSufficient(const std::vector<std::size_t>& group, const View& view) const;
    void onWriteDone(std::size_t node, const WriteDone& done);
    void onReadDone(std::size_t node, const ReadDone& done);
    void onCommitted(std::size_t node, const Batch& batch);
    std::string address(std::size_t node) const { return nodes_[node].member.internalAddress; }
    std::vector<std::string> currentSeeds() const;
    void record(const std::string& text);
    void recordFault(const std::string& text);  // or its end

    ClusterOptions options_;
    SplitMix random_;
    Millis now_ = 1'000'000;
    std::uint64_t order_ = 0;
    std::vector<Step> steps_;  // a heap, earliest first
    std::deque<Node> nodes_;
    std::map<std::string, std::size_t> byAddress_;
    std::set<std::pair<std::size_t, std::size_t>> partitions_;
    NetworkFaults network_;
    DiskFaults disks_;
    std::function<void(std::size_t, const Body&)> onSend_;
    std::function<Millis(std::size_t, const Body&)> messageDelay_;

    bool clientRuns_ = false;
    std::uint64_t nextToken_ = 1;
    std::uint64_t nextValue_ = 1;
    std::map<std::uint64_t, OpenWrite> openWrites_;
    std::map<std::uint64_t, OpenRead> openReads_;
    std::function<void()> afterAcknowledgement_;
    std::function<void()> afterWrite_;
    std::function<void()> afterView_;
    std::uint64_t clientSteps_ = 0;
    std::uint64_t leftByAgreement_ = 0;
    Position acknowledged_;
    // Start of the time without faults and acknowledgements in which a majority could acknowledge.
    Millis silentSince_ = 0;
    std::deque<std::pair<Millis, Position>> acknowledgements_;
    std::map<std::uint64_t, CommittedState> history_;  // committed states by sequence

    Counters counters_;
    std::string failure_;
    std::deque<std::string> trace_;
};

}  // namespace beechpoint::replica::simulation
