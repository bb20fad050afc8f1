// The whole model of a run, free of I/O, clock and sockets: hosts, sites and what lies between them, the list
// of hosts, the clients, and the script. A driver tells it what gatherers do (dial, send, cancel, answer),
// brings it on in time, and carries out what it returns. Both drivers use it alike: the virtual one with
// gatherers in the same process, the real one with processes and sockets. Times must not go back; for equal
// times the order of calls counts. The same scenario, seed and calls give the same happenings.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "emulator/clients.hpp"
#include "emulator/directory.hpp"
#include "emulator/host.hpp"
#include "emulator/run_event.hpp"
#include "emulator/scenario.hpp"

namespace beechpoint::emulator {

using ConnId = std::uint32_t;  // of a connection from a gatherer to a host; never used twice, 0: none

// ---- what a driver is to carry out

struct QueryOut {  // to its gatherer
    TryPtr request;
};
struct ClientLeft {  // its client closes the connection
    TryPtr request;
};
struct ConnUp {
    ConnId conn = 0;
};
struct ConnRefused {
    ConnId conn = 0;
};
struct ConnReset {
    ConnId conn = 0;
};
struct PartAnswer {
    ConnId conn = 0;
    std::uint64_t tryNumber = 0;
    int slice = 0;
    PartEnd end = PartEnd::done;
    std::string value;
    std::optional<HostReport> report;
};
struct ProbeAnswer {
    ConnId conn = 0;
    bool load = false;  // asked for its load
    std::optional<HostReport> report;
};
struct ListTold {
    int gatherer = 0;
    Listing listing;
};
struct ListMuted {  // its agent is silent, or speaks again
    int gatherer = 0;
    bool muted = false;
};
struct GathererOrder {
    enum class What { start, kill, terminate, reload };
    int gatherer = 0;
    What what = What::start;
};
struct HostPath {  // whether new connections of a gatherer reach a host's machine, and what they meet there
    enum class State { open, refused, silent };
    int host = 0;
    int gatherer = 0;
    State state = State::open;
};

using Happening = std::variant<QueryOut, ClientLeft, ConnUp, ConnRefused, ConnReset, PartAnswer, ProbeAnswer,
                               ListTold, ListMuted, GathererOrder, HostPath>;
using Happenings = std::vector<Happening>;

// One line of what was scripted and what happened.
struct Note {
    Millis scripted = 0;  // when it was to happen
    Millis at = 0;        // when it was carried out
    std::string event;
    std::string detail;
};

// A host in one second.
struct HostSample {
    Millis at = 0;
    int host = 0;
    std::uint64_t offered = 0;  // parts in this second
    double offeredWork = 0;
    double capacity = 0;  // work a millisecond
    std::size_t inWork = 0, waiting = 0;
    int connections = 0;
    std::optional<HostReport> report;
};

class World {
public:
    using Sink = std::function<void(const RunEvent&)>;

    World(const Scenario& scenario, std::uint64_t seed, Sink sink);

    Millis next() const;  // 1e300: none
    void advance(Millis now, Happenings& out);
    bool over() const { return now_ >= scenario_.length && desk_.out() == 0; }

    // ---- gatherers, towards hosts
    ConnId dial(Millis now, int gatherer, int host);
    void hangUp(Millis now, ConnId conn);
    // `wait`: how long the gatherer waits, as its frame says.
    void send(Millis now, ConnId conn, std::uint64_t tryNumber, int slice, Millis wait);
    void cancel(Millis now, ConnId conn, std::uint64_t tryNumber, int slice);
    void probe(Millis now, ConnId conn, bool load);

    // ---- gatherers, towards clients
    void answered(Millis now, std::uint64_t tryNumber, bool whole,
                  std::vector<std::pair<int, std::string>> parts);
    void refused(Millis now, std::uint64_t tryNumber, Millis retryAfter);
    void failed(Millis now, std::uint64_t tryNumber);
    // Its connection was not taken, or broke. Where the request had been written whole, an answer is owed
    // still, unless the gatherer turns out to have died.
    void connectionFailed(Millis now, std::uint64_t tryNumber, bool written);

    // ---- gatherers' processes
    void gathererReady(Millis now, int gatherer);
    void gathererDied(Millis now, int gatherer);

    const Scenario& scenario() const { return scenario_; }
    const Directory& directory() const { return directory_; }
    Directory& directory() { return directory_; }
    const ClientDesk& desk() const { return desk_; }
    const std::vector<Note>& notes() const { return notes_; }
    const std::vector<HostSample>& samples() const { return samples_; }
    std::size_t hostCount() const { return hosts_.size(); }  // ever
    int hostByName(const std::string& id) const;             // -1: none
    const std::string& hostName(int host) const { return at(host).id; }
    const std::string& placeOf(int host) const { return places_[static_cast<std::size_t>(at(host).place)]; }
    bool holds(int host, int slice) const;
    const HostModel& model(int host) const { return *at(host).model; }
    HostPath::State path(int host, int gatherer) const;
    std::size_t hostsUp() const;
    std::size_t hostsCold() const;
    std::size_t hostsCut() const;

private:
    struct Host {
        enum class State { up, draining, down, vanished };
        std::string id;
        int place = 0;
        int site = 0;
        State state = State::up;
        Millis startedAt = -1;
        std::uint64_t starts = 0;  // of this id
        std::unique_ptr<HostModel> model;
        std::set<ConnId> conns;
        std::uint64_t offered = 0;
        double offeredWork = 0;
    };
    struct Conn {
        int gatherer = 0;
        int host = 0;
        bool up = false;
        std::uint64_t hostStarts = 0;  // which life of the host it leads to
        Millis lastToHost = 0, lastToGatherer = 0;
        std::deque<std::function<void(Millis)>> heldToHost, heldToGatherer;  // while the path is cut
        std::uint64_t messages = 0;
    };
    struct PartOut {
        ConnId conn = 0;
        int host = 0;
        std::uint64_t tryNumber = 0;
        int slice = 0;
    };
    struct Costly {
        int klass;
        double share, factor;
        Millis from, until;
    };
    struct CutSite {
        bool answersLost = false;
    };
    using Work = std::function<void(Millis)>;

    Host& at(int host) { return hosts_[static_cast<std::size_t>(host)]; }
    const Host& at(int host) const { return hosts_[static_cast<std::size_t>(host)]; }
    void plan(Millis at, Work work);
    void note(Millis scripted, std::string event, std::string detail);

    // script.cpp: the script's events, spelled out as steps
    void planScript();
    void planDeploy(const Event& e);
    void planSite(const Event& e);
    void planHosts(const Event& e);
    void planGatherers(const Event& e);
    int hostAtPlace(const std::string& place) const;  // the one that stands there now
    void replaceHost(Millis now, int host, Millis scripted, Millis start);
    void startHost(Millis now, int host, Millis scripted);
    void killHost(Millis now, int host, Host::State state);
    void list(Millis now, int host, ListedHost::State state);
    void cutSite(Millis now, int site, bool answersLost);
    void healSite(Millis now, int site);

    // network.cpp: connections and messages
    bool pathOpen(int siteA, int siteB) const;
    Millis delay(const Conn& conn, std::uint64_t index, ConnId id) const;
    void toHost(Millis now, ConnId conn, Work work);
    void toGatherer(Millis now, ConnId conn, Work work);
    void resetConns(Millis now, int host);
    void flushHeld(Millis now);
    void tellPaths();

    int newHost(int place, Millis now, bool cold, std::uint64_t life);
    void carryOut(Millis now, int host, const HostActions& actions);
    void answer(Millis now, PartTicket ticket, PartEnd end);
    Millis workOf(std::uint64_t query, int slice) const;
    std::string valueOf(std::uint64_t tryNumber, int slice, int host) const;
    void sample(Millis at);
    void emit(const RunEvent& event) { sink_(event); }
    void emitTold(int gatherer, const ListedHost& host);
    void finalCame(Millis now, std::uint64_t tryNumber, TryEnd end, Millis retryAfter, RunEvent e,
                   double share = 0);

    const Scenario& scenario_;
    std::uint64_t seed_;
    Sink sink_;
    Millis now_ = 0;
    Millis called_ =
        0;  // the caller's time: what is carried out now was due at now_, and is late by the difference
    std::vector<std::string> places_;
    Directory directory_;
    ClientDesk desk_;
    std::map<std::pair<Millis, std::uint64_t>, Work> agenda_;
    std::uint64_t planned_ = 0;
    std::vector<Host> hosts_;    // all there ever were
    std::vector<int> standing_;  // by place
    std::map<std::string, int> byName_;
    std::map<int, CutSite> cuts_;  // by site
    std::set<int> lostSites_;
    std::unordered_map<ConnId, Conn> conns_;
    ConnId lastConn_ = 0;
    std::unordered_map<PartTicket, PartOut> parts_;
    std::map<std::tuple<ConnId, std::uint64_t, int>, PartTicket> tickets_;
    PartTicket lastTicket_ = 0;
    std::vector<std::uint64_t> queryOfTry_{0};  // by the try's number
    std::vector<Costly> costly_;
    CancelPolicy policy_;
    std::vector<std::vector<HostPath::State>> paths_;  // as last told, by host and gatherer
    std::vector<Note> notes_;
    std::vector<HostSample> samples_;
    Happenings pending_;  // of the step under way
};

}  // namespace beechpoint::emulator
