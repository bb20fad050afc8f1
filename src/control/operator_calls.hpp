/// The operators' calls at one control member: GET, PUT and PATCH of /configuration, POST and DELETE of /evacuate/ZONE.
///
/// What it is: a state machine. The time, the replica's state at that moment and one event go in, actions come out. It has no I/O,
/// clock, socket or lock. What it is not: it neither parses requests (operator_call.hpp) nor commits anything (replica/).
///
/// Who owns what: OperatorCalls owns the calls that are not answered yet. The driver (operator_api.hpp) owns the connections, carries
/// the actions out in order and reports each read barrier and each write exactly once. All on the control member's event loop thread.
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
///   committing     WriteDone unknown                                 -              Answer 503: the operator sends it again
///   committing     WriteDone notStarted                              waiting
///   waiting        ClientDisconnected                                -
///   other          ClientDisconnected                                the same       the answer is dropped
///
/// Calls in `waiting` are evaluated again after every event; `decided` lasts no longer than one event. At most one write is in
/// `readBarrier` or `committing`; the others wait in the order in which they came.
///
/// **May this control member answer a read now?** Only when all of this holds, in this order:
///   1. It has the role: it has a table, the newest view that it knows lists this very process, and it is that view's tail
///      (`ReplicaState`, replica_state.hpp). Any other member answers 307 with the tail's address, or 503.
///   2. A read barrier that began after the call came has passed. The tail holds every acknowledged write (chain replication, 2004),
///      but a tail that was cut off does not know that a later view exists, whose chain has acknowledged more. So it first has a
///      majority confirm that its epoch is still the newest: a heartbeat round begun after the call, the read index of the Raft
///      thesis, section 6.4, which makes reads linearizable (replica/read_barriers.hpp, replica/failure_detector.hpp).
///   3. It still has a table when the barrier passes. The answer is that committed table.
/// A gateway's poll is another question: it may be answered by a slightly older table (replica::Replica::fresh,
/// control/committed_table_source.hpp).
///
/// A write that is accepted needs no read barrier: the chain commits it in the view in force, or not at all. A write that is rejected,
/// or found to be applied already, needs one: a head that was cut off would say so by an outdated table. Its barrier is an empty batch
/// that the whole chain commits.
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
/// From a call's coming until it has found a member that may carry it out. Operators move on after a second without an answer.
inline constexpr Millis kOperatorCallTimeout = 850;

using CallId = std::uint64_t;  ///< given by the driver, each once

// ---- Events

/// A call was read from its connection.
struct CallReceived {
    CallId id = 0;
    OperatorCall call;
};
/// The call's connection has ended: nobody waits for its answer.
struct ClientDisconnected {
    CallId id = 0;
};
/// Time went on, or the replica's state may have changed.
struct Reevaluate {};
/// Ends one StartReadBarrier.
struct ReadBarrierDone {
    CallId id = 0;
    bool passed = false;  ///< the committed table holds all that was acknowledged before the barrier began
};
enum class WriteResult {
    committed,
    unknown,     ///< refused by the replica, or begun and perhaps still to be committed
    notStarted,  ///< certainly not begun
};
/// Ends one StartWrite.
struct WriteDone {
    CallId id = 0;
    WriteResult result = WriteResult::unknown;
};
/// This member ends: waiting calls are answered 503 from now on, those in a read barrier or committing are finished.
struct DrainStarted {};
using OperatorEvent =
    std::variant<CallReceived, ClientDisconnected, Reevaluate, ReadBarrierDone, WriteDone, DrainStarted>;

// ---- Actions

enum class ReadBarrierKind {
    heartbeatRound,  ///< of a read: a majority confirms the tail's epoch in a round begun after the call came
    emptyBatch,      ///< of a write: the whole chain commits an empty batch
};
/// To be answered by one ReadBarrierDone.
struct StartReadBarrier {
    CallId id = 0;
    ReadBarrierKind kind = ReadBarrierKind::heartbeatRound;
};
/// To be answered by one WriteDone; by notStarted, and nothing begun, where the replica's committed position is not `base` any more:
/// the changes were computed from the table of that position.
struct StartWrite {
    CallId id = 0;
    Position base;
    std::vector<Change> changes;
};
/// The call is over; to be sent on its connection.
struct Answer {
    CallId id = 0;
    int status = 0;       ///< of HTTP
    std::string body;     ///< JSON
    std::string headers;  ///< complete lines, each ended by CRLF
};
/// For the log: what became of a write.
struct LogEvent {
    std::string text;
};
using OperatorAction = std::variant<StartReadBarrier, StartWrite, Answer, LogEvent>;

/// Owns the unanswered calls of one member. Lives as long as the member's process; a call lives from its CallReceived to its Answer,
/// or to its client's end while it waits. To be called from the event loop's thread only; never calls back.
class OperatorCalls {
public:
    /// Handles one event and evaluates the waiting calls. `now` never goes back; `replica` is the state at `now`. Actions are appended.
    void handle(Millis now, const ReplicaState& replica, OperatorEvent event,
                std::vector<OperatorAction>& actions);

    /// Number of unanswered calls.
    [[nodiscard]] std::size_t pendingCalls() const { return calls_.size(); }
    /// Some call waits for time or for the replica: Reevaluate is to be sent now and then.
    [[nodiscard]] bool waiting() const;
    /// Writes that this process committed since its start.
    [[nodiscard]] std::uint64_t committedWrites() const { return committedWrites_; }

private:
    enum class State { waiting, readBarrier, committing };
    // Whether the table that a write is decided on is known to hold all that was acknowledged before.
    enum class TableFreshness { unverified, verifiedByReadBarrier };

    struct PendingCall {
        CallId id = 0;
        OperatorCall call;
        Millis deadline = 0;
        State state = State::waiting;
        std::uint64_t revision = 0;  // while committing
        bool clientDisconnected = false;
        // No read barrier is begun before that: one that failed may fail again within the same step, without end.
        Millis retryAt = 0;
    };
    using Iterator = std::list<PendingCall>::iterator;

    // What is at hand while one event is handled.
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
    // Redirects or rejects a waiting call that this member won't carry out; false where it may go on waiting.
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
