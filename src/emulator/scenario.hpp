// A scenario: the fleet, the load over time and the script of what goes wrong. Values only; read from JSON
// that is checked against scenario.schema.json first. Times are milliseconds from the run's start.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "core/clock.hpp"

namespace beechpoint::emulator {

// What is wrong with a scenario, with the JSON pointer of the place.
struct BadScenario : std::runtime_error {
    BadScenario(const std::string& pointer, const std::string& rule)
        : std::runtime_error((pointer.empty() ? "/" : pointer) + ": " + rule) {}
};

struct Range {
    double from = 0;
    double to = 0;
};

struct HostKind {
    int cores = 2;
    int slots = 4;              // parts in work at once
    int waitingRoom = 20;       // parts that wait beyond these; more are turned away
    double crowdingLoss = 0.1;  // share of the capacity lost with slots and waiting room full
    int connectionCap = 800;
    double connectionTax = 0.05;  // share of the capacity lost with the connection table full
    Millis handshakeWork = 0.8;   // work that a new connection costs
    Millis handshakeTime = 1.0;   // and the time until it carries a request
    Millis probeWork = 0.4;
    Range speed{0.95, 1.05};     // of each host, against the work as stated
    double olderShare = 0;       // of the hosts are of an older kind,
    Range olderSpeed{0.7, 0.8};  // whose speed is this
    double coldFrom = 0.3;       // share of its capacity right after a start
    Millis coldTime = 12'000;
    bool warmByWork = false;  // else by time alone
    Range pauseEvery{3'400, 9'000};
    Range pauseLength{74, 270};
    double errorRate = 0;
    Range reportEvery{140, 790};
    Range reportDelay{70, 280};
    double reportNoise = 0.1;
    double overloadFactor =
        4;  // a cold host sent more than this multiple of its capacity for overloadTime falls
    Millis overloadTime = 3'000;
};

struct CancelPolicy {
    bool dropsWaiting = true;   // cancelled waiting work is dropped
    bool stopsRunning = false;  // cancelled running work stops, else it runs on and keeps its slot
    bool beginsOverdue = true;  // a part whose time-out passed is begun all the same
};

struct Site {
    std::string name;
    int hosts = 0;
    int gatherers = 0;
};

struct ClassSpec {
    std::string name;
    double share = 1;  // of the queries
    double worth = 1;
    Millis aim = 0;
    Millis giveUp = 0;
    int partsFrom = 1, partsTo = 1;
    double partsShare = 0;  // above 0: this share of all slices, partsFrom at least
    Range work{80, 110};    // of a part
    bool repeats = true;    // false: a part that may have run is not sent again
    double lateWorth = 0;   // share of the worth after the aim
    double leastShare = 1;  // of the parts' weight, from which an answer may be given
    double shortWorth = 0;  // such an answer earns this times its share
};

struct LoadPoint {  // straight lines between points; two at one time are a step
    Millis at = 0;
    double perSecond = 0;
};

struct Clients {
    double retryShare = 0.5;  // of the tries that did not help are made once more
    Range retryWait{60, 480};
    double honourShare = 0.6;         // of the clients keep to Retry-After
    Range tryShare{0.6, 1};           // a try is given up after this share of the class's time
    Range frontNotice{1'900, 3'800};  // until the front hears that a gatherer died
    Millis delay = 0.5;
    int keys = 100'000;
    double keySkew = 0.6;  // exponent of the keys' popularity
};

struct Event {
    enum class Kind {
        deploy,
        siteCut,
        siteLost,
        slow,
        pause,
        costly,
        crash,
        gathererKill,
        gathererRestart,
        gathererReload,
        discoverySilent,
        cancelPolicy
    };
    Kind kind = Kind::pause;
    Millis at = 0;
    std::string pointer;             // its place in the file, for errors
    std::vector<std::string> hosts;  // places, as north-0; resolved, so never empty where hosts matter
    std::vector<int> gatherers;
    std::string site;
    std::string klass;
    Millis lasts = 0;
    Millis every = 0;          // deploy: from batch to batch; pause: from pause to pause
    Millis drain = 0;          // deploy
    Millis start = 0;          // deploy, crash, kills: until the successor runs
    double batchShare = 0;     // deploy: of the hosts at a time
    double factor = 1;         // slow, costly
    double share = 1;          // costly: of the class's queries
    Millis pauseLength = 0;    // pause
    bool answersLost = false;  // siteCut: what hosts answer meanwhile never arrives, else late
    CancelPolicy policy;
};

const char* nameOf(Event::Kind kind);

struct Scenario {
    std::string name;
    std::string about;
    Millis length = 60'000;
    std::uint64_t seed = 1;
    std::vector<Site> sites;
    Range sameSite{0.15, 0.34};   // one way
    Range crossSite{0.42, 0.78};  // one way
    int slicesPerHost = 2;
    int copies = 2;               // hosts that hold a slice
    bool sets = false;            // the hosts of a set hold the same slices; else a ring
    bool reportsByProbe = false;  // else with every answer
    HostKind host;
    CancelPolicy cancel;
    Range listLag{400, 2'000};  // until a change of the list is told
    double openCapSeconds = 2;  // a gatherer's share of the full load that it may hold, in seconds of it
    int maxAttempts = 3;
    int callsPerConnection = 32;
    int sockets = 512;  // a gatherer's descriptors
    bool retryAfter = true;
    int portBase = 0;  // real runs: 0 takes any free port, else ports from here on
    Clients clients;
    std::vector<ClassSpec> classes;
    std::vector<LoadPoint> load;
    std::vector<Event> script;

    int hostCount() const;
    int gathererCount() const;
    int cells() const { return sets ? hostCount() / copies : hostCount(); }
    int span() const { return sets ? 1 : copies; }  // cells in a row that hold a slice
    int cellOf(int place) const { return sets ? place / copies : place; }
    bool holds(int place, int slice) const;
    int slices() const { return cells() * slicesPerHost; }
    double rateAt(Millis at) const;                       // queries a second that the load states
    double queriesBetween(Millis from, Millis to) const;  // the integral of that
    int siteOfGatherer(int gatherer) const;
    int siteIndex(const std::string& name) const;  // -1: none
    // Places in the ring's order: sites take turns, so that neighbours stand in different ones.
    std::vector<std::string> places() const;
    int siteOfPlace(int place) const;
};

// Throw BadScenario, naming the place by its JSON pointer.
Scenario readScenario(const std::string& json);
Scenario readScenarioFile(const std::string& path);
const std::string& scenarioSchema();  // the JSON Schema's text

// A timeline that a person can read.
std::string describe(const Scenario& scenario);

}  // namespace beechpoint::emulator
