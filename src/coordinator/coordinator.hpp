// The complete interface of the coordinator, the decision module of the gatherer.
//
// A Coordinator is handed timed events and returns actions. It does no I/O, reads no clock and starts no
// thread. It is not thread-safe: one caller at a time. Events must come in order of time; the actions
// returned for an event take effect at that event's time, in the order given. All times and durations are
// nanoseconds. The coordinator owns copies of all it is handed. The same settings, seed and events give the
// same actions.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace beechpoint::coordinator {

using Nanos = std::int64_t;  // a duration, or a time on the caller's clock (any origin, never going back)
using RequestId = std::uint32_t;  // of a query or of a part; never used twice

enum class Effect { safe, keyed, unsafe };  // whether a part may run twice; keyed: within repeatWindow only
enum class Reports { withAnswers, withProbes, none };

struct ClassSettings {
    std::string name;
    Nanos aim = 0;         // full worth for an answer within this time
    Nanos deadline = 0;    // how long a client waits in all, over all its tries
    double worth = 1;      // of a whole answer
    double lateWorth = 0;  // share of the worth after the aim and before the deadline
    Effect effect = Effect::safe;
    Nanos repeatWindow = 0;  // keyed: repeats are dropped this long after the first attempt that may have run
    double completeFrom = 1;  // share of the first step's weight that makes an answer whole
    double leastShare = 1;    // least share of a step's weight from which an answer may be given
    double shortWorth = 1;    // an answer that is not whole earns this times share / completeFrom
    int secondStep = 0;       // parts fetched after the first answer; 0: none
};

struct TenantSettings {
    std::string name;
    double share = 1;          // of the service
    double allowancePerS = 0;  // queries per second within its share, over all coordinators; 0: not stated
};

struct Settings {
    std::vector<ClassSettings> classes;
    std::vector<TenantSettings> tenants;  // may be empty
    int coordinators = 1;                 // how many share the replicas
    int me = 0;                           // this one's number among them
    std::string zone;                     // this one's zone
    int shards = 1;
    int cells = 1;  // shard s is held by the servers of cells (s + j) mod cells, j from 0 to span - 1
    int span = 1;
    double overShareWorth = 1;  // worth of a query beyond its tenant's share, as a share of the usual
    double crossZoneCost = 0;   // price of an attempt in another zone, per part, in shares of all worth
    Nanos tick = 1'000'000;     // the caller handles events at most this often
    Nanos answerSlack = 0;      // a final answer counts until this long after a query's time is up
    Nanos dialTimeout = 0;
    int maxAttempts = 1;  // of a part
    int openCap = 0;      // most queries and parts held; 0: no limit
    bool parallelTries = false;
    bool cancelling = false;
    bool probing = false;
    bool retryAfter = false;
    Nanos maxRetryAfter = 0;
    bool mustSubscribe = false;  // the server list comes only to those that asked
    Nanos coldTime = 0;          // a started server is warm after this long at the latest
    double coldFrom = 1;         // and starts at no less than this share of its capacity
    double overloadFactor =
        0;  // sent more than this multiple of its capacity for overloadTime, it falls; 0: never
    Nanos overloadTime = 0;
    bool hasResendBudget =
        false;  // further attempts within lookBack: at most freeResends + resendRatio x taken
    double freeResends = 0;
    double resendRatio = 0;
    Nanos lookBack = 0;
    Reports reports = Reports::none;
};

enum class ServerState { up, draining, removed };

struct ServerEntry {
    std::string id;
    ServerState state = ServerState::up;
    int cell = 0;
    std::string zone;
    std::string kind;
    Nanos startedAt = 0;  // clock time of its last start; 0: long ago
    double rating = 1;    // a figure to compare servers by; may be rough
};

struct LoadValue {
    std::string name;
    double value = 0;
};

enum class Outcome {
    served,
    error,           // may have run
    turnedAway,      // never ran
    timedOut,        // may have run, or may still run
    noConnection,    // never ran
    connectionLost,  // may have run
    cancelled,       // may have run
    notSent          // never ran
};

// ---- events
// -------------------------------------------------------------------------------------------------

enum class ListKind { changes, complete, remembered, failed };  // remembered: own last list, possibly stale

struct ServerList {
    ListKind kind = ListKind::complete;
    std::vector<ServerEntry> entries;
};

struct QueryArrived {  // its parts follow at the same time
    RequestId id = 0;
    std::int64_t number = 0;  // shared with its parts
    std::string klass;
    std::string tenant;   // may be empty
    bool repeat = false;  // a client's repeat, where clients mark it
    Nanos expires = 0;
    int parts = 0;  // of its first step
    std::string key;
};

struct PartArrived {
    RequestId id = 0;
    std::int64_t number = 0;  // of its query
    int shard = 0;
    double weight = 0;  // those of a step sum to one
};

struct AttemptEnded {  // exactly one for each Send, also after the query's end
    RequestId id = 0;
    int attempt = 0;  // numbered from 0 in order of the part's Sends
    std::string server;
    Outcome outcome = Outcome::served;
    Nanos took = 0;
    bool partOver = false;
    std::vector<LoadValue> load;
};

struct ProbeEnded {
    std::string server;
    Outcome outcome = Outcome::served;
    Nanos took = 0;
    std::vector<LoadValue> load;
};

struct QueryGone {  // the client has left; nothing is owed any more
    RequestId id = 0;
};

struct TimerDue {
    std::int64_t mark = 0;
};

using Event =
    std::variant<ServerList, QueryArrived, PartArrived, AttemptEnded, ProbeEnded, QueryGone, TimerDue>;

// ---- actions
// ------------------------------------------------------------------------------------------------

struct Send {
    RequestId id = 0;
    std::string server;
    Nanos within = 0;  // the attempt's time-out, counted from now
};

struct Cancel {
    RequestId id = 0;
    int attempt = 0;
};

// Final, unless it is the first of a class with a second step: its parts are then to arrive within two ticks,
// and the query is not ended before that.
struct Answer {
    RequestId id = 0;
    bool whole = false;
};

struct Refuse {  // final: trying again is harmless
    RequestId id = 0;
    Nanos retryAfter = 0;  // 0: no advice
};

struct Fail {  // final: promises nothing
    RequestId id = 0;
};

struct SetTimer {
    std::int64_t mark = 0;
    Nanos at = 0;
};

struct Probe {
    std::string server;
};

struct Subscribe {};  // ask for the server list and its changes

struct Log {
    std::string text;
};

using Action = std::variant<Send, Cancel, Answer, Refuse, Fail, SetTimer, Probe, Subscribe, Log>;

class Coordinator {
public:
    // Throws std::invalid_argument, naming the key, for settings it cannot work with.
    Coordinator(Settings settings, std::uint64_t seed, Nanos now);
    ~Coordinator();
    Coordinator(Coordinator&&) noexcept;
    Coordinator& operator=(Coordinator&&) noexcept;

    // Appends what to do to `out`. Ids no longer held, servers not listed and late outcomes are normal.
    void handle(Nanos now, const Event& event, std::vector<Action>& out);

    // Whether a listed server gets no parts now: it drains, was taken out, or is cut off until
    // a probe passes.
    bool avoids(const std::string& server) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace beechpoint::coordinator
