// One member of the virtual group, with its clock, disk and open calls. Private to src/emulator/group_world*.cpp.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "emulator/faulty_files.hpp"
#include "emulator/group_world.hpp"
#include "raft/state_folder.hpp"

namespace beechpoint::emulator {

inline constexpr Millis kActEvery = 25;  // of a member's own clock, on each duty it may act on

struct GroupWorld::Member {
    std::unique_ptr<cluster::Core> core;
    cluster::Options options;
    double rate = 1, offset = 0;
    bool stopped = false;
    std::uint64_t epoch = 0;
    FaultyFiles files{1};
    std::optional<raft::StateEncoder> journal;
    std::optional<raft::StateFolder> folder;
    std::map<std::string, std::string> first;  // the folder as it was when the group had just begun
    std::vector<std::string> buffer;
    raft::Index seen = 0;
    std::map<std::uint64_t, std::pair<std::string, DutyOp>> calls;
    std::vector<std::pair<std::string, std::uint64_t>> begun;  // acts checked, not yet carried out
    std::uint64_t sentBytes = 0, beforeQuiet = 0, refused = 0, snapshots = 0, tooLong = 0;
    raft::ProcessIncarnation processIncarnation = 0;
    Millis wantAt = -1e300;
    std::string told;  // for the trace
    Millis local(Millis t) const { return offset + t * rate; }
    Millis world(Millis t) const { return (t - offset) / rate; }
};

}  // namespace beechpoint::emulator
