/// A control member's process: the real replica on a virtual disk and network, with its services. Drives them as
/// control/replica_driver.cpp and control/control.cpp do.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "control/callback_queue.hpp"
#include "control/pending_operations.hpp"
#include "control/responsive_members.hpp"
#include "process.hpp"
#include "replica/replica.hpp"
#include "services.hpp"
#include "virtual_disk.hpp"

namespace beechpoint::simulation {

class ControlProcess : public Process, public ReplicaPort {
public:
    struct Hooks {
        std::function<void(ControlProcess&)> stepped;  // after each event
        std::function<void(ControlProcess&)> viewChanged;
        std::function<void(const replica::Body&)> sent;
        std::function<void()> wrote;  // a change was given to the chain
    };

    ControlProcess(VirtualNetwork& network, Transport& transport, VirtualDisk& disk, const Hooks& hooks,
                   Machine machine, replica::Settings settings);
    void start();

    void onReplicaMessage(const replica::Message& message);
    void onCall(const std::string& bytes, std::function<void(std::string)> respond);
    void onOperatorCall(std::uint64_t id, const OperatorRequest& request,
                        std::function<void(OperatorAnswer)> respond);
    void onOperatorDisconnected(std::uint64_t id);
    bool writeInFlight() const { return !writes_.empty(); }

    // ---- ReplicaPort
    Millis now() const override { return network_.now(); }
    const replica::Replica& replica() const override { return replica_; }
    void write(std::vector<Change> changes, std::function<void(bool)> done) override;
    void readBarrier(std::function<void(bool)> done) override;
    bool isResponsive(const std::string& internalAddress) const override;
    void callMember(const std::string& address, std::string bytes, Millis timeout,
                    std::function<void(Bytes)> done) override;

private:
    void handle(const replica::Event& event);
    void carryOut(const replica::Action& action);
    void finish(control::PendingOperations& operations, std::uint64_t token, bool succeeded);
    void runCallbacks();
    void arm(Millis time);
    void tick();
    void reevaluateLater();

    Transport& transport_;
    VirtualDisk& disk_;
    const Hooks& hooks_;
    replica::Replica replica_;
    std::unique_ptr<OperatorService> operators_;
    std::unique_ptr<PollService> polls_;
    std::uint64_t token_ = 0;
    control::PendingOperations writes_;
    control::PendingOperations readBarriers_;
    control::CallbackQueue callbacks_;
    control::ResponsiveMembers responsiveMembers_;
    bool reevaluationArmed_ = false;
    Millis timer_ = 0;
};

}  // namespace beechpoint::simulation
