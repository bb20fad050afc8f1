// The exchange: the only place where the client side and the server side meet. It owns the live queries and
// their parts, tells the decision module what happens and carries out what the module decides. It decides
// nothing itself; it only holds to the figures that no decision may pass: the open cap, the attempts of a
// part, one final answer for each query, one outcome for each attempt.
#pragma once

#include <compare>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "coordinator/coordinator.hpp"
#include "core/clock.hpp"
#include "core/counters.hpp"
#include "core/figures.hpp"
#include "core/logger.hpp"

namespace beechpoint {

using coordinator::Outcome;
using coordinator::RequestId;

// ---- towards clients

struct RequestPart {
    int slice = 0;
    double share = 0;
};

struct Request {
    std::string id;  // the client's, unique among the live ones
    std::string klass;
    std::string key;
    bool repeat = false;
    Millis expires = 0;
    std::vector<RequestPart> parts;
    std::string text;  // what each part carries to its track host, unchanged
};

struct PartAnswer {
    int slice = 0;
    std::string_view value;  // as a track host gave it
};

struct Final {
    enum class Kind { answered, refused, failed };
    enum class Why { decided, deadline, openCap, duplicateId };
    Kind kind = Kind::failed;
    Why why = Why::decided;
    bool whole = false;
    std::vector<PartAnswer> parts;  // valid during the call only
    Millis retryAfter = 0;          // refused: 0 is no advice
    Figures::Held place;            // to be ended once the answer is handed over
    std::function<void()> handedOver() const {
        return Figures::ending(place, kind == Kind::answered  ? Figures::End::served
                                      : kind == Kind::refused ? Figures::End::refused
                                                              : Figures::End::failed);
    }
};

using Ticket = RequestId;  // 0: none
using Done = std::function<void(const Final&)>;
// Whether the client's end has come and nobody has read it yet: it may stand behind other bytes, or the loop may be late.
using Left = std::function<bool()>;

// ---- towards track hosts

struct AttemptId {
    RequestId part = 0;
    int number = 0;
    auto operator<=>(const AttemptId&) const = default;
};

struct Attempt {
    AttemptId id;
    std::string server;
    std::shared_ptr<const Request> request;
    int slice = 0;
    Millis until = 0;
};

struct HostEntry {
    coordinator::ServerEntry entry;
    std::string address;
};

struct HostList {
    coordinator::ListKind kind = coordinator::ListKind::complete;
    std::vector<HostEntry> entries;
};

using Load = std::vector<coordinator::LoadValue>;

// The server side. It reports each attempt's outcome to the exchange unless the exchange abandons it first.
class TrackHosts {
public:
    virtual ~TrackHosts() = default;
    virtual void update(const HostList& list) = 0;
    virtual void send(Attempt attempt) = 0;
    virtual void flush() = 0;  // what was sent since the last flush may share calls
    virtual void abandon(AttemptId attempt) = 0;
    virtual void probe(const std::string& server) = 0;
};

// Who may know how a look at a host would end without one's looking: another gatherer's word (group/). Absent: each look
// is made.
class HostProbes {
public:
    virtual ~HostProbes() = default;
    virtual bool away(const std::string& server) = 0;             // taken for the look's end
    virtual void saw(const std::string& server, bool there) = 0;  // a look of one's own ended
};

class Exchange {
public:
    // `wake` is asked to bring tick() at or after a time; the last one asked for counts.
    Exchange(const coordinator::Settings& settings, std::uint64_t seed, const Clock& clock,
             Counters& counters, Logger& log, std::function<void(Millis)> wake);

    void attach(TrackHosts& hosts) { hosts_ = &hosts; }
    void attach(HostProbes& hostProbes) { hostProbes_ = &hostProbes; }

    // Client side. `done` is called exactly once, perhaps before this returns, unless gone() comes first.
    // `left` is asked before a part goes out, unless it was just now: what waited for long goes to nobody's client.
    Ticket take(Request request, Done done, Left left = {});
    void gone(Ticket ticket);

    // A request of a class that was turned down before it became a query: its place, if the class is known.
    Figures::Held turnedDown(const std::string& klass) { return figures_.taken(klass); }
    const Figures& figures() const { return figures_; }
    // Of the hosts in the list as told, and how many of them get nothing now.
    std::size_t hostsListed() const { return listed_.size(); }
    std::size_t hostsDown() const;

    // The end of the process is near: each query that is left has its one answer now.
    void endAll();

    // Server side. claim() is asked right before an attempt is written: whether it still may be. Where not,
    // it is over for the server side.
    // What was claimed and could not be written is claimed again.
    bool claim(AttemptId attempt);
    // Whether it would still be given leave by claim(): asked before the rest of what was cut goes out.
    bool wanted(AttemptId attempt);
    void written(AttemptId attempt);  // its last byte
    void ended(AttemptId attempt, Outcome outcome, std::string_view value = {}, Load load = {});
    void probed(const std::string& server, Outcome outcome, Millis took, Load load = {});

    // Discovery.
    void list(const HostList& list);

    // The part of the open cap that is this process's own: less while another one of the same gatherer lives.
    void share(double share) { share_ = share; }

    void tick();  // sees to all that is due
    std::size_t live() const { return queries_.size(); }
    std::size_t open() const { return open_; }
    std::size_t idsHeld() const { return ids_.size(); }
    const coordinator::Settings& settings() const { return settings_; }

private:
    struct LivePart {
        RequestId id = 0;
        int slice = 0;
        double share = 0;
        bool in = false;
        int attempts = 0;
        std::string value;
    };
    struct Live {
        std::shared_ptr<const Request> request;
        std::vector<LivePart> parts;
        Done done;
        Left left;
        Millis lookedAt = 0;  // when `left` was asked
        Figures::Held place;
        Millis aimAt = 0;   // its class's aim, or its end where that comes first
        bool sent = false;  // a part of it was written whole
    };
    struct Out {
        std::string server;
        Millis sentAt = 0;
        Millis until = 0;
        bool claimed = false;
    };
    using OutMap = std::map<AttemptId, Out>;

    void give(coordinator::Event event);
    void pump();
    void carry(const coordinator::Send& a);
    void carry(const coordinator::Cancel& a);
    void carry(const coordinator::Answer& a);
    void carry(const coordinator::Refuse& a);
    void carry(const coordinator::Fail& a);
    void carry(const coordinator::SetTimer& a);
    void carry(const coordinator::Probe& a);
    void carry(const coordinator::Subscribe&) {}  // discovery is always watched
    void carry(const coordinator::Log& a);
    void finish(RequestId query, Final final);
    Final::Why whyEnded(RequestId query) const;
    LivePart* partOf(RequestId part);
    bool live(AttemptId attempt, const Out& out) const;
    void lookForLeaving(RequestId part);
    void conclude(OutMap::iterator out, Outcome outcome, Load load);
    const coordinator::ClassSettings* classOf(const std::string& name) const;
    RequestId nextId();
    void rearm();

    coordinator::Settings settings_;
    const Clock& clock_;
    Counters& counters_;
    Logger& log_;
    std::function<void(Millis)> wake_;
    coordinator::Coordinator coordinator_;
    TrackHosts* hosts_ = nullptr;
    HostProbes* hostProbes_ = nullptr;
    Figures figures_;  // outlives the live queries, which hold places in it

    std::unordered_map<RequestId, Live> queries_;
    std::unordered_map<RequestId, RequestId> queryOf_;  // by part
    std::unordered_set<std::string> ids_;  // the clients' ids of the live queries and of the past ones
    std::deque<std::pair<Millis, std::string>> past_;  // ids of queries that ended, until they may come again
    OutMap out_;
    std::set<std::pair<Millis, AttemptId>> timeouts_;
    std::set<std::pair<Millis, RequestId>> overdue_;
    std::multimap<Millis, std::int64_t> timers_;
    std::unordered_set<std::string> up_, listed_;
    std::deque<coordinator::Event> events_;
    bool pumping_ = false;
    double share_ = 1;
    std::size_t open_ = 0;  // queries and parts held
    RequestId lastId_ = 0;
};

}  // namespace beechpoint
