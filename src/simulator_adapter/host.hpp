// Hosts any number of coordinators, by instance number, on the simulator's wire. Decides nothing.
#pragma once

#include <array>
#include <iosfwd>
#include <map>

#include "coordinator/coordinator.hpp"

namespace beechpoint::coordinator::simulator_adapter {

class Line;

class Host {
public:
    // Answers batches until the input ends. Returns the process's exit status.
    int run(std::istream& in, std::ostream& out, std::ostream& errors);

private:
    void event(Line& line);
    void query(Line& line);
    void give(const Event& event);
    Coordinator* current();

    std::map<int, Coordinator> instances_;
    std::array<std::vector<ServerEntry>, 16> lists_;
    std::map<int, std::vector<Action>> actions_;  // of this batch
    std::vector<int> order_;                      // instances, in order of their first event in this batch
    int instance_ = -1;
    int filling_ = -1;  // the list whose entries are being read
    std::int64_t entriesLeft_ = 0;
    Nanos now_ = 0;
};

}  // namespace beechpoint::coordinator::simulator_adapter
