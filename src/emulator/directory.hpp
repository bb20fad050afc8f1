// The list of track hosts as discovery has it, and what each gatherer's agent has told of it: late, by
// generations, and skipping those that came while it could say nothing. Free of I/O.
//
// | agent  | change                      | its lag is over     | mute          | unmute            |
// | speaks | waits for its lag           | told, one at a time | mute          | counted           |
// | mute   | waits for its lag and more  | waits on            | counted       | speaks: all that  |
// |        |                             |                     |               | is due, as one    |
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "emulator/random.hpp"
#include "emulator/scenario.hpp"

namespace beechpoint::emulator {

struct ListedHost {
    enum class State { ready, terminating, gone };
    std::string id;
    int host = 0;  // the world's number for it
    int place = 0;
    int site = 0;
    State state = State::ready;
    Millis startedAt = -1;  // below 0: long ago
};

struct Listing {
    std::int64_t generation = 0;
    bool complete = false;  // else changes since the one before
    std::vector<ListedHost> hosts;
};

struct ListingTold {
    int gatherer = 0;
    Listing listing;
};

class Directory {
public:
    Directory(int gatherers, Range lag, std::uint64_t seed);

    // Before the first change all agents know what is given here.
    void begin(const std::vector<ListedHost>& hosts);
    void change(Millis now, const ListedHost& host);
    // Silences may overlap; the agent speaks again once the last one ended.
    void mute(int gatherer);
    void unmute(int gatherer);

    Millis next() const;  // 1e300: none
    void advance(Millis now, std::vector<ListingTold>& out);

    Listing told(int gatherer) const;  // the whole list as its agent has told it
    // What changed for this agent after a generation; the whole list where that is not known any more.
    Listing since(int gatherer, std::int64_t generation) const;
    bool speaks(int gatherer) const { return agents_.at(static_cast<std::size_t>(gatherer)).mutes == 0; }
    std::int64_t generation() const { return generation_; }

private:
    struct Change {
        std::int64_t generation;
        Millis visibleAt;
        ListedHost host;
    };
    struct Agent {
        int mutes = 0;
        std::int64_t generation = 0;
        std::deque<Change> pending;
        std::vector<Change> past;  // told ones: as many as a run has changes, which its script bounds
        std::map<std::string, ListedHost> known;
    };
    std::vector<Agent> agents_;
    Range lag_;
    std::uint64_t seed_;
    std::int64_t generation_ = 40;
};

}  // namespace beechpoint::emulator
