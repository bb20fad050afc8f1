// Raft members with their messages carried by hand: no clock but the test's, nothing sent unless it says so.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "raft/raft_consensus.hpp"

namespace beechpoint::raft {

struct Text : StateMachine {
    std::string all;
    void apply(Index, Term, const std::string& data) override { all += data + ";"; }
    std::string save() const override { return all; }
    bool load(const std::string& saved) override { return all = saved, true; }
};

struct Net {
    explicit Net(int size, Options o = {}, bool lasting = true) : options(o), lasting(lasting) {
        for (int i = 0; i < size; ++i) names.push_back("s" + std::to_string(i + 1));
        machines.resize(static_cast<std::size_t>(size));
        consensus.resize(static_cast<std::size_t>(size));
        kept.resize(static_cast<std::size_t>(size));
        for (int i = 0; i < size; ++i) start(i);
    }
    void start(int i) {
        const auto n = static_cast<std::size_t>(i);
        machines[n] = std::make_unique<Text>();
        ++processIncarnation;
        consensus[n] =
            std::make_unique<RaftConsensus>(options, names[n], processIncarnation, names, processIncarnation,
                                            now, *machines[n], lasting ? kept[n] : std::nullopt);
    }
    void kill(int i) { consensus[static_cast<std::size_t>(i)].reset(); }
    RaftConsensus& at(int i) { return *consensus[static_cast<std::size_t>(i)]; }
    int indexOf(const std::string& name) const {
        return static_cast<int>(std::find(names.begin(), names.end(), name) - names.begin());
    }
    void out(int i, Actions& a) {
        if (a.mustPersist) kept[static_cast<std::size_t>(i)] = at(i).persistentState();
        for (Message& m : a.send) wire.push_back(std::move(m));
        for (const auto token : a.confirmedTokens) confirmed.push_back(token);
    }
    // Delivers all that is on the wire, and what comes of it, between the members named; the rest is lost.
    void deliver(const std::set<int>& among) {
        for (int guard = 0; !wire.empty() && guard < 20'000; ++guard) {
            const Message m = wire.front();
            wire.pop_front();
            const int from = indexOf(m.from), to = indexOf(m.to);
            if (!among.contains(from) || !among.contains(to) || !consensus[static_cast<std::size_t>(to)])
                continue;
            if (drop && drop(m)) continue;
            Actions a;
            at(to).receive(now, m, a);
            out(to, a);
        }
    }
    // Time passes for these alone: whoever of them is due acts.
    void pass(Millis d, const std::set<int>& among) {
        for (const Millis end = now + d; now < end; now += 10) {
            for (const int i : among) {
                if (!consensus[static_cast<std::size_t>(i)] || at(i).nextDeadline() > now) continue;
                Actions a;
                at(i).advance(now, a);
                out(i, a);
            }
            deliver(among);
        }
    }
    void found() {
        Actions a;
        at(0).foundGroup(now, 9, a);
        out(0, a);
        std::set<int> all;
        for (int i = 0; i < static_cast<int>(names.size()); ++i) all.insert(i);
        deliver(all);
    }
    // Makes `who` stand and win with the votes of `voters`: only its own time passes.
    bool elect(int who, std::set<int> voters) {
        voters.insert(who);
        now += options.electionTimeoutMax + 50;  // nobody heard a leader of late
        for (int tries = 0; tries < 10 && !at(who).isLeader(); ++tries) {
            Actions a;
            at(who).advance(now, a);
            out(who, a);
            deliverUntilLeads(who, voters);
            now += options.electionTimeoutMax;
        }
        return at(who).isLeader();
    }
    void deliverUntilLeads(int who, const std::set<int>& among) {
        while (!wire.empty() && !at(who).isLeader()) {
            const Message m = wire.front();
            wire.pop_front();
            const int from = indexOf(m.from), to = indexOf(m.to);
            if (!among.contains(from) || !among.contains(to)) continue;
            Actions a;
            at(to).receive(now, m, a);
            out(to, a);
        }
    }
    int leader() const {
        for (int i = 0; i < static_cast<int>(names.size()); ++i)
            if (consensus[static_cast<std::size_t>(i)] &&
                consensus[static_cast<std::size_t>(i)]->isReadyLeader())
                return i;
        return -1;
    }
    const std::string& text(int i) const { return machines[static_cast<std::size_t>(i)]->all; }

    Options options;
    bool lasting;
    Millis now = 1000;
    ProcessIncarnation processIncarnation = 0;
    std::vector<std::string> names;
    std::vector<std::unique_ptr<Text>> machines;
    std::vector<std::unique_ptr<RaftConsensus>> consensus;
    std::vector<std::optional<PersistentState>> kept;
    std::deque<Message> wire;
    std::function<bool(const Message&)> drop;  // lost on their way
    std::vector<std::uint64_t> confirmed;
};

}  // namespace beechpoint::raft
