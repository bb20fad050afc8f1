#include "control_process.hpp"

#include <utility>

#include "observed_state.hpp"

namespace beechpoint::simulation {
namespace {

constexpr Millis kServiceTick = 100;
constexpr Millis kFreshnessTick = 25;
constexpr Millis kReevaluateEvery = 25;

}  // namespace

ControlProcess::ControlProcess(VirtualNetwork& network, Transport& transport, VirtualDisk& disk,
                               const Hooks& hooks, Machine machine, replica::Settings settings)
    : Process(network, machine),
      transport_(transport),
      disk_(disk),
      hooks_(hooks),
      replica_(std::move(settings), disk.contents(), network.bits(), network.now()),
      operators_(makeOperatorService(*this)),
      polls_(makePollService(*this)) {}

void ControlProcess::start() {
    handle(replica::Tick{});
    tick();
}

// ---- What comes in

void ControlProcess::onReplicaMessage(const replica::Message& message) {
    responsiveMembers_.onMessage(message.from.internalAddress, now());
    handle(replica::MessageReceived{message});
}

void ControlProcess::onCall(const std::string& bytes, std::function<void(std::string)> respond) {
    polls_->onRequest(bytes, std::move(respond));
    hooks_.stepped(*this);
}

void ControlProcess::onOperatorCall(std::uint64_t id, const OperatorRequest& request,
                                    std::function<void(OperatorAnswer)> respond) {
    auto showZones = [this, reads = request.method == "GET",
                      respond = std::move(respond)](OperatorAnswer answer) {
        if (reads && answer.status == 200)
            answer.evacuated = observedState(replica_.committedTable()).evacuated;
        answer.position = replica_.committedPosition();
        respond(std::move(answer));
    };
    operators_->onCall(id, request, std::move(showZones));
    reevaluateLater();
}

void ControlProcess::onOperatorDisconnected(std::uint64_t id) { operators_->onClientDisconnected(id); }

// ---- The replica

void ControlProcess::write(std::vector<Change> changes, std::function<void(bool)> done) {
    writes_.add(++token_, std::move(done));
    hooks_.wrote();
    handle(replica::ClientWrite{token_, std::move(changes)});
}

void ControlProcess::readBarrier(std::function<void(bool)> done) {
    readBarriers_.add(++token_, std::move(done));
    handle(replica::ReadBarrier{token_});
}

bool ControlProcess::isResponsive(const std::string& internalAddress) const {
    return responsiveMembers_.isResponsive(internalAddress, now());
}

void ControlProcess::callMember(const std::string& address, std::string bytes, Millis timeout,
                                std::function<void(Bytes)> done) {
    transport_.call(*this, address, std::move(bytes), timeout, std::move(done));
}

void ControlProcess::handle(const replica::Event& event) {
    std::vector<replica::Action> actions;
    replica_.handle(now(), event, actions);
    for (const replica::Action& action : actions) carryOut(action);
    hooks_.stepped(*this);
    runCallbacks();
}

void ControlProcess::carryOut(const replica::Action& action) {
    if (const auto* send = std::get_if<replica::Send>(&action)) {
        hooks_.sent(send->message.body);
        transport_.sendReplicaMessage(*this, send->address, send->message);
    } else if (const auto* persist = std::get_if<replica::Persist>(&action)) {
        disk_.persist(persist->update,
                      guarded([this, token = persist->token] { handle(replica::Persisted{token}); }));
    } else if (const auto* wrote = std::get_if<replica::WriteDone>(&action)) {
        finish(writes_, wrote->token, wrote->outcome == replica::WriteOutcome::committed);
    } else if (const auto* read = std::get_if<replica::ReadDone>(&action)) {
        finish(readBarriers_, read->token, read->ok);
    } else if (std::holds_alternative<replica::Committed>(action) ||
               std::holds_alternative<replica::TableReplaced>(action)) {
        callbacks_.add([this] { polls_->onTableChanged(); });
        callbacks_.add([this] { operators_->onReplicaOrTimeChanged(); });
    } else if (const auto* timer = std::get_if<replica::SetTimer>(&action)) {
        arm(timer->at);
    } else if (std::holds_alternative<replica::ViewChanged>(action)) {
        hooks_.viewChanged(*this);
        callbacks_.add([this] { polls_->onViewChanged(); });
        callbacks_.add([this] { operators_->onReplicaOrTimeChanged(); });
    }
}

void ControlProcess::finish(control::PendingOperations& operations, std::uint64_t token, bool succeeded) {
    auto done = operations.take(token);
    if (done) callbacks_.add([done = std::move(done), succeeded] { done(succeeded); });
}

void ControlProcess::runCallbacks() {
    if (callbacks_.running()) return;
    callbacks_.run();
    reevaluateLater();
}

void ControlProcess::arm(Millis time) {
    timer_ = time;
    later(time, [this, time] {
        if (timer_ == time) handle(replica::Tick{});
    });
}

// ---- Timers of the services

void ControlProcess::tick() {
    polls_->tick();
    hooks_.stepped(*this);
    later(now() + (polls_->waitsForFreshness() ? kFreshnessTick : kServiceTick), [this] { tick(); });
}

void ControlProcess::reevaluateLater() {
    if (reevaluationArmed_ || !operators_->waiting()) return;
    reevaluationArmed_ = true;
    later(now() + kReevaluateEvery, [this] {
        reevaluationArmed_ = false;
        operators_->onReplicaOrTimeChanged();
        reevaluateLater();
    });
}

}  // namespace beechpoint::simulation
