/// The operators' calls at one control member: GET, PUT and PATCH of /configuration, POST and DELETE of /evacuate/ZONE.
///
/// A state machine: it takes the time, the replica's state at that time and one event, and returns actions. It has no I/O, clock,
/// socket or lock. Requests are parsed by operator_call.hpp; writes are committed by replica/.
///
/// Ownership: OperatorCalls owns the unanswered calls. The driver (operator_api.hpp) owns the connections, performs the actions in
/// order and reports each read barrier and each write exactly once. All of it runs on the control member's event loop thread.
///
///   state          event                                             next           action
///   -              CallReceived, too many calls or bytes             -              Answer 503
///   -              CallReceived                                      waiting
///   waiting        another, responsive member has the role           -              Answer 307
///   waiting        DrainStarted seen, or past the call's deadline    -              Answer 503
///   waiting        a read, this member is the tail                   readBarrier    StartReadBarrier (heartbeatRound)
///   waiting        a write, the oldest, this member is the head      decided
///                  and writable
///   readBarrier    ReadBarrierDone passed, of a read                 -              Answer 200, the table of that moment
///   readBarrier    ReadBarrierDone passed, of a write                decided        on the table of that moment, now verified
///   readBarrier    ReadBarrierDone not passed                        waiting
///   decided        accepted, writable                                committing     StartWrite
///   decided        accepted, not writable                            waiting
///   decided        rejected or already applied, verified             -              Answer 4xx or 200
///   decided        rejected or already applied, not verified         readBarrier    StartReadBarrier (emptyBatch)
///   committing     WriteDone committed                               -              Answer 200
///   committing     WriteDone unknown                                 -              Answer 503: the operator retries it
///   committing     WriteDone notStarted                              waiting
///   waiting        ClientDisconnected                                -
///   other          ClientDisconnected                                the same       the answer is dropped
///
/// Calls in `waiting` are evaluated again after every event; `decided` is left within the same event. At most one write is in
/// `readBarrier` or `committing`; the others wait in order of arrival.
///
/// **Conditions for answering a read.** All must hold, in this order:
///   1. This member has the role: it has a table, its newest known view lists this process, and it is that view's tail
///      (`ReplicaState`, replica_state.hpp). Any other member answers 307 with the tail's address, or 503.
///   2. A read barrier that started after the call arrived has passed. The tail holds every acknowledged write (chain replication,
///      2004), but a partitioned tail may be unaware of a later view whose chain has acknowledged more. It therefore has a majority
///      confirm that its epoch is still the newest, in a heartbeat round started after the call: the read index of the Raft thesis,
///      section 6.4, which makes reads linearizable (replica/read_barriers.hpp, replica/failure_detector.hpp).
///   3. It still has a table when the barrier passes. The answer contains that committed table.
/// A gateway's poll has weaker conditions: it may be answered from a slightly older table (replica::Replica::fresh,
/// control/committed_table_source.hpp).
///
/// An accepted write needs no read barrier: the chain commits it in the current view or not at all. A write that is rejected or found
/// to be already applied needs one, since a partitioned head would decide from an outdated table. Its barrier is an empty batch that
/// the whole chain commits.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <variant>
#include <vector>

#include "control/operator_call.hpp"
#include "control/replica_state.hpp"
#include "core/clock.hpp"

namespace beechpoint::control {

inline constexpr std::size_t kMaxOperatorCalls = 64;  ///< unanswered; one more gets 503
inline constexpr std::size_t kMaxOperatorBytes =
    std::size_t{32} * 1024 * 1024;  ///< bodies of the unanswered calls, together
/// Time from a call's arrival until a member must be able to execute it. Operators move on after a second without an answer.
inline constexpr Millis kOperatorCallTimeout = 850;

using CallId = std::uint64_t;  ///< assigned by the driver, unique

// ---- Events

/// A call was read from its connection.
struct CallReceived {
    CallId id = 0;
    OperatorCall call;
};
/// The call's connection was closed: its answer can't be delivered.
struct ClientDisconnected {
    CallId id = 0;
};
/// Time passed, or the replica's state may have changed.
struct Reevaluate {};
/// Ends one StartReadBarrier.
struct ReadBarrierDone {
    CallId id = 0;
    bool passed = false;  ///< the committed table holds every write acknowledged before the barrier started
};
enum class WriteResult {
    committed,
    unknown,     ///< rejected by the replica, or started and possibly committed later
    notStarted,  ///< definitely not started
};
/// Ends one StartWrite.
struct WriteDone {
    CallId id = 0;
    WriteResult result = WriteResult::unknown;
};
/// This member shuts down: waiting calls are answered 503 from now on; those in a read barrier or committing are finished.
struct DrainStarted {};
using OperatorEvent =
    std::variant<CallReceived, ClientDisconnected, Reevaluate, ReadBarrierDone, WriteDone, DrainStarted>;

// ---- Actions

enum class ReadBarrierKind {
    heartbeatRound,  ///< of a read: a majority confirms the tail's epoch in a round started after the call arrived
    emptyBatch,  ///< of a write: the whole chain commits an empty batch
};
/// To be answered by one ReadBarrierDone.
struct StartReadBarrier {
    CallId id = 0;
    ReadBarrierKind kind = ReadBarrierKind::heartbeatRound;
};
/// To be answered by one WriteDone; with notStarted, without starting the write, if the replica's committed position is no longer
/// `base`: the changes were computed from the table at that position.
struct StartWrite {
    CallId id = 0;
    Position base;
    std::vector<Change> changes;
};
/// Completes the call; to be sent on its connection.
struct Answer {
    CallId id = 0;
    int status = 0;       ///< of HTTP
    std::string body;     ///< JSON
    std::string headers;  ///< complete lines, each ended by CRLF
};
/// A log entry with the outcome of a write.
struct LogEvent {
    std::string text;
};
using OperatorAction = std::variant<StartReadBarrier, StartWrite, Answer, LogEvent>;

/// Owns the unanswered calls of one member. A call exists from its CallReceived to its Answer, or until its client disconnects while
/// it waits. Must be called from the event loop's thread only; makes no callbacks.
class OperatorCalls {
public:
    /// Handles one event and evaluates the waiting calls. `now` never goes back; `replica` is the state at `now`. Actions are appended.
    void handle(Millis now, const ReplicaState& replica, OperatorEvent event,
                std::vector<OperatorAction>& actions);

    /// Number of unanswered calls.
    [[nodiscard]] std::size_t pendingCalls() const { return calls_.size(); }
    /// Whether a call waits for time to pass or for the replica; Reevaluate must then be sent periodically.
    [[nodiscard]] bool waiting() const;
    /// Writes that this process committed since its start.
    [[nodiscard]] std::uint64_t committedWrites() const { return committedWrites_; }

private:
    enum class State { waiting, readBarrier, committing };
    // Whether the table on which a write is decided is known to hold every write acknowledged before.
    enum class TableFreshness { unverified, verifiedByReadBarrier };

    struct PendingCall {
        CallId id = 0;
        OperatorCall call;
        Millis deadline = 0;
        State state = State::waiting;
        std::uint64_t revision = 0;  // while committing
        bool clientDisconnected = false;
        // No read barrier starts before this time: one that fails at once would otherwise be retried endlessly within one step.
        Millis retryAt = 0;
    };
    using Iterator = std::list<PendingCall>::iterator;

    // Context of handling one event.
    struct Step {
        Millis now;
        const ReplicaState& replica;
        std::vector<OperatorAction>& actions;
    };

    void on(const Step& step, CallReceived& event);
    void on(const Step& step, const ClientDisconnected& event);
    void on(const Step& step, const Reevaluate& event);
    void on(const Step& step, const ReadBarrierDone& event);
    void on(const Step& step, const WriteDone& event);
    void on(const Step& step, const DrainStarted& event);

    void evaluateWaiting(const Step& step);
    // Redirects or rejects a waiting call that this member won't execute; false if it may continue to wait.
    [[nodiscard]] bool endWaiting(const Step& step, Iterator pending);
    [[nodiscard]] static bool mayProceed(const Step& step, Iterator pending);
    void startReadBarrier(const Step& step, Iterator pending);
    void decideWrite(const Step& step, Iterator pending, TableFreshness freshness);
    void startWrite(const Step& step, Iterator pending, configuration::Accepted accepted);
    void rejectWrite(const Step& step, Iterator pending, const Error& error);

    // Each of these ends the call.
    void finish(const Step& step, Iterator pending, Answer answer);
    void forget(Iterator pending);

    [[nodiscard]] Iterator find(CallId id, State state);

    std::list<PendingCall> calls_;  // in the order in which they came
    std::size_t bodyBytes_ = 0;     // of calls_
    std::uint64_t committedWrites_ = 0;
    bool draining_ = false;
};

}  // namespace beechpoint::control
