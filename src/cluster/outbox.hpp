/// A member's datagrams in the order of its steps, delayed until the state they promise is durable. Free of I/O.
///
/// A step with state to persist opens a gate: it and all that follow wait until the gate's write is durable. Gates are
/// passed in order. At most `most` steps wait; a later one's datagrams are dropped, as if lost on the network, and counted.
#pragma once

#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

#include "cluster/core.hpp"

namespace beechpoint::cluster {

class Outbox {
public:
    explicit Outbox(std::size_t most = 1024) : maxSteps_(most) {}

    // Returns what may leave now. `keeps`: a write was begun for this step, whose end written() will tell.
    std::vector<Datagram> enqueue(std::vector<Datagram> send, bool keeps) {
        if (!keeps && waiting_.empty()) return send;
        if (waiting_.size() >= maxSteps_) {
            dropped_ += send.size();
            send.clear();
            if (!keeps) return {};
        }
        waiting_.push_back({std::move(send), keeps});
        return {};
    }
    // The oldest write that was begun is durable.
    std::vector<Datagram> releaseOldestWrite() {
        std::vector<Datagram> out;
        bool passed = false;
        while (!waiting_.empty() && (!passed || !waiting_.front().gate)) {
            passed = passed || waiting_.front().gate;
            std::vector<Datagram>& send = waiting_.front().send;
            out.insert(out.end(), std::make_move_iterator(send.begin()), std::make_move_iterator(send.end()));
            waiting_.pop_front();
        }
        return out;
    }
    void clear() { waiting_.clear(); }
    std::size_t waiting() const { return waiting_.size(); }
    std::uint64_t dropped() const { return dropped_; }

private:
    struct PendingStep {
        std::vector<Datagram> send;
        bool gate = false;
    };
    std::size_t maxSteps_;
    std::deque<PendingStep> waiting_;
    std::uint64_t dropped_ = 0;
};

}  // namespace beechpoint::cluster
