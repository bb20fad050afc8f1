/// A member's disk: carries out updates in order after a drawn time, and knows what a loss of power leaves of them. Outlives the
/// processes that use it.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>

#include "replica/durable_state.hpp"
#include "virtual_network.hpp"

namespace beechpoint::simulation {

class VirtualDisk {
public:
    explicit VirtualDisk(VirtualNetwork& network) : network_(network) {}

    // `done` is called once it is carried out, unless the process ends before.
    void persist(replica::DurableUpdate update, std::function<void()> done);
    // The update under way may or may not have been written.
    void endProcess();
    void losePower();
    void eraseDisk() { written_ = synced_ = replica::DurableState{}; }
    const replica::DurableState& contents() const { return written_; }
    void slowest(Millis time) { slowest_ = time; }  // of a forced write

private:
    struct Queued {
        replica::DurableUpdate update;
        std::function<void()> done;
    };
    void start();

    VirtualNetwork& network_;
    replica::DurableState written_;  // what the operating system has
    replica::DurableState synced_;   // what a loss of power leaves
    std::deque<Queued> queue_;
    std::uint64_t processNumber_ = 0;
    bool busy_ = false;
    Millis slowest_ = 4;
};

}  // namespace beechpoint::simulation
