// What the Coordinator holds: servers, queries and their parts, attempts still out, means over the fleet.
#pragma once

#include <map>
#include <stdexcept>
#include <utility>

#include "coordinator/coordinator.hpp"
#include "coordinator/record.hpp"
#include "coordinator/score.hpp"
#include "core/splitmix.hpp"

namespace beechpoint::coordinator {

using namespace policy;

constexpr double kAheadWeight = 0.35;  // growth of t for each attempt ahead: servers work on a few at a time
constexpr Nanos kLogEvery = 5'000'000'000;  // each kind of log line at most so often

struct Server {
    ServerEntry entry;
    bool usable = false;  // listed and up
    std::vector<Record> classes;
    Mean ratio;               // times over the fleet's, all classes
    Mean f{kFailMemoryS};     // failures, all classes
    std::size_t out = 0;      // attempts still out, all classes
    Nanos coldAt = 0;         // E4: not before
    std::deque<Nanos> sends;  // within the rule's overload time
    Nanos fullUntil = 0;
    bool cut = false;   // E8: a connection broke, and no probe passed since
    bool down = false;  // E8: could not be connected to
    Nanos backAt = 0;   // when it was found up again
    Nanos goneAt = 0;   // since when it is not usable
    Nanos redialAt = 0;
    double wait = 0;  // E11: seconds that its last report's queue takes it
    Nanos toldAt = 0;
};

struct Attempt {
    int server = 0;
    Nanos sentAt = 0;
    bool out = true, mayHaveRun = true, cancelled = false;
};

struct Part {
    RequestId id = 0;
    int shard = 0;
    double weight = 0;
    bool in = false, over = false, waiting = false;
    std::vector<Attempt> attempts;
    int width = 1;
    bool copiesAlone = false;
    double tookS = 0, expectedS = 0;
    bool triedAt(int server, bool stillOut) const {
        return std::ranges::any_of(attempts,
                                   [&](auto& a) { return a.server == server && (a.out || !stillOut); });
    }
    int outCount() const { return static_cast<int>(std::ranges::count_if(attempts, &Attempt::out)); }
};

struct Query {
    RequestId id = 0;
    std::int64_t number = 0;
    std::size_t klass = 0;
    int tenant = -1;
    Nanos arrived = 0, expires = 0, aimAt = 0, stepAt = 0;
    int expected = 0, step = 1;  // parts expected of the present step
    int lost = 0;                // servers whose connection broke (E9)
    int lastLost = -1;           // the last of them: its other parts break with it
    bool firstWhole = false;
    bool careful = false;  // one attempt out at a time, until a part has been served (E9)
    std::string key;
    std::vector<Part> parts;  // of the present step
};

struct Out {  // an attempt still out; outlives its query
    int server = 0;
    std::size_t klass = 0;
    Nanos sentAt = 0;
    std::size_t ahead = 0;
};

struct CoordinatorState {
    Settings set;
    beechpoint::SplitMix draw;  // in [0, 1)
    std::map<std::string, int> index;
    std::vector<Server> servers;
    std::vector<int> spare;  // places of servers that are gone for good, to be used again
    std::map<RequestId, Query> queries;
    std::map<std::int64_t, RequestId> byNumber;
    std::map<RequestId, RequestId> partOf;
    std::map<std::pair<RequestId, int>, Out> out;
    std::vector<Mean> fleet, secondStep, left;  // per class, seconds: normal time; second step; clients left
    std::map<std::string, Mean> zoneRatio;      // times over the fleet's, all servers of a zone
    std::vector<Nanos> tryLength;               // per class: longest time a client gave a first try
    std::vector<Mean> tenantSeen;
    Mean firstSends{kWindowS}, copies{kWindowS}, further{kWindowS}, arrivals{3 * kWindowS};
    std::deque<Nanos> taken, resent;  // the stated budget's window
    Mean density;                     // worth per part of the queries that came
    Nanos lore = 0;                   // clock of what is learned about servers; slower where queries are rare
    double usualOut = 0;              // own attempts out per usable server, over kWindowS
    int held = 0, usable = 0;         // queries and parts; servers
    std::vector<std::vector<int>> byCell;  // usable servers
    Nanos now = 0, wakeAt = 0;
    std::deque<std::pair<Nanos, std::string>> blamed;  // keys of queries given up on by E9, for kWindowS
    std::map<std::string, Nanos> logged;
    std::vector<Action>* actions = nullptr;

    CoordinatorState(Settings s, std::uint64_t seed, Nanos start)
        : set(std::move(s)), draw(seed), now(start) {
        const auto need = [](bool ok, const char* key) {
            if (!ok)
                throw std::invalid_argument("coordinator settings: invalid or missing " + std::string(key));
        };
        need(!set.classes.empty(), "classes"), need(set.shards > 0, "shards"), need(set.cells > 0, "cells");
        need(set.span > 0, "span"), need(set.coordinators > 0, "coordinators"), need(set.tick > 0, "tick");
        need(set.maxAttempts > 0, "maxAttempts"), need(!set.hasResendBudget || set.lookBack > 0, "lookBack");
        for (const ClassSettings& c : set.classes) {
            need(c.aim > 0, "classes.aim"), need(c.deadline >= c.aim, "classes.deadline");
            need(c.leastShare >= 0 && c.leastShare <= 1, "classes.leastShare");
            need(c.completeFrom > 0 && c.completeFrom <= 1, "classes.completeFrom");
            need(c.secondStep >= 0, "classes.secondStep");
        }
        for (auto* perClass : {&fleet, &secondStep, &left}) perClass->resize(set.classes.size());
        tryLength.resize(set.classes.size());
        tenantSeen.resize(set.tenants.size(), Mean{kFailMemoryS});
        byCell.resize(static_cast<std::size_t>(set.cells));
    }

    void act(auto action) { actions->emplace_back(std::move(action)); }
    void say(const std::string& kind, const std::string& text) {
        const auto [it, first] = logged.try_emplace(kind, now);
        if (!first && now - it->second < kLogEvery) return;
        it->second = now;
        act(Log{kind + ": " + text});
    }
    Server& at(int i) { return servers[static_cast<std::size_t>(i)]; }
    const Server& at(int i) const { return servers[static_cast<std::size_t>(i)]; }
    const ClassSettings& classOf(const Query& q) const { return set.classes[q.klass]; }
    double gainTarget(std::size_t klass) const { return kGainShare * seconds(set.classes[klass].aim); }
    // An own attempt ahead is one, and a sign that the others have more out than usual too, as far as own
    // numbers can tell. Bounded by what all have out as a rule, however many they are.
    double aheadWeight() const {
        return kAheadWeight * (1 + (set.coordinators - 1) * usualOut / (usualOut + 1));
    }
    Nanos grain() const { return 2 * set.tick; }  // between sweeps over what is held
};

}  // namespace beechpoint::coordinator
