/// A process of the run: steps for it are deferred while it is frozen, and dropped once it has ended.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "replica/events.hpp"
#include "virtual_network.hpp"

namespace beechpoint::simulation {

class Process : public std::enable_shared_from_this<Process> {
public:
    Process(VirtualNetwork& network, Machine machine) : network_(network), machine_(machine) {}
    virtual ~Process() = default;
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    Machine machine() const { return machine_; }
    bool frozen() const { return frozen_; }
    void freeze() { frozen_ = true; }
    void thaw() {
        frozen_ = false;
        const auto self = shared_from_this();
        for (std::deque<std::function<void()>> steps = std::exchange(deferred_, {}); !steps.empty();
             steps.pop_front())
            if (!ended_) steps.front()();
    }
    void end() { ended_ = true; }
    bool ended() const { return ended_; }

    void enter(std::function<void()> step) {
        if (ended_) return;
        if (frozen_)
            deferred_.push_back(std::move(step));
        else
            step();
    }
    // The step at that time, unless the process has ended.
    void later(Millis time, std::function<void()> step) { network_.at(time, guarded(std::move(step))); }
    // The step as something that others may call at any time.
    std::function<void()> guarded(std::function<void()> step) {
        return [weak = weak_from_this(), step = std::move(step)] {
            if (const auto self = weak.lock()) self->enter(step);
        };
    }

protected:
    VirtualNetwork& network_;

private:
    Machine machine_;
    bool frozen_ = false, ended_ = false;
    std::deque<std::function<void()>> deferred_;
};

// An operator's call and its answer, as they go over the network.
struct OperatorRequest {
    std::string method;
    std::string path;
    std::string ifMatch;
    std::string body;
};
struct OperatorAnswer {
    int status = 0;
    std::string body;
    std::string location;                    // of a redirect
    std::optional<std::uint32_t> evacuated;  // of a read: the zones in the table that it shows, one bit each
    Position position;  // of the member's table as it answered; the run's knowledge alone
};

using Bytes = std::optional<std::string>;  // nothing: no answer

/// The messages between processes, by address.
class Transport {
public:
    virtual ~Transport() = default;
    virtual void sendReplicaMessage(const Process& from, const std::string& address,
                                    const replica::Message& message) = 0;
    virtual void call(Process& from, const std::string& address, std::string bytes, Millis timeout,
                      std::function<void(Bytes)> done) = 0;
    // `done` gets no answer and whether the call may have reached the member, or the answer.
    virtual void callOperators(Process& from, const std::string& address, OperatorRequest request,
                               Millis timeout,
                               std::function<void(std::optional<OperatorAnswer>, bool sent)> done) = 0;
};

}  // namespace beechpoint::simulation
