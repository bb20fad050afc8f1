// The operator's calls at one member: reads go to the tail, writes to the head, from elsewhere by 307; a call that finds no place
// waits a little for the next view. A state machine: (now, the replica's state at that moment, an event) in, actions out. No I/O,
// clocks or sockets. The driver carries the actions out in order and reports each barrier and write once.
//
//   state       event                                        next         action
//   -           CallCame, no room                            -            Answer 503
//   -           CallCame                                     waiting
//   waiting     another member has the role and is heard     -            Answer 307
//   waiting     Leaving seen, or past the call's deadline    -            Answer 503
//   waiting     a read, this member is the tail              barrier      StartBarrier (read)
//   waiting     a write, the oldest, head and writable       decided
//   barrier     BarrierDone ok, of a read                    -            Answer 200, the table of that moment
//   barrier     BarrierDone ok, of a write                   decided      on the table of that moment, vouched for
//   barrier     BarrierDone not ok                           waiting
//   decided     accepted, writable                           committing   StartWrite
//   decided     accepted, not writable                       waiting
//   decided     refused or taken already, vouched for        -            Answer 4xx or 200
//   decided     refused or taken already, not vouched for    barrier      StartBarrier (write)
//   committing  WriteDone committed                          -            Answer 200
//   committing  WriteDone unknown                            -            Answer 503: the operator sends it again
//   committing  WriteDone notStarted                         waiting
//   waiting     ClientLeft                                   -
//   other       ClientLeft                                   the same; what would be answered is dropped
//
// Calls that wait are looked at after every event; `decided` lasts no longer than one. One write is in a barrier or committing at a
// time, the others wait in the order in which they came. A barrier shows that the table holds all that was acknowledged before it
// began: of a read, a heartbeat round of the tail; of a write, an empty batch that the whole chain commits. Only behind its own
// barrier is a write refused or called taken: a head that was cut off would do so by a table that is out of date. A write that is
// accepted needs none: the chain commits it in the view in force, or not at all.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <variant>
#include <vector>

#include "configuration/editing.hpp"
#include "control/operator_call.hpp"
#include "control/replica_state.hpp"
#include "core/clock.hpp"

namespace beechpoint::control {

inline constexpr std::size_t kMaxOperatorCalls = 64;                // one more gets 503
inline constexpr std::size_t kMaxOperatorBytes = 32 * 1024 * 1024;  // bodies of calls in hand, together
inline constexpr Millis kOperatorWait = 850;  // for a place; operators move on after a second of silence

using CallId = std::uint64_t;  // given by the driver, each once

// ---- Events

struct CallCame {
    CallId id = 0;
    OperatorCall call;
};
// Its connection is gone: nobody waits for the answer.
struct ClientLeft {
    CallId id = 0;
};
// Time went on, or the replica's state may have changed.
struct Look {};
struct BarrierDone {
    CallId id = 0;
    bool ok = false;
};
enum class WriteResult {
    committed,
    unknown,     // refused by the replica, or begun and perhaps still to be committed
    notStarted,  // certainly not begun
};
struct WriteDone {
    CallId id = 0;
    WriteResult result = WriteResult::unknown;
};
// This member ends: calls that wait are sent away from now on, those in hand are finished.
struct Leaving {};
using OperatorEvent = std::variant<CallCame, ClientLeft, Look, BarrierDone, WriteDone, Leaving>;

// ---- Actions

// Answered by one BarrierDone; of a write (`empty batch`) ok means committed.
struct StartBarrier {
    CallId id = 0;
    bool emptyBatch = false;  // else a read's
};
// Answered by one WriteDone; notStarted, and nothing begun, where the replica's committed position is not `base` any more: the
// changes were computed from the table of that position.
struct StartWrite {
    CallId id = 0;
    Position base;
    std::vector<Change> changes;
};
// The call is over.
struct Answer {
    CallId id = 0;
    int status = 0;
    std::string body;     // JSON
    std::string headers;  // whole lines, each ended by CRLF
};
// For the log: what became of a write.
struct Note {
    std::string text;
};
using OperatorAction = std::variant<StartBarrier, StartWrite, Answer, Note>;

class OperatorCalls {
public:
    // `replica` is the state at `now`, which never goes back.
    void handle(Millis now, const ReplicaState& replica, OperatorEvent event,
                std::vector<OperatorAction>& actions);

    std::size_t inHand() const { return calls_.size(); }
    bool waiting() const;                                       // some call waits: Look is due now and then
    std::uint64_t writesTaken() const { return writesTaken_; }  // committed by this process

private:
    enum class State { waiting, barrier, committing };
    struct Pending {
        CallId id = 0;
        OperatorCall call;
        Millis deadline = 0;
        State state = State::waiting;
        std::uint64_t revision = 0;  // while committing
        bool clientLeft = false;
        // No barrier is begun before that: one that failed may fail again in the same step.
        Millis notBefore = 0;
    };
    using Iterator = std::list<Pending>::iterator;

    // What is at hand while one event is handled.
    struct Moment {
        Millis now;
        const ReplicaState& replica;
        std::vector<OperatorAction>& actions;
    };

    void on(const Moment& moment, CallCame& event);
    void on(const Moment& moment, const ClientLeft& event);
    void on(const Moment& moment, const Look& event);
    void on(const Moment& moment, const BarrierDone& event);
    void on(const Moment& moment, const WriteDone& event);
    void on(const Moment& moment, const Leaving& event);

    void lookAtWaiting(const Moment& moment);
    void look(const Moment& moment, Iterator pending, bool& writeAhead);
    void startBarrier(const Moment& moment, Iterator pending);
    void decideWrite(const Moment& moment, Iterator pending, bool vouched);
    void answerTaken(const Moment& moment, Iterator pending, std::uint64_t revision);
    void redirect(const Moment& moment, Iterator pending, const std::string& address);
    void sendAway(const Moment& moment, Iterator pending, const std::string& why);
    void answer(const Moment& moment, Iterator pending, int status, std::string body,
                std::string headers = {});
    void forget(Iterator pending);
    Iterator find(CallId id, State state);

    std::list<Pending> calls_;  // in the order in which they came
    std::size_t bytes_ = 0;     // of their bodies
    std::uint64_t writesTaken_ = 0;
    bool leaving_ = false;
};

}  // namespace beechpoint::control
