// A small deterministic simulation of three replicas for exploration, with fixed delays and no randomness. Each sent message and
// each disk update is a numbered point of the run; a plan maps points to deviations.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <unordered_set>
#include <utility>
#include <vector>

#include "replica/replica.hpp"

namespace beechpoint::replica::exploration {

inline constexpr std::size_t kFounders = 3;
inline constexpr Millis kFreshLag =
    1'300;                                // a fresh member must show everything acknowledged before this span
inline constexpr std::size_t kNodes = 4;  // the last one is a spare that a scenario may start

enum class Deviation {
    // Deviations of a message.
    lost,
    lostForSomeTime,  // with all messages of the step between the two nodes
    repeated,         // delivered again much later
    late,
    senderIsolated,  // in both directions, temporarily
    senderFrozen,
    // Deviations of a disk update.
    powerBefore,  // power loss before the update was stored
    powerAfter,   // power loss after the update was stored, before it was reported
    allPowerBefore,
    allPowerAfter,
    wiped,  // the machine returns with an empty disk
    failed,
    failedThere,  // reported as failed although it took effect
    slow,
};
inline constexpr std::size_t kDeviations = 14;
const char* nameOf(Deviation deviation);
bool ofMessage(Deviation deviation);

// The protocol step that a point belongs to.
enum class Step {
    heartbeat,
    joining,
    vote,
    voteRecord,
    decision,
    opening,
    batch,
    commit,
    stateTransfer,
    otherRecord
};
inline constexpr std::size_t kSteps = 10;
const char* nameOf(Step step);
Step stepOf(const Body& body);
Step stepOf(const DurableUpdate& update);

struct Point {
    Step step;
    bool message;
    bool open;  // deviations allowed: within the deviation window of the scenario
};

using Plan = std::map<std::size_t, Deviation>;  // by the number of the point

class World;
// Events of the base run.
struct Scenario {
    std::string name;
    std::function<void(World&)> begin;  // called once writes have been acknowledged
    std::size_t disksLost = 0;          // permanently; one is tolerated
};
const std::vector<Scenario>& scenarios();

struct Outcome {
    std::string failure;    // empty: none
    bool complete = false;  // at the end all nodes share one view that accepts writes
    std::size_t acknowledged = 0;
    std::size_t reads = 0;
    std::vector<Point> points;
};

class World {
public:
    // Adds the hashes of the reached states to `states`.
    World(const Scenario& scenario, Plan plan, std::unordered_set<std::uint64_t>& states);
    ~World();

    Outcome run();

    // ---- For scenarios
    void after(Millis delay, std::function<void()> action);
    void losePower(std::size_t node);
    void wipe(std::size_t node);  // loses its power and its disk
    void start(std::size_t node);
    void partition(std::size_t from, std::size_t to, Millis span);
    void isolate(std::size_t node, Millis span);
    void freeze(std::size_t node, Millis span);
    // Requests a planned leave; the process exits once it has left.
    void leave(std::size_t node);
    // Drops state transfer messages for this span.
    void loseStateTransfer(Millis span) { stateTransferLostUntil_ = now_ + span; }
    // The tail misses a view. Then the middle member loses its disk and the head its power, and the partition heals, so that the
    // tail's disk is available again.
    void loseDiskDuringPartition();
    // Node that is the head or tail of the newest view.
    std::size_t head() const;
    std::size_t tail() const;
    std::size_t between() const {
        return kFounders - head() - tail();
    }  // middle node of a view of the founders

private:
    struct QueuedPersist {
        std::uint64_t token;
        DurableUpdate update;
        std::size_t point;
    };
    struct Node {
        Member member;
        std::unique_ptr<Replica> replica;
        std::uint64_t session = 0;
        bool leaving = false;
        bool gone = false;  // permanently
        Millis frozenUntil = 0;
        std::deque<Event> waiting;
        DurableState written;
        DurableState synced;
        std::deque<QueuedPersist> persists;
        bool diskBusy = false;
        std::uint64_t diskOrder = 0;
        Millis diskStalledUntil = 0;
        Millis timer = 0;
        Position lastShown;
        std::uint64_t hash = 0;
    };
    struct Due {
        Millis time;
        std::uint64_t order;
        std::function<void()> action;
        bool operator>(const Due& other) const {
            return time != other.time ? time > other.time : order > other.order;
        }
    };
    struct Known {
        Position position;
        Table table;
    };
    struct OpenWrite {
        std::size_t node;
        std::string value;
    };

    void at(Millis time, std::function<void()> action);
    bool runUntil(Millis end, const std::function<bool()>& condition);
    std::size_t pass(Step step, bool message);
    const Deviation* planned(std::size_t point) const;

    void deliver(std::size_t node, Event event);
    void carryOut(std::size_t node, const std::vector<Action>& actions);
    void send(std::size_t from, const Send& send);
    void transmit(std::size_t from, std::size_t to, const Message& message, Millis delay);
    void startPersist(std::size_t node);
    void finishPersist(std::size_t node);
    bool injectDiskFault(std::size_t node, const QueuedPersist& persist);
    void losePowerAndReturn(std::size_t node);
    void thaw(std::size_t node);
    void client();
    void onWriteDone(std::size_t node, const WriteDone& done);
    void onReadDone(std::size_t node, const ReadDone& done);
    void onCommitted(std::size_t node, const Batch& batch);
    void onView(const View& view);
    void checkStart(const View& view, Position acknowledged);
    void check(std::size_t node);
    void know(std::size_t node, Position position, const Table& table);
    void fail(const std::string& text);
    bool failed() const { return !outcome_.failure.empty(); }
    bool isComplete() const;
    void endIfLeft(std::size_t node);
    void checkCopies(const View& view);
    void remember(std::size_t node);

    const Scenario& scenario_;
    Plan plan_;
    std::unordered_set<std::uint64_t>& states_;
    Outcome outcome_;
    Millis now_ = 1'000'000;
    std::uint64_t order_ = 0;
    std::vector<Due> due_;  // a heap, earliest first
    std::deque<Node> nodes_;
    std::map<std::pair<std::size_t, std::size_t>, Millis> partitionedUntil_;
    std::map<std::tuple<std::size_t, std::size_t, Step>, Millis> lostUntil_;
    Millis stateTransferLostUntil_ = 0;
    std::uint64_t inFlight_ = 0;                                // sum of the hashes of the messages in flight
    Millis begunAt_ = std::numeric_limits<Millis>::infinity();  // start of the scenario
    bool clientRuns_ = true;
    std::uint64_t nextToken_ = 1;
    std::map<std::uint64_t, OpenWrite> openWrites_;
    std::map<std::uint64_t, Position> openReads_;  // position acknowledged when the read began
    Position acknowledged_;
    std::deque<std::pair<Millis, Position>> acknowledgements_;
    std::map<std::uint64_t, Known> history_;  // by sequence
    std::map<std::uint64_t, View> views_;     // by epoch
};

}  // namespace beechpoint::replica::exploration
