// A part's replicas in the order of the design's score, and the width test over them. Guards: E4, E8.
#pragma once

#include "coordinator/server_records.hpp"
#include "coordinator/width.hpp"

namespace beechpoint::coordinator {

constexpr int kRedialDials = 2;  // E8: time-outs of a dial between looks at a server that was cut off

struct CoordinatorRanking : CoordinatorRecords {
    using CoordinatorRecords::CoordinatorRecords;
    std::vector<int>& cell(int i) {
        return byCell[static_cast<std::size_t>((i % set.cells + set.cells) % set.cells)];
    }
    void eachHolder(int shard, auto call) {  // calls back with each usable server that holds the shard
        for (int j = 0; j < std::min(set.span, set.cells); ++j)
            for (const int i : cell(shard + j)) call(i, at(i));
    }
    // Whether a look at a cut-off server is due; asks for the probe.
    bool redial(Server& s) {
        if (!s.cut || now < s.redialAt) return false;
        s.redialAt = now + std::max(kRedialDials * set.dialTimeout, 2 * grain());
        if (set.probing) act(Probe{s.entry.id});
        return true;
    }

    // A part's replicas that may be sent to now, best first.
    std::vector<Scored> ranked(const Query& q, const Part& p) {
        std::vector<Scored> all, sound;
        eachHolder(p.shard, [&](int i, Server& s) {
            if (now < s.fullUntil || coldFull(s)) return;
            if (p.triedAt(i, true) || (!redial(s) && s.cut)) return;
            all.push_back(score(i, q.klass));
            if (!s.cut) sound.push_back(all.back());
        });
        return ranking(sound.empty() ? all : sound);
    }
    int widthOf(const std::vector<Scored>& w, std::size_t klass) const {
        const auto recentOf = [&](int i) -> auto& { return at(i).classes[klass].recent; };
        return width(w, gainTarget(klass), recentOf);
    }
};

}  // namespace beechpoint::coordinator
