/// An operator: makes one call after another by the real operator_client::CallPlan, builds on the version that it believes in force, and
/// records its calls and their answers in the History.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "operator_client/call_plan.hpp"
#include "process.hpp"
#include "store_specification.hpp"

namespace beechpoint::simulation {

// The calls of a run, in the order in which they began.
class History {
public:
    std::size_t begin(StoreCall call, Millis now);
    void end(std::size_t operation, StoreAnswer answer, Millis now);
    // It is known to have reached no member.
    void drop(std::size_t operation) { dropped_[operation] = true; }
    // What is to be checked: without the dropped calls, and with identities only where a call was made twice.
    std::vector<StoreOperation> operations() const;
    const std::vector<StoreOperation>& all() const { return operations_; }
    bool dropped(std::size_t operation) const { return dropped_[operation]; }

private:
    std::vector<StoreOperation> operations_;
    std::vector<bool> dropped_;
};

struct OperatorCounters {
    std::uint64_t acknowledged = 0;
    std::uint64_t rejected = 0;
    std::uint64_t unknown = 0;
    std::uint64_t notSent = 0;
    std::uint64_t reads = 0;
    std::uint64_t attempts = 0;
    std::uint64_t redirects = 0;
    std::uint64_t retries = 0;      // sent again unchanged after no clear answer
    std::uint64_t repetitions = 0;  // earlier changes made again, equal byte by byte
    Millis slowestAcknowledgement = 0;
};

class OperatorProcess : public Process {
public:
    struct Settings {
        bool reads = false;      // nothing but reads
        std::size_t number = 0;  // of this operator and its machine; says whose zones it may touch
        std::function<std::vector<std::string>()> members;  // control addresses as settings have them
        std::function<void(const StoreCall&, const StoreAnswer&, Position shown)> answered;
        std::function<void(std::uint64_t version)>
            changeConcurrently;  // the other is to change the same version now
    };
    OperatorProcess(VirtualNetwork& network, Transport& transport, History& history,
                    OperatorCounters& counters, Settings settings);
    void start();
    void stop() { running_ = false; }
    bool idle() const { return !busy_; }
    // Makes a change on this version at once, unless a call is under way.
    void changeAtOnce(std::uint64_t version);

private:
    void next();
    void pause();
    StoreCall draw();
    StoreCall drawChange();
    void begin(StoreCall call);
    void plan();
    void follow(const operator_client::Step& step);
    void send(const operator_client::Send& send);
    void onPlanEnded(operator_client::Ending ending);
    void onAnswer(const OperatorAnswer& answer);
    void finish(const StoreAnswer& answer);
    OperatorRequest requestOf(const StoreCall& call) const;

    Transport& transport_;
    History& history_;
    OperatorCounters& counters_;
    Settings settings_;
    std::optional<operator_client::CallPlan> plan_;
    std::optional<StoreCall> earlier_;  // a change that may be made again
    StoreCall call_;
    std::size_t operation_ = 0;
    std::uint64_t attempt_ = 0;  // answers to earlier ones are not for this call
    std::uint64_t believedVersion_ = 0;
    Millis beganAt_ = 0;
    OperatorAnswer last_;
    int plans_ = 0;
    bool busy_ = false;
    bool running_ = false;
    bool mustRead_ = false;
    bool maybeApplied_ = false;  // some attempt of the call got no clear answer
};

}  // namespace beechpoint::simulation
